package reach

import (
	"slices"
	"time"

	"cherrykeel"
)

const (
	// maxAsked is how many other hosts are asked for one connection at most. Only maxTelling of them may tell about the
	// upstream; the others miss links themselves, as all hosts of an availability zone may.
	maxAsked = 9
	// missingTime is how long a host that misses links of its own is asked later for every address.
	missingTime = 2 * time.Second
	// zoneMemory is for how long after that its reply still speaks against its availability zone as a whole.
	zoneMemory = time.Minute
	// minExploreShare is the least share of connections for which a host is asked first that is not known to open any.
	minExploreShare = 0.25
	// declinedTime is how long a host that could not connect to an address is asked last for it.
	declinedTime = time.Second
	// silentTime is how long a host that did not answer, stops, or has no room is asked last for every address.
	silentTime = 2 * time.Second
	// incapableTime is how long a host is asked nothing that does not serve such requests, as hosts of earlier builds.
	incapableTime = 10 * time.Second
)

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
	// zoneIndex is the number of its availability zone among those of the list.
	zoneIndex int
	status    Status
	// stops is set once the host has reported that it stops; it never goes on after that.
	stops bool
	// opens means that it has opened a connection, and nothing has shown since that it would not open others.
	opens bool
	// missingUntil is until when it counts as missing links of its own, lastUntil until when it is asked last, and
	// noneUntil until when it is asked nothing.
	missingUntil cherrykeel.Instant
	lastUntil    cherrykeel.Instant
	noneUntil    cherrykeel.Instant
	// declinedUntil is until when it is asked last, by address.
	declinedUntil map[string]cherrykeel.Instant
}

// Peers holds the other hosts as ways to upstreams. It is not safe for concurrent use.
type Peers struct {
	zone  string
	peers map[string]*peer
	// listed has the same hosts in the order of the list, in so many availability zones.
	listed []*peer
	zones  int
	random func() float64
}

// NewPeers returns an empty list for a host in an availability zone; random returns a number in [0, 1).
func NewPeers(zone string, random func() float64) *Peers {
	return &Peers{zone: zone, peers: map[string]*peer{}, random: random}
}

// Set replaces the other hosts. What was learned about a host does not apply to its next incarnation.
func (peers *Peers) Set(list []cherrykeel.Peer) {
	next := map[string]*peer{}
	zoneIndexes := map[string]int{}
	peers.listed = nil
	for _, listed := range list {
		known, exists := peers.peers[listed.Name]
		if !exists || known.Incarnation != listed.Incarnation {
			known = &peer{declinedUntil: map[string]cherrykeel.Instant{}}
		}
		known.Peer = listed
		zoneIndex, seen := zoneIndexes[listed.Zone]
		if !seen {
			zoneIndex = len(zoneIndexes)
			zoneIndexes[listed.Zone] = zoneIndex
		}
		known.zoneIndex = zoneIndex
		next[listed.Name] = known
		peers.listed = append(peers.listed, known)
	}
	peers.peers = next
	peers.zones = len(zoneIndexes)
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

// Record records a host's reply for an address.
func (peers *Peers) Record(name, address string, reply Reply, now cherrykeel.Instant) {
	peer, known := peers.peers[name]
	if !known {
		return
	}
	switch reply {
	case Opened:
		peer.opens = true
		peer.lastUntil, peer.missingUntil = 0, 0
		delete(peer.declinedUntil, address)
	case Missing:
		peer.opens = false
		peer.missingUntil = now.Add(missingTime)
		peer.decline(address, now)
	case Refused, Unchecked, Unreached:
		peer.decline(address, now)
	case Declined, Silent:
		peer.opens = false
		peer.lastUntil = now.Add(silentTime)
	case Incapable:
		peer.opens = false
		peer.noneUntil = now.Add(incapableTime)
	}
}

// decline records that the host could not connect to an address.
func (peer *peer) decline(address string, now cherrykeel.Instant) {
	for other, until := range peer.declinedUntil {
		if until <= now {
			delete(peer.declinedUntil, other)
		}
	}
	peer.declinedUntil[address] = now.Add(declinedTime)
}
