package place

import (
	"sort"

	"cherrykeel"
	"cherrykeel/route"
)

// meanLoad returns the mean load of the upstreams.
func (plan *plan) meanLoad() float64 {
	total := 0.0
	for _, weight := range plan.weights {
		total += weight
	}
	for key := range plan.hotKeys {
		total += plan.demand.HotKeys[key]
	}
	return total / float64(len(plan.candidates))
}

// chooseHotKeys selects the keys that are placed apart from their partitions. The load of the others is added to
// their partitions, since Demand.Partitions does not include the keys in Demand.HotKeys.
func (plan *plan) chooseHotKeys(last cherrykeel.Placement) {
	total := 0.0
	for _, weight := range plan.weights {
		total += weight
	}
	for _, load := range plan.demand.HotKeys {
		total += load
	}
	mean := total / float64(len(plan.candidates))
	for _, key := range byLoad(plan.demand.HotKeys, last.HotKeys) {
		load := plan.demand.HotKeys[key]
		previous, wasPlaced := last.HotKeys[key]
		if load < coolKeyShare*mean || !wasPlaced && load < hotKeyShare*mean {
			plan.weights[route.Partition(key, len(plan.weights))] += load
			continue
		}
		plan.hotKeys[key] = previous
	}
}

// placeHotKeys leaves hot keys at their upstreams while those are candidates, and assigns the others to the least
// loaded.
func (plan *plan) placeHotKeys(last cherrykeel.Placement) {
	for _, key := range byLoad(plan.demand.HotKeys, last.HotKeys) {
		previous, isHot := plan.hotKeys[key]
		if !isHot {
			continue
		}
		owner, isCandidate := plan.index[previous]
		if !isCandidate {
			owner = plan.leastLoaded()
		}
		plan.hotKeys[key] = plan.candidates[owner].Name
		plan.load[owner] += plan.demand.HotKeys[key]
	}
}

// byLoad returns the keys of both maps, highest load first.
func byLoad(loads map[string]float64, placed map[string]string) []string {
	keys := make([]string, 0, len(loads)+len(placed))
	for key := range loads {
		keys = append(keys, key)
	}
	for key := range placed {
		if _, counted := loads[key]; !counted {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool {
		if loads[keys[i]] != loads[keys[j]] {
			return loads[keys[i]] > loads[keys[j]]
		}
		return keys[i] < keys[j]
	})
	return keys
}

// leastLoaded returns the index of the upstream with the lowest load.
func (plan *plan) leastLoaded() int {
	best := 0
	for i := range plan.candidates {
		if plan.load[i] < plan.load[best] {
			best = i
		}
	}
	return best
}

// mostLoaded returns the index of the upstream with the highest load.
func (plan *plan) mostLoaded() int {
	best := 0
	for i := range plan.candidates {
		if plan.load[i] > plan.load[best] {
			best = i
		}
	}
	return best
}

// balanceLoad moves load from the most to the least loaded upstream until the imbalance is below its target, no move
// helps, or the budget is spent.
func (plan *plan) balanceLoad() {
	mean := plan.meanLoad()
	if mean == 0 || plan.load[plan.mostLoaded()] < imbalanceTrigger*mean {
		return
	}
	for plan.budget > 0 && plan.load[plan.mostLoaded()] > imbalanceTarget*mean {
		if !plan.moveLoad(plan.mostLoaded(), plan.leastLoaded()) {
			return
		}
		plan.budget--
	}
}

// moveLoad moves a hot key or a partition, or swaps two partitions, so that the gap between the loads of two
// upstreams shrinks. It reports whether it did.
func (plan *plan) moveLoad(from, to int) bool {
	gap := plan.load[from] - plan.load[to]
	if plan.moveHotKey(from, to, gap) {
		return true
	}
	heavy := plan.heaviestMovable(from, gap)
	if heavy < 0 {
		return false
	}
	mean := float64(len(plan.owners)) / float64(len(plan.candidates))
	if float64(plan.count[to]+1) <= mean*maxCountRatio {
		plan.assign(heavy, to)
		return true
	}
	return plan.swap(heavy, from, to)
}

// moveHotKey moves the hot key with the highest load up to half the gap, if that is at least an eighth of the gap, so
// that the gap shrinks noticeably without being reversed. It reports whether it did.
func (plan *plan) moveHotKey(from, to int, gap float64) bool {
	best := ""
	for _, key := range byLoad(plan.demand.HotKeys, nil) {
		if plan.hotKeys[key] == plan.candidates[from].Name && plan.demand.HotKeys[key] <= gap/2 {
			best = key
			break
		}
	}
	if best == "" {
		return false
	}
	load := plan.demand.HotKeys[best]
	if load < gap/8 {
		return false
	}
	plan.hotKeys[best] = plan.candidates[to].Name
	plan.load[from] -= load
	plan.load[to] += load
	return true
}

// heaviestMovable returns the partition of the owner with the highest load up to half the gap, or -1.
func (plan *plan) heaviestMovable(owner int, gap float64) int {
	name := plan.candidates[owner].Name
	best := -1
	for partition, holder := range plan.owners {
		weight := plan.weights[partition]
		if holder != name || weight > gap/2 || weight == 0 {
			continue
		}
		if best < 0 || weight > plan.weights[best] {
			best = partition
		}
	}
	return best
}

// swap exchanges a heavy partition for the lightest one of the other upstream, so that partition counts stay the
// same. It reports whether it did.
func (plan *plan) swap(heavy, from, to int) bool {
	name := plan.candidates[to].Name
	light := -1
	for partition, holder := range plan.owners {
		if holder == name && (light < 0 || plan.weights[partition] < plan.weights[light]) {
			light = partition
		}
	}
	if light < 0 || plan.weights[light] >= plan.weights[heavy] {
		return false
	}
	plan.assign(heavy, to)
	plan.assign(light, from)
	return true
}
