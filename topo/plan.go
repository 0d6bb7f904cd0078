package topo

import (
	"cherrykeel"
)

const (
	// MaxFullMeshHosts is up to how many hosts each tells each other one: 12 send some 130 messages in the time in
	// which 72 would send 5,100, and 72 did not play a quiet day to its end that way.
	MaxFullMeshHosts = 12
	// maxGroupHosts bounds a group. Its head sends one sum to each member about six times a second; 24 sums of
	// 2 KB are 290 KB/s, a quarter of the smallest link seen, 10 Mbit/s.
	maxGroupHosts = 24
	// hubCount is how many hosts hear from all. They are spread over the hosts by a hash, so that the loss of
	// a quarter of them at once takes all four in 1 case of 250; others take their places a second later.
	hubCount = 4
	// maxSumsPerTick bounds how many sums a head sends to other heads in a tick of 80 ms: up to four groups hear of each
	// other in each one. A request takes 0.1 to 0.5 s, and older counts say little.
	maxSumsPerTick = 3
	// maxSumTicks bounds how old counts of other groups become.
	maxSumTicks = 4
	// forwardersPerGroup is how many hosts of each group pass on what is told to all, so that neither one that has died
	// unnoticed nor a lost datagram leaves a group without it.
	forwardersPerGroup = 2
	// maxHubs bounds them with those whom the store does not serve. While it serves nobody, each that said so was
	// followed by the next one, and in 3 s of an outage dozens of 195 hosts told all others; of twelve that are spread
	// over the hosts one is served unless nearly nobody is.
	maxHubs = 3 * hubCount
)

// View is what a host knows of the others' state.
type View interface {
	// IsUnreachable reports whether a host should have been heard and has not.
	IsUnreachable(name string) bool
	// IsStoreUnreachable reports whether a host says that the store does not serve it.
	IsStoreUnreachable(name string) bool
}

// Plan says to whom one host sends.
type Plan struct {
	// FullMesh means that each host tells each other one, and nothing else of the plan counts.
	FullMesh bool
	// Order has all hosts: those that can carry most first, the others by a hash.
	Order []string
	// Hubs hear the reports of all hosts and send theirs to all.
	Hubs []string
	// Group has the hosts of this host's group, itself included, and Head sums up their loads.
	Group      []string
	Aggregator string
	// Aggregators are the heads of the other groups, as far as this host can tell.
	Aggregators []string
	// Forwarders are the hosts of the other groups that pass on to their groups what is told to all.
	Forwarders []string
	// GroupLabel names this host's group.
	GroupLabel string

	ranks map[string]int
}

// New returns the plan of the host named self; peers include it.
func New(self string, peers []cherrykeel.Peer, view View) Plan {
	return NewFleet(self, peers).Plan(view)
}

// Plan returns the present plan by what is known of the hosts.
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

// IsHub reports whether a host is a watcher.
func (plan Plan) IsHub(name string) bool {
	return contains(plan.Hubs, name)
}

// Rank returns a host's place in the order, or the number of hosts if it is not there.
func (plan Plan) Rank(name string) int {
	place, known := plan.ranks[name]
	if !known {
		return len(plan.Order)
	}
	return place
}

// chooseHubs takes the first hosts that are heard. One whom the store does not serve is kept, but does
// not count: it could not read the store for the others, nor claim the keeping of spans.
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

// firstReachable returns the firstReachable host that is not silent, or the firstReachable if all are.
func firstReachable(self string, names []string, view View) string {
	for _, name := range names {
		if name == self || !view.IsUnreachable(name) {
			return name
		}
	}
	return names[0]
}

// reachableForwarders returns the first hosts of a group that are not silent, or the first ones if all are.
func reachableForwarders(names []string, view View) []string {
	var relays []string
	for _, name := range names {
		if len(relays) < forwardersPerGroup && !view.IsUnreachable(name) {
			relays = append(relays, name)
		}
	}
	if len(relays) == 0 {
		return names[:min(forwardersPerGroup, len(names))]
	}
	return relays
}

func contains(names []string, name string) bool {
	for _, other := range names {
		if other == name {
			return true
		}
	}
	return false
}

// SumTicks returns in how many ticks once a head tells the other heads its sum, and its group theirs.
func (plan Plan) SumTicks() int {
	ticks := (len(plan.Aggregators) + maxSumsPerTick - 1) / maxSumsPerTick
	return min(max(1, ticks), maxSumTicks)
}
