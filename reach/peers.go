package reach

import (
	"slices"
	"sort"
	"time"

	"cherrykeel"
)

const (
	// maxAsked is how many other hosts are asked for one connection.
	maxAsked = 3
	// declinedTime is how long a host that could not connect to an address is asked last for it.
	declinedTime = time.Second
	// silentTime is how long a host that did not answer, stops, or has no room is asked last for every address.
	silentTime = 2 * time.Second
	// incapableTime is how long a host is asked nothing that does not serve such requests, as hosts of earlier builds.
	incapableTime = 10 * time.Second
)

// Reply is what a host that was asked for a connection to an upstream has answered.
type Reply int

// The replies of hosts.
const (
	// Opened means that the connection is open.
	Opened Reply = iota
	// Refused means that no process listens at the address, as far as the host that was asked can tell.
	Refused
	// Unreached means that the host that was asked does not reach the address itself.
	Unreached
	// Declined means that the host that was asked stops, has no room, or does not know the address or this host.
	Declined
	// Silent means that no answer came in time.
	Silent
	// Incapable means that nothing serves such requests on that host.
	Incapable
)

// Replies counts the replies of the hosts that were asked for one connection and did not open it.
type Replies struct {
	Refused   int
	Unreached int
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
	default:
		replies.Others++
	}
}

// Total returns how many hosts have replied, or were waited for in vain.
func (replies *Replies) Total() int {
	return replies.Refused + replies.Unreached + replies.Others
}

// Status is what another host reports about itself.
type Status struct {
	// Stopping means that it is about to end, and Silent that its reports have ceased.
	Stopping bool
	Silent   bool
	// Unreached has the short names of the upstreams that it does not reach itself; Overflow means that there are more
	// than it names.
	Unreached []string
	Overflow  bool
}

// reaches reports whether a host may reach an upstream, by its own report.
func (status Status) reaches(shortName string) bool {
	return !status.Overflow && !slices.Contains(status.Unreached, shortName)
}

// peer is another host, as a way to upstreams.
type peer struct {
	cherrykeel.Peer
	status Status
	// stops is set once the host has reported that it stops; it never goes on after that.
	stops bool
	// lastUntil is until when it is asked last, noneUntil until when it is asked nothing.
	lastUntil cherrykeel.Instant
	noneUntil cherrykeel.Instant
	// declinedUntil is until when it is asked last, by address.
	declinedUntil map[string]cherrykeel.Instant
}

// Peers holds the other hosts as ways to upstreams. It is not safe for concurrent use.
type Peers struct {
	zone   string
	peers  map[string]*peer
	random func() float64
}

// NewPeers returns an empty list for a host in an availability zone; random returns a number in [0, 1).
func NewPeers(zone string, random func() float64) *Peers {
	return &Peers{zone: zone, peers: map[string]*peer{}, random: random}
}

// Set replaces the other hosts. What was learned about a host does not apply to its next incarnation.
func (peers *Peers) Set(list []cherrykeel.Peer) {
	next := map[string]*peer{}
	for _, listed := range list {
		known, exists := peers.peers[listed.Name]
		if !exists || known.Incarnation != listed.Incarnation {
			known = &peer{declinedUntil: map[string]cherrykeel.Instant{}}
		}
		known.Peer = listed
		next[listed.Name] = known
	}
	peers.peers = next
}

// SetStatuses replaces what the other hosts have reported lately, by name.
func (peers *Peers) SetStatuses(statuses map[string]Status) {
	for name, peer := range peers.peers {
		peer.status = statuses[name]
		peer.stops = peer.stops || peer.status.Stopping
	}
}

// Find returns a host by name.
func (peers *Peers) Find(name string) (cherrykeel.Peer, bool) {
	found, known := peers.peers[name]
	if !known {
		return cherrykeel.Peer{}, false
	}
	return found.Peer, true
}

// IsLeaving reports whether a host is about to end, has ended, or reports nothing any more.
func (peers *Peers) IsLeaving(name string) bool {
	found, known := peers.peers[name]
	return !known || found.isLeaving()
}

func (peer *peer) isLeaving() bool {
	return peer.stops || peer.status.Silent
}

// candidate is a host with its place in the order.
type candidate struct {
	peer *peer
	// doubt is higher for hosts that are less likely to open the connection.
	doubt int
	far   bool
	draw  float64
}

// Order returns the hosts to ask for a connection to an upstream's address, the most promising first. Among equal ones
// those of this host's availability zone come first, in random order, so that many hosts with the same need spread.
func (peers *Peers) Order(address, shortName string, now cherrykeel.Instant) []cherrykeel.Peer {
	best := make([]candidate, 0, maxAsked+1)
	for _, peer := range peers.peers {
		if now < peer.noneUntil {
			continue
		}
		next := candidate{peer: peer, doubt: peer.doubt(address, shortName, now), far: peer.Zone != peers.zone, draw: peers.random()}
		i := sort.Search(len(best), func(i int) bool { return next.isBefore(&best[i]) })
		best = slices.Insert(best, i, next)
		best = best[:min(len(best), maxAsked)]
	}
	var order []cherrykeel.Peer
	for _, candidate := range best {
		order = append(order, candidate.peer.Peer)
	}
	return order
}

func (candidate *candidate) isBefore(other *candidate) bool {
	switch {
	case candidate.doubt != other.doubt:
		return candidate.doubt < other.doubt
	case candidate.far != other.far:
		return other.far
	default:
		return candidate.draw < other.draw
	}
}

// doubt returns how unlikely it is that the host opens a connection to an address.
func (peer *peer) doubt(address, shortName string, now cherrykeel.Instant) int {
	switch {
	case now < peer.lastUntil || peer.isLeaving():
		return 2
	case now < peer.declinedUntil[address] || !peer.status.reaches(shortName):
		return 1
	default:
		return 0
	}
}

// Record records a host's reply for an address.
func (peers *Peers) Record(name, address string, reply Reply, now cherrykeel.Instant) {
	peer, known := peers.peers[name]
	if !known {
		return
	}
	switch reply {
	case Opened:
		peer.lastUntil = 0
		delete(peer.declinedUntil, address)
	case Refused, Unreached:
		peer.forgetExpired(now)
		peer.declinedUntil[address] = now.Add(declinedTime)
	case Declined, Silent:
		peer.lastUntil = now.Add(silentTime)
	case Incapable:
		peer.noneUntil = now.Add(incapableTime)
	}
}

func (peer *peer) forgetExpired(now cherrykeel.Instant) {
	for address, until := range peer.declinedUntil {
		if until <= now {
			delete(peer.declinedUntil, address)
		}
	}
}
