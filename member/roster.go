package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherrykeel"
)

const (
	// goneAfter is how long a host must be absent from the list to count as gone.
	goneAfter = 10 * time.Second
	// neighbourCount is the number of peers to which a host sends its reports.
	neighbourCount = 8
	// maxReportAge is the maximum age of a peer's report that counts.
	maxReportAge = 5 * time.Second
)

// Peer is an entry host as this host sees it.
type Peer struct {
	Name            string
	Zone            string
	InternalAddress string
	AdminAddress    string
	Leaving         bool
	// ReceivedAt is when this host received the peer's last report, or 0.
	ReceivedAt cherrykeel.Instant
	Next       int64
	Chain      uint64
	// Version is the version of the settings in force on the peer.
	Version      int64
	LogAvailable bool
}

// PeerReport is a peer's report on itself and on upstreams.
type PeerReport struct {
	Host         string
	Leaving      bool
	Next         int64
	Chain        uint64
	Version      int64
	LogAvailable bool
	Unreachable  []string
	// Refusing lists the upstreams that have announced to the peer that they accept no new requests.
	Refusing []string
}

type receivedReport struct {
	report     PeerReport
	receivedAt cherrykeel.Instant
}

// Roster is one host's view of all hosts. It is not safe for concurrent use.
type Roster struct {
	self       string
	members    map[string]cherrykeel.Member
	lastListed map[string]cherrykeel.Instant
	reports    map[string]receivedReport
	listedAt   cherrykeel.Instant
	// upstreams has every upstream that has ever been on the list.
	upstreams map[string]bool
}

// NewRoster returns a roster that contains only the host itself.
func NewRoster(self cherrykeel.Member) *Roster {
	return &Roster{
		self:       self.Name,
		members:    map[string]cherrykeel.Member{self.Name: self},
		lastListed: map[string]cherrykeel.Instant{},
		reports:    map[string]receivedReport{},
		upstreams:  map[string]bool{},
	}
}

// ApplyList applies the platform's list.
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

// RecordReport records a peer's report.
func (roster *Roster) RecordReport(report PeerReport, now cherrykeel.Instant) {
	roster.reports[report.Host] = receivedReport{report: report, receivedAt: now}
}

// SetLeaving marks this host itself as leaving.
func (roster *Roster) SetLeaving() {
	own := roster.members[roster.self]
	own.Leaving = true
	roster.members[roster.self] = own
}

// Peers returns the entry hosts on the list, including this one, sorted by name.
func (roster *Roster) Peers() []Peer {
	var peers []Peer
	for _, member := range roster.members {
		if member.Role != cherrykeel.RoleEntry {
			continue
		}
		peer := Peer{Name: member.Name, Zone: member.Zone, InternalAddress: member.InternalAddress, AdminAddress: member.AdminAddress, Leaving: member.Leaving}
		if received, known := roster.reports[member.Name]; known {
			peer.ReceivedAt = received.receivedAt
			peer.Leaving = peer.Leaving || received.report.Leaving
			peer.Next = received.report.Next
			peer.Chain = received.report.Chain
			peer.Version = received.report.Version
			peer.LogAvailable = received.report.LogAvailable
		}
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Name < peers[j].Name })
	return peers
}

// RemovedHosts returns the hosts that were on the list once and were then absent for long from lists that were read meanwhile.
func (roster *Roster) RemovedHosts() map[string]bool {
	gone := map[string]bool{}
	for name, seen := range roster.lastListed {
		if roster.listedAt.Sub(seen) >= goneAfter {
			gone[name] = true
		}
	}
	return gone
}

// HasLeft reports whether an upstream is marked as leaving on the list or has disappeared from it.
func (roster *Roster) HasLeft(upstream string) bool {
	member, present := roster.members[upstream]
	if present {
		return member.Leaving
	}
	return roster.upstreams[upstream]
}

// IsDown reports whether more than half of the hosts with recent reports, including this one, cannot reach an upstream.
// The failures of a single host have no effect.
func (roster *Roster) IsDown(service, upstream string, now cherrykeel.Instant) bool {
	name := service + " " + upstream
	votes, voters := 0, 0
	for _, received := range roster.reports {
		if now.Sub(received.receivedAt) > maxReportAge {
			continue
		}
		voters++
		for _, unreachable := range received.report.Unreachable {
			if unreachable == name {
				votes++
			}
		}
	}
	return 2*votes > voters
}

// IsRefusing reports whether an upstream has recently announced to any host that it accepts no new requests. Unlike a
// missing answer, this comes from the upstream itself, so the report of one host is enough.
func (roster *Roster) IsRefusing(service, upstream string, now cherrykeel.Instant) bool {
	name := service + " " + upstream
	for _, received := range roster.reports {
		if now.Sub(received.receivedAt) > maxReportAge {
			continue
		}
		for _, refusing := range received.report.Refusing {
			if refusing == name {
				return true
			}
		}
	}
	return false
}

// Neighbours returns the peers to which this host sends its reports: the next few on a ring of all hosts that is
// ordered by a hash of their names. So each host sends to, and receives from, the same small number of others, however
// many hosts there are.
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
