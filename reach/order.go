package reach

import "cherrykeel"

// doubt is how unlikely it is that a host opens a connection to an address.
type doubt int

// The doubts, the least one first.
const (
	// noDoubt means that nothing speaks against the host.
	noDoubt doubt = iota
	// missesOthers means that it did not reach other addresses a moment ago.
	missesOthers
	// missesAddress means that it did not reach this address a moment ago, or reports so.
	missesAddress
	// unavailable means that it does not answer, has no room, or is about to end.
	unavailable
)

// candidate is a host with its place in the order.
type candidate struct {
	peer  *peer
	doubt doubt
	draw  float64
	taken bool
}

// isBetter reports whether the candidate is to be asked before another one.
func (candidate *candidate) isBetter(other *candidate) bool {
	if candidate.doubt != other.doubt {
		return candidate.doubt < other.doubt
	}
	return candidate.draw < other.draw
}

// Order returns the hosts to ask for a connection to an upstream's address, the most promising first.
//
// The first one is of this host's availability zone where its hosts open connections at all. The second one is another
// that has opened one before, and the rest alternate between zones: all hosts of a zone may have lost their links
// together, and then none of them can open the connection or tell why. Among equal ones the order is random, so that
// many hosts with the same need spread.
func (peers *Peers) Order(address, shortName string, now cherrykeel.Instant) []cherrykeel.Peer {
	candidates := peers.candidates(address, shortName, now)
	var order []cherrykeel.Peer
	asked := make([]int, peers.zones)
	take := func(next *candidate) {
		if next == nil {
			return
		}
		next.taken = true
		asked[next.peer.zoneIndex]++
		order = append(order, next.peer.Peer)
	}
	take(peers.first(candidates, now))
	take(best(candidates, func(candidate *candidate) bool { return candidate.peer.opens }))
	for len(order) < min(maxAsked, len(candidates)) {
		take(leastAsked(candidates, asked))
	}
	return order
}

// candidates returns the hosts that may be asked.
func (peers *Peers) candidates(address, shortName string, now cherrykeel.Instant) []candidate {
	candidates := make([]candidate, 0, len(peers.peers))
	for _, peer := range peers.listed {
		if now < peer.noneUntil {
			continue
		}
		candidates = append(candidates, candidate{peer: peer, doubt: peer.doubt(address, shortName, now), draw: peers.random()})
	}
	return candidates
}

// first returns the host to ask first: one that opens connections, or now and then one of which that is not known.
func (peers *Peers) first(candidates []candidate, now cherrykeel.Instant) *candidate {
	explores := peers.random() < peers.exploreShare()
	prefersOwn := peers.opensInZone(now)
	selections := []func(candidate *candidate) bool{
		func(candidate *candidate) bool {
			return prefersOwn && peers.isOwn(candidate) && candidate.peer.opens != explores
		},
		func(candidate *candidate) bool { return prefersOwn && peers.isOwn(candidate) },
		func(candidate *candidate) bool { return candidate.peer.opens != explores },
		func(*candidate) bool { return true },
	}
	for _, isSelected := range selections {
		found := best(candidates, func(candidate *candidate) bool { return candidate.doubt == noDoubt && isSelected(candidate) })
		if found != nil {
			return found
		}
	}
	return best(candidates, func(*candidate) bool { return true })
}

// exploreShare is the share of connections for which first a host is asked of which it is not known whether it opens any.
// Without it, all connections of a host would go through the one that opened the first.
func (peers *Peers) exploreShare() float64 {
	opening := 0
	for _, peer := range peers.listed {
		if peer.opens {
			opening++
		}
	}
	return max(minExploreShare, 1/float64(1+opening))
}

func (peers *Peers) isOwn(candidate *candidate) bool {
	return candidate.peer.Zone == peers.zone
}

// opensInZone reports whether a good part of the hosts of this host's availability zone opens connections, by those that
// were asked lately.
func (peers *Peers) opensInZone(now cherrykeel.Instant) bool {
	opening, missing := 0, 0
	for _, peer := range peers.listed {
		switch {
		case peer.Zone != peers.zone:
		case peer.opens:
			opening++
		case peer.missingUntil != 0 && now < peer.missingUntil.Add(zoneMemory):
			missing++
		}
	}
	return missing <= 2*opening
}

// best returns the candidate to ask first of those that are selected and not taken, or nil.
func best(candidates []candidate, isSelected func(candidate *candidate) bool) *candidate {
	var found *candidate
	for i := range candidates {
		next := &candidates[i]
		if next.taken || !isSelected(next) {
			continue
		}
		if found == nil || next.isBetter(found) {
			found = next
		}
	}
	return found
}

// leastAsked returns the best candidate of the zones of which the fewest hosts are in the order already.
func leastAsked(candidates []candidate, asked []int) *candidate {
	var found *candidate
	for i := range candidates {
		next := &candidates[i]
		if next.taken {
			continue
		}
		if found == nil || next.isEarlier(found, asked) {
			found = next
		}
	}
	return found
}

// isEarlier reports whether the candidate is to be asked before another one, when some hosts of each zone have been.
func (candidate *candidate) isEarlier(other *candidate, asked []int) bool {
	mine, others := asked[candidate.peer.zoneIndex], asked[other.peer.zoneIndex]
	if candidate.doubt == other.doubt && mine != others {
		return mine < others
	}
	return candidate.isBetter(other)
}

// doubt returns how unlikely it is that the host opens a connection to an address.
func (peer *peer) doubt(address, shortName string, now cherrykeel.Instant) doubt {
	switch {
	case now < peer.lastUntil || peer.isLeaving():
		return unavailable
	case now < peer.declinedUntil[address] || !peer.status.reaches(shortName):
		return missesAddress
	case now < peer.missingUntil:
		return missesOthers
	default:
		return noDoubt
	}
}
