package reach

// Reply is what a host that was asked for a connection to an upstream has answered.
type Reply int

// The replies of hosts.
const (
	// Opened means that the connection is open.
	Opened Reply = iota
	// Refused means that no process listens at the address, as far as the host that was asked can tell.
	Refused
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

var replyNames = [...]string{"opened", "refused", "unreached", "missing", "declined", "silent", "incapable"}

// String returns the name used in logs.
func (reply Reply) String() string {
	return replyNames[reply]
}

// maxTelling is how many other hosts have to tell about an upstream before no further one is asked.
const maxTelling = 3

// Replies counts the replies of the hosts that were asked for one connection and did not open it.
type Replies struct {
	Refused   int
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
	return replies.telling() + replies.Missing + replies.Others
}

// telling returns how many replies are about the upstream and not about the links of the host that was asked.
func (replies *Replies) telling() int {
	return replies.Refused + replies.Unreached
}

// AllowsNext reports whether one more host may be asked while as many replies are awaited.
func (replies *Replies) AllowsNext(awaited int) bool {
	return replies.telling()+awaited < maxTelling
}
