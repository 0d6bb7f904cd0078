package share

import (
	"strings"

	"cherrykeel"
	"cherrykeel/topo"
)

// keptLoads is how many of its own loads a host remembers, to take out of a sum the one that is in it; a sum
// is at most two paces old, or some six after lost messages.
const keptLoads = 8

type heardLoad struct {
	load Load
	at   cherrykeel.Instant
}

type heardSum struct {
	sum Sum
	at  cherrykeel.Instant
}

// fresh reports whether a sum was heard, and lately.
func (heard heardSum) fresh(now cherrykeel.Instant) bool {
	return heard.sum.Host != "" && now.Sub(heard.at) <= staleAfter
}

// loads keeps what hosts and groups of hosts do, as they told last. It is guarded by Mesh.mutex.
type loads struct {
	own   []heardLoad
	hosts map[string]heardLoad
	// sums are by group.
	sums map[string]heardSum
}

func newLoads() loads {
	return loads{hosts: map[string]heardLoad{}, sums: map[string]heardSum{}}
}

// keep forgets what hosts told that are gone, or told in an earlier life.
func (loads *loads) keep(peers map[string]cherrykeel.Peer) {
	for name, heard := range loads.hosts {
		if peers[name].Incarnation != heard.load.Incarnation {
			delete(loads.hosts, name)
		}
	}
	for label, heard := range loads.sums {
		if peers[heard.sum.Host].Incarnation != heard.sum.Incarnation {
			delete(loads.sums, label)
		}
	}
}

func (loads *loads) sent(load Load, now cherrykeel.Instant) {
	loads.own = append(loads.own, heardLoad{load: load, at: now})
	loads.own = loads.own[max(0, len(loads.own)-keptLoads):]
}

func (loads *loads) take(load Load, now cherrykeel.Instant) bool {
	old, known := loads.hosts[load.Host]
	if known && old.load.Sequence >= load.Sequence {
		return false
	}
	loads.hosts[load.Host] = heardLoad{load: load, at: now}
	return true
}

// takeSum keeps a sum unless it is older than the one known of the same head. Another head has taken over,
// or two take each other for silent: the one that spoke last is believed.
func (loads *loads) takeSum(sum Sum, now cherrykeel.Instant) bool {
	old, known := loads.sums[sum.Group]
	if known && old.sum.Host == sum.Host && old.sum.Sequence >= sum.Sequence {
		return false
	}
	loads.sums[sum.Group] = heardSum{sum: sum, at: now}
	return true
}

// heads returns the hosts whose sums are fresh.
func (loads *loads) heads(now cherrykeel.Instant) map[string]bool {
	heads := map[string]bool{}
	for _, heard := range loads.sums {
		if now.Sub(heard.at) <= staleAfter && !isRest(heard.sum.Group) {
			heads[heard.sum.Host] = true
		}
	}
	return heads
}

// sum adds up what this host's group does, this host included.
func (loads *loads) sum(plan topo.Plan, self cherrykeel.Peer, now cherrykeel.Instant) Sum {
	sum := Sum{Host: self.Name, Incarnation: self.Incarnation, Group: plan.GroupLabel, Counts: newCounts(), IncludedSequences: map[string]uint64{}}
	for _, name := range plan.Group {
		heard, known := loads.hosts[name]
		if known && now.Sub(heard.at) <= staleAfter {
			sum.add(heard.load.Counts, 1)
			sum.IncludedSequences[ShortName(name)] = heard.load.Sequence
		}
	}
	if len(loads.own) > 0 {
		sum.add(loads.own[len(loads.own)-1].load.Counts, 1)
	}
	return sum
}

// total adds up what all others do, as far as they told lately.
func (loads *loads) total(plan topo.Plan, self string, now cherrykeel.Instant) Counts {
	total := newCounts()
	if plan.FullMesh || plan.Aggregator == self {
		for name, heard := range loads.hosts {
			if now.Sub(heard.at) <= staleAfter && (plan.FullMesh || contains(plan.Group, name)) {
				total.add(heard.load.Counts, 1)
			}
		}
	}
	if plan.FullMesh {
		return total
	}
	if plan.Aggregator == self {
		rest := loads.rest(plan, now)
		total.add(rest, 1)
		return total
	}
	own, rest := loads.sums[plan.GroupLabel], loads.sums[restOf(plan.GroupLabel)]
	// Hundreds of upstreams stand in both; grown one by one, the map took as long as all else here.
	total.Running = make(map[string]int, len(own.sum.Running)+len(rest.sum.Running))
	if own.fresh(now) {
		total.add(own.sum.Counts, 1)
		total.add(loads.included(own.sum.IncludedSequences[ShortName(self)]), -1)
	}
	if rest.fresh(now) {
		total.add(rest.sum.Counts, 1)
	}
	return total
}

// rest adds up what the other groups do, as their heads told this one.
func (loads *loads) rest(plan topo.Plan, now cherrykeel.Instant) Counts {
	rest := newCounts()
	for label, heard := range loads.sums {
		if label != plan.GroupLabel && !isRest(label) && now.Sub(heard.at) <= staleAfter {
			rest.add(heard.sum.Counts, 1)
		}
	}
	return rest
}

// restSuffix marks the sum of all other groups, as a head tells it to its own.
const restSuffix = " others"

func restOf(label string) string {
	return label + restSuffix
}

func isRest(label string) bool {
	return strings.HasSuffix(label, restSuffix)
}

// included returns the load of this host's own that a sum has in it.
func (loads *loads) included(sequence uint64) Counts {
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
