package reach

// Reply is what a host that was asked for a connection to an upstream has answered.
type Reply int

// The replies of hosts.
const (
	// Opened means that the connection is open.
	Opened Reply = iota
	// Refused means that no process listens at the address, as far as the host that was asked can tell.
	Refused
	// Unchecked means that the host that was asked was refused as well, and did not check its own links.
	Unchecked
	// Unreached means that the host that was asked does not reach the address, though it reaches others of its service.
	Unreached
	// Missing means that the host that was asked does not reach the address, and perhaps no other one either.
	Missing
	// Declined means that the host that was asked stops, has no room, or does not know the address or this host.
	Declined
	// Silent means that no answer came in time.
	Silent
	// Incapable means that nothing serves such requests on that host.
	Incapable
)

var replyNames = [...]string{"opened", "refused", "refused, unchecked", "unreached", "missing", "declined", "silent", "incapable"}

// String returns the name used in logs.
func (reply Reply) String() string {
	return replyNames[reply]
}

// Links is whether a host's links to the upstreams of a service work.
type Links int

// The states of links.
const (
	// LinksUnknown means that there is no other upstream to connect to.
	LinksUnknown Links = iota
	// LinksWork means that the host could connect to other upstreams of the service, to each that was tried.
	LinksWork
	// LinksLost means that it could connect to none.
	LinksLost
	// LinksPartial means that the host could connect to some and not to others.
	LinksPartial
	// LinksProven means that the upstream itself has closed a connection of the host a moment ago.
	LinksProven
)

var linksNames = [...]string{"unknown", "work", "lost", "partial", "proven"}

// String returns the name used in logs.
func (links Links) String() string {
	return linksNames[links]
}

// maxTelling is how many other hosts have to tell about an upstream before no further one is asked.
const maxTelling = 3

// Replies counts the replies of the hosts that were asked for one connection and did not open it.
type Replies struct {
	Refused   int
	Unchecked int
	Unreached int
	// Missing counts hosts whose own links may be the cause.
	Missing int
	// Others counts the remaining ones, which show nothing about the upstream.
	Others int
}

// Add counts a reply.
func (replies *Replies) Add(reply Reply) {
	switch reply {
	case Refused:
		replies.Refused++
	case Unchecked:
		replies.Unchecked++
	case Unreached:
		replies.Unreached++
	case Missing:
		replies.Missing++
	default:
		replies.Others++
	}
}

// Total returns how many hosts have replied, or were waited for in vain.
func (replies *Replies) Total() int {
	return replies.telling() + replies.Unchecked + replies.Missing + replies.Others
}

// NeedsOwnLinks reports whether a failure can be judged only by a host that has checked its own links.
func (replies *Replies) NeedsOwnLinks() bool {
	return replies.Refused == 0 && replies.Unreached == 0
}

// telling returns how many replies are about the upstream and not about the links of the host that was asked.
func (replies *Replies) telling() int {
	return replies.Refused + replies.Unreached
}

// AllowsNext reports whether one more host may be asked while as many replies are awaited.
func (replies *Replies) AllowsNext(awaited int) bool {
	return replies.telling()+awaited < maxTelling
}
