package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherrykeel"
)

const (
	// goneAfter is how long a host must be off the list to count as destroyed.
	goneAfter = 10 * time.Second
	// neighbourCount is how many peers a host tells how it fares.
	neighbourCount = 8
	// maxReportAge is how long a peer's word counts.
	maxReportAge = 5 * time.Second
)

// Peer is an entry host as this host sees it.
type Peer struct {
	Name    string
	Zone    string
	Inner   string
	Admin   string
	Leaving bool
	// ReceivedAt is when the peer itself last spoke to this host, or 0.
	ReceivedAt cherrykeel.Instant
	Next       int64
	Chain      uint64
	// Version is the settings version in force on the peer.
	Version      int64
	LogAvailable bool
}

// PeerReport is what a peer says of itself and of upstreams.
type PeerReport struct {
	Host         string
	Leaving      bool
	Next         int64
	Chain        uint64
	Version      int64
	LogAvailable bool
	Unreachable  []string
	// Refusing are upstreams that told the host that they take no new work.
	Refusing []string
}

type receivedReport struct {
	report     PeerReport
	receivedAt cherrykeel.Instant
}

// Roster is one host's view of all hosts. It is not safe for use by several goroutines.
type Roster struct {
	self       string
	members    map[string]cherrykeel.Member
	lastListed map[string]cherrykeel.Instant
	reports    map[string]receivedReport
	listedAt   cherrykeel.Instant
	// upstreams remembers every upstream that the list has ever shown.
	upstreams map[string]bool
}

// NewRoster returns a roster that knows only the host itself.
func NewRoster(self cherrykeel.Member) *Roster {
	return &Roster{
		self:       self.Name,
		members:    map[string]cherrykeel.Member{self.Name: self},
		lastListed: map[string]cherrykeel.Instant{},
		reports:    map[string]receivedReport{},
		upstreams:  map[string]bool{},
	}
}

// ApplyList takes in the platform's list.
func (roster *Roster) ApplyList(members []cherrykeel.Member, now cherrykeel.Instant) {
	own := roster.members[roster.self]
	roster.members = map[string]cherrykeel.Member{roster.self: own}
	for _, member := range members {
		roster.lastListed[member.Name] = now
		if member.Role == cherrykeel.RoleUpstream {
			roster.upstreams[member.Name] = true
		}
		if member.Name != roster.self {
			roster.members[member.Name] = member
		}
	}
	roster.listedAt = now
}

// RecordReport takes in a peer's word.
func (roster *Roster) RecordReport(word PeerReport, now cherrykeel.Instant) {
	roster.reports[word.Host] = receivedReport{report: word, receivedAt: now}
}

// SetLeaving marks this host itself as leaving.
func (roster *Roster) SetLeaving() {
	own := roster.members[roster.self]
	own.Leaving = true
	roster.members[roster.self] = own
}

// Peers returns the entry hosts on the list, this one included, by name.
func (roster *Roster) Peers() []Peer {
	var peers []Peer
	for _, member := range roster.members {
		if member.Role != cherrykeel.RoleEntry {
			continue
		}
		peer := Peer{Name: member.Name, Zone: member.Zone, Inner: member.InternalAddress, Admin: member.AdminAddress, Leaving: member.Leaving}
		if said, known := roster.reports[member.Name]; known {
			peer.ReceivedAt = said.receivedAt
			peer.Leaving = peer.Leaving || said.report.Leaving
			peer.Next = said.report.Next
			peer.Chain = said.report.Chain
			peer.Version = said.report.Version
			peer.LogAvailable = said.report.LogAvailable
		}
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Name < peers[j].Name })
	return peers
}

// Gone returns hosts that were on the list once and have been off it for long, while the list itself was fresh.
func (roster *Roster) Gone() map[string]bool {
	gone := map[string]bool{}
	for name, seen := range roster.lastListed {
		if roster.listedAt.Sub(seen) >= goneAfter {
			gone[name] = true
		}
	}
	return gone
}

// HasLeft reports whether an upstream is marked as leaving on the list, or has vanished from it.
func (roster *Roster) HasLeft(upstream string) bool {
	member, present := roster.members[upstream]
	if present {
		return member.Leaving
	}
	return roster.upstreams[upstream]
}

// IsDown reports whether most of the hosts that have spoken of late, this one included, cannot reach an upstream.
// One host's bad view moves nothing.
func (roster *Roster) IsDown(service, upstream string, now cherrykeel.Instant) bool {
	name := service + " " + upstream
	votes, voters := 0, 0
	for _, said := range roster.reports {
		if now.Sub(said.receivedAt) > maxReportAge {
			continue
		}
		voters++
		for _, unreachable := range said.report.Unreachable {
			if unreachable == name {
				votes++
			}
		}
	}
	return 2*votes > voters
}

// IsRefusing reports whether an upstream has told any host of late that it takes no new work.
// Unlike silence, this is the upstream's own word, so one host that got it is enough.
func (roster *Roster) IsRefusing(service, upstream string, now cherrykeel.Instant) bool {
	name := service + " " + upstream
	for _, said := range roster.reports {
		if now.Sub(said.receivedAt) > maxReportAge {
			continue
		}
		for _, refusing := range said.report.Refusing {
			if refusing == name {
				return true
			}
		}
	}
	return false
}

// Neighbours returns the peers that this host tells how it fares: the next few on a ring
// in which all hosts stand in order of a hash of their names. Each host so speaks to, and
// hears from, the same small number of others, however many there are.
func Neighbours(self string, names []string) []string {
	ring := append([]string(nil), names...)
	sort.Slice(ring, func(i, j int) bool {
		return xxhash.Sum64String(ring[i]) < xxhash.Sum64String(ring[j])
	})
	start := 0
	for i, name := range ring {
		if name == self {
			start = i
		}
	}
	var neighbours []string
	for step := 1; step < len(ring) && len(neighbours) < neighbourCount; step++ {
		neighbours = append(neighbours, ring[(start+step)%len(ring)])
	}
	return neighbours
}
