package topo

import (
	"cherrykeel"
)

const (
	// MaxFullMeshHosts is the largest number of hosts at which each host sends to every other one. 12 hosts send about
	// 130 messages in the time in which 72 would send 5,100; 72 hosts that did so failed even under light traffic.
	MaxFullMeshHosts = 12
	// maxGroupHosts bounds the size of a group. Its aggregator sends one sum to each member about six times a second;
	// 24 sums of 2 KB are 290 KB/s, a quarter of the smallest link, 10 Mbit/s.
	maxGroupHosts = 24
	// hubCount is the number of hubs, the first reachable hosts in the order of Plan.Order. Among hosts of equal capacity
	// a hash decides, so that a failure of a quarter of these includes all four hubs in 1 case of 250; others replace them
	// a second later.
	hubCount = 4
	// maxSumsPerTick bounds the sums that an aggregator sends to other aggregators, on average in a tick of 80 ms: up to
	// four groups exchange their sums in each tick, more groups less often.
	maxSumsPerTick = 3
	// maxSumTicks bounds the interval of these sums, in ticks, even if more than maxSumsPerTick are then sent. A request
	// takes 0.1 to 0.5 s, so older counts are of little use.
	maxSumTicks = 4
	// forwardersPerGroup is the number of hosts of each group that forward announcements to it. With two, neither an
	// undetected crash nor a lost datagram leaves a group without an announcement.
	forwardersPerGroup = 2
	// maxHubs bounds the hubs including those to which the store is unavailable. Without it, while the store serves no
	// host, each hub that reports this adds the next host as a hub: within 3 s of an outage dozens of 195 hosts sent to
	// all others. Of twelve hubs, which a hash selects among hosts of equal capacity, the store serves at least one unless
	// it serves almost no host.
	maxHubs = 3 * hubCount
)

// View is what a host knows of the state of the other hosts.
type View interface {
	// IsUnreachable reports whether an expected report of a host is missing.
	IsUnreachable(name string) bool
	// IsStoreUnreachable reports whether a host reports that the store is unavailable to it.
	IsStoreUnreachable(name string) bool
}

// Plan determines to which hosts one host sends.
type Plan struct {
	// FullMesh means that each host sends to every other one; the rest of the plan does not apply then.
	FullMesh bool
	// Order has all hosts: first those with the highest capacity, and by a hash of their names among equals.
	Order []string
	// Hubs receive the reports of all hosts and send theirs to all.
	Hubs []string
	// Group has the hosts of this host's group, including itself; Aggregator sums their loads.
	Group      []string
	Aggregator string
	// Aggregators are the aggregators of the other groups, as far as this host can tell.
	Aggregators []string
	// Forwarders are the hosts of the other groups that forward announcements to their groups.
	Forwarders []string
	// GroupLabel is the label of this host's group.
	GroupLabel string

	ranks map[string]int
}

// New returns the plan of the host named self; peers include it.
func New(self string, peers []cherrykeel.Peer, view View) Plan {
	return NewFleet(self, peers).Plan(view)
}

// Plan returns the plan for the present state of the hosts.
func (fleet *Fleet) Plan(view View) Plan {
	plan := Plan{
		FullMesh: len(fleet.names) <= MaxFullMeshHosts,
		Order:    fleet.names, GroupLabel: fleet.ownLabel, Group: fleet.groups[fleet.ownLabel],
		ranks: fleet.ranks,
	}
	plan.Hubs = chooseHubs(fleet.self, fleet.names, view)
	if len(plan.Group) > 0 {
		plan.Aggregator = firstReachable(fleet.self, plan.Group, view)
	}
	for _, label := range fleet.labels {
		if label != plan.GroupLabel {
			plan.Aggregators = append(plan.Aggregators, firstReachable(fleet.self, fleet.groups[label], view))
			plan.Forwarders = append(plan.Forwarders, reachableForwarders(fleet.groups[label], view)...)
		}
	}
	return plan
}

// IsHub reports whether a host is a hub.
func (plan Plan) IsHub(name string) bool {
	return contains(plan.Hubs, name)
}

// Rank returns a host's position in the order, from 0, or the number of hosts if it is not there.
func (plan Plan) Rank(name string) int {
	rank, known := plan.ranks[name]
	if !known {
		return len(plan.Order)
	}
	return rank
}

// chooseHubs returns the first reachable hosts. A host to which the store is unavailable is included but does not count
// toward hubCount: it could not read the store for the others, nor claim the keeper's role.
func chooseHubs(self string, order []string, view View) []string {
	var chosen []string
	counted := 0
	for _, name := range order {
		if counted == hubCount || len(chosen) == maxHubs {
			break
		}
		if name != self && view.IsUnreachable(name) {
			continue
		}
		chosen = append(chosen, name)
		if !view.IsStoreUnreachable(name) {
			counted++
		}
	}
	return chosen
}

// firstReachable returns the first reachable host, or the first of all if none is reachable.
func firstReachable(self string, names []string, view View) string {
	for _, name := range names {
		if name == self || !view.IsUnreachable(name) {
			return name
		}
	}
	return names[0]
}

// reachableForwarders returns the first reachable hosts of a group, or the first ones if none is reachable.
func reachableForwarders(names []string, view View) []string {
	var forwarders []string
	for _, name := range names {
		if len(forwarders) < forwardersPerGroup && !view.IsUnreachable(name) {
			forwarders = append(forwarders, name)
		}
	}
	if len(forwarders) == 0 {
		return names[:min(forwardersPerGroup, len(names))]
	}
	return forwarders
}

func contains(names []string, name string) bool {
	for _, other := range names {
		if other == name {
			return true
		}
	}
	return false
}

// SumTicks returns the interval, in ticks, at which an aggregator sends its sum to the other aggregators, and their
// sums to its group.
func (plan Plan) SumTicks() int {
	ticks := (len(plan.Aggregators) + maxSumsPerTick - 1) / maxSumsPerTick
	return min(max(1, ticks), maxSumTicks)
}
