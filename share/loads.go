package share

import (
	"strings"

	"cherrykeel"
	"cherrykeel/topo"
)

// keptLoads is how many of its own loads a host remembers, to take out of a sum the one that is in it; a sum
// is at most two paces old, or some six after lost messages.
const maxOwnLoads = 8

type timedLoad struct {
	load       Load
	recordedAt cherrykeel.Instant
}

type receivedSum struct {
	sum        Sum
	receivedAt cherrykeel.Instant
}

// fresh reports whether a sum was heard, and lately.
func (received receivedSum) isFresh(now cherrykeel.Instant) bool {
	return received.sum.Host != "" && now.Sub(received.receivedAt) <= staleAfter
}

// loads keeps what hosts and groups of hosts do, as they told last. It is guarded by Mesh.mutex.
type loads struct {
	own   []timedLoad
	hosts map[string]timedLoad
	// sums are by group.
	sums map[string]receivedSum
}

func newLoads() loads {
	return loads{hosts: map[string]timedLoad{}, sums: map[string]receivedSum{}}
}

// keep forgets what hosts told that are gone, or told in an earlier life.
func (loads *loads) retain(peers map[string]cherrykeel.Peer) {
	for name, received := range loads.hosts {
		if peers[name].Incarnation != received.load.Incarnation {
			delete(loads.hosts, name)
		}
	}
	for label, received := range loads.sums {
		if peers[received.sum.Host].Incarnation != received.sum.Incarnation {
			delete(loads.sums, label)
		}
	}
}

func (loads *loads) recordOwn(load Load, now cherrykeel.Instant) {
	loads.own = append(loads.own, timedLoad{load: load, recordedAt: now})
	loads.own = loads.own[max(0, len(loads.own)-maxOwnLoads):]
}

func (loads *loads) recordIfNewer(load Load, now cherrykeel.Instant) bool {
	old, known := loads.hosts[load.Host]
	if known && old.load.Sequence >= load.Sequence {
		return false
	}
	loads.hosts[load.Host] = timedLoad{load: load, recordedAt: now}
	return true
}

// takeSum keeps a sum unless it is older than the one known of the same head. Another head has taken over,
// or two take each other for silent: the one that spoke last is believed.
func (loads *loads) recordSumIfNewer(sum Sum, now cherrykeel.Instant) bool {
	old, known := loads.sums[sum.Group]
	if known && old.sum.Host == sum.Host && old.sum.Sequence >= sum.Sequence {
		return false
	}
	loads.sums[sum.Group] = receivedSum{sum: sum, receivedAt: now}
	return true
}

// heads returns the hosts whose sums are fresh.
func (loads *loads) freshAggregators(now cherrykeel.Instant) map[string]bool {
	aggregators := map[string]bool{}
	for _, received := range loads.sums {
		if now.Sub(received.receivedAt) <= staleAfter && !isOtherGroupsLabel(received.sum.Group) {
			aggregators[received.sum.Host] = true
		}
	}
	return aggregators
}

// sum adds up what this host's group does, this host included.
func (loads *loads) groupSum(plan topo.Plan, self cherrykeel.Peer, now cherrykeel.Instant) Sum {
	sum := Sum{Host: self.Name, Incarnation: self.Incarnation, Group: plan.GroupLabel, Counts: newCounts(), IncludedSequences: map[string]uint64{}}
	for _, name := range plan.Group {
		received, known := loads.hosts[name]
		if known && now.Sub(received.recordedAt) <= staleAfter {
			sum.add(received.load.Counts, 1)
			sum.IncludedSequences[ShortName(name)] = received.load.Sequence
		}
	}
	if len(loads.own) > 0 {
		sum.add(loads.own[len(loads.own)-1].load.Counts, 1)
	}
	return sum
}

// total adds up what all others do, as far as they told lately.
func (loads *loads) otherHosts(plan topo.Plan, self string, now cherrykeel.Instant) Counts {
	total := newCounts()
	if plan.FullMesh || plan.Aggregator == self {
		for name, received := range loads.hosts {
			if now.Sub(received.recordedAt) <= staleAfter && (plan.FullMesh || contains(plan.Group, name)) {
				total.add(received.load.Counts, 1)
			}
		}
	}
	if plan.FullMesh {
		return total
	}
	if plan.Aggregator == self {
		others := loads.otherGroups(plan, now)
		total.add(others, 1)
		return total
	}
	own, others := loads.sums[plan.GroupLabel], loads.sums[otherGroupsLabel(plan.GroupLabel)]
	// Hundreds of upstreams stand in both; grown one by one, the map took as long as all else here.
	total.Running = make(map[string]int, len(own.sum.Running)+len(others.sum.Running))
	if own.isFresh(now) {
		total.add(own.sum.Counts, 1)
		total.add(loads.ownCountsAt(own.sum.IncludedSequences[ShortName(self)]), -1)
	}
	if others.isFresh(now) {
		total.add(others.sum.Counts, 1)
	}
	return total
}

// rest adds up what the other groups do, as their heads told this one.
func (loads *loads) otherGroups(plan topo.Plan, now cherrykeel.Instant) Counts {
	others := newCounts()
	for label, received := range loads.sums {
		if label != plan.GroupLabel && !isOtherGroupsLabel(label) && now.Sub(received.receivedAt) <= staleAfter {
			others.add(received.sum.Counts, 1)
		}
	}
	return others
}

// restSuffix marks the sum of all other groups, as a head tells it to its own.
const otherGroupsSuffix = " others"

func otherGroupsLabel(label string) string {
	return label + otherGroupsSuffix
}

func isOtherGroupsLabel(label string) bool {
	return strings.HasSuffix(label, otherGroupsSuffix)
}

// included returns the load of this host's own that a sum has in it.
func (loads *loads) ownCountsAt(sequence uint64) Counts {
	if sequence == 0 || len(loads.own) == 0 {
		return Counts{}
	}
	for _, own := range loads.own {
		if own.load.Sequence >= sequence {
			return own.load.Counts
		}
	}
	return loads.own[len(loads.own)-1].load.Counts
}

func contains(names []string, name string) bool {
	for _, other := range names {
		if other == name {
			return true
		}
	}
	return false
}
