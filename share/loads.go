package share

import (
	"strings"

	"cherrykeel"
	"cherrykeel/topo"
)

// maxOwnLoads is how many of its own loads a host remembers, to subtract from a sum the one that is included in it. A
// sum is at most two intervals old, or about six after lost messages.
const maxOwnLoads = 8

// timedLoad is a load and when it was received or, of this host's own, sent.
type timedLoad struct {
	load       Load
	recordedAt cherrykeel.Instant
}

// receivedSum is a group's sum and when it was received.
type receivedSum struct {
	sum        Sum
	receivedAt cherrykeel.Instant
}

// isFresh reports whether a sum has been received within staleAfter.
func (received receivedSum) isFresh(now cherrykeel.Instant) bool {
	return received.sum.Host != "" && now.Sub(received.receivedAt) <= staleAfter
}

// loads keeps the newest loads of hosts and sums of groups. It is guarded by Mesh.mutex.
type loads struct {
	// own are the loads that this host has sent, the newest last.
	own   []timedLoad
	hosts map[string]timedLoad
	// sums are by group label.
	sums map[string]receivedSum
}

func newLoads() loads {
	return loads{hosts: map[string]timedLoad{}, sums: map[string]receivedSum{}}
}

// retain drops loads and sums of hosts that are no peers any more, or from an earlier incarnation of a host.
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

// recordOwn records a load that this host sends.
func (loads *loads) recordOwn(load Load, now cherrykeel.Instant) {
	loads.own = append(loads.own, timedLoad{load: load, recordedAt: now})
	loads.own = loads.own[max(0, len(loads.own)-maxOwnLoads):]
}

// recordIfNewer records a host's load, and reports whether it was newer than the one known.
func (loads *loads) recordIfNewer(load Load, now cherrykeel.Instant) bool {
	old, known := loads.hosts[load.Host]
	if known && old.load.Sequence >= load.Sequence {
		return false
	}
	loads.hosts[load.Host] = timedLoad{load: load, recordedAt: now}
	return true
}

// recordSumIfNewer records a group's sum, and reports false if it is older than the known one of the same aggregator. A
// sum of another aggregator always replaces the known one: that one has taken over, or each of the two takes the other
// for unreachable.
func (loads *loads) recordSumIfNewer(sum Sum, now cherrykeel.Instant) bool {
	old, known := loads.sums[sum.Group]
	if known && old.sum.Host == sum.Host && old.sum.Sequence >= sum.Sequence {
		return false
	}
	loads.sums[sum.Group] = receivedSum{sum: sum, receivedAt: now}
	return true
}

// freshAggregators returns the hosts whose sums of their groups are fresh.
func (loads *loads) freshAggregators(now cherrykeel.Instant) map[string]bool {
	aggregators := map[string]bool{}
	for _, received := range loads.sums {
		if now.Sub(received.receivedAt) <= staleAfter && !isOtherGroupsLabel(received.sum.Group) {
			aggregators[received.sum.Host] = true
		}
	}
	return aggregators
}

// groupSum adds up the fresh loads of this host's group, this host included.
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

// otherHosts adds up the fresh loads of all other hosts.
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
	// Both sums have hundreds of upstreams; growing the map step by step took as long as the rest of this function.
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

// otherGroups adds up the fresh sums that this aggregator has received from the other groups' aggregators.
func (loads *loads) otherGroups(plan topo.Plan, now cherrykeel.Instant) Counts {
	others := newCounts()
	for label, received := range loads.sums {
		if label != plan.GroupLabel && !isOtherGroupsLabel(label) && now.Sub(received.receivedAt) <= staleAfter {
			others.add(received.sum.Counts, 1)
		}
	}
	return others
}

// otherGroupsSuffix marks the sum of all other groups, which an aggregator sends to its group.
const otherGroupsSuffix = " others"

func otherGroupsLabel(label string) string {
	return label + otherGroupsSuffix
}

func isOtherGroupsLabel(label string) bool {
	return strings.HasSuffix(label, otherGroupsSuffix)
}

// ownCountsAt returns this host's own counts that a sum includes, by the sequence of the included load; 0 means none.
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
