package place

import (
	"sort"

	"cherrykeel"
)

const (
	// imbalanceTrigger is the load of the most loaded upstream, as a multiple of the mean, from which partitions move
	// to balance load.
	imbalanceTrigger = 1.20
	// imbalanceTarget is the multiple at which such moves stop. The gap to the trigger keeps noisy load reports from
	// causing moves.
	imbalanceTarget = 1.10
	// maxCountRatio and minCountRatio are the limits of an upstream's partition count, as multiples of the mean.
	// Beyond them partitions move to balance counts; within them counts may differ in order to balance load.
	maxCountRatio = 1.06
	minCountRatio = 0.90
	// hotKeyShare is the load of a key, as a share of an upstream's mean load, from which it is placed apart from its
	// partition.
	hotKeyShare = 0.10
	// coolKeyShare is the load, as the same share, below which a hot key goes back to its partition.
	coolKeyShare = 0.03
)

// placer is the default Placer.
type placer struct{}

// New returns the default Placer.
func New() cherrykeel.Placer {
	return placer{}
}

// plan is a placement under construction. Its upstreams are named by their index in candidates.
type plan struct {
	candidates []cherrykeel.Candidate
	index      map[string]int
	// owners names the owner of each partition; it is empty while there is none.
	owners []string
	// weights are the loads of the partitions, including those of keys that are not placed apart.
	weights []float64
	demand  cherrykeel.Demand
	hotKeys map[string]string
	// count and load are the number of partitions and the total load of each upstream.
	count []int
	load  []float64
	// budget is how many more moves may be made to balance counts and load.
	budget int
}

// Place implements cherrykeel.Placer.
func (placer) Place(last cherrykeel.Placement, partitions int, candidates []cherrykeel.Candidate, demand cherrykeel.Demand, budget int) cherrykeel.Placement {
	if len(candidates) == 0 {
		return last
	}
	plan := newPlan(last, partitions, candidates, demand, budget)
	plan.placeOrphans(last)
	plan.placeHotKeys(last)
	plan.balanceCounts()
	plan.balanceLoad()
	return cherrykeel.Placement{
		Owners:     plan.owners,
		Successors: chooseSuccessors(plan.owners, last.Successors, plan.candidates),
		HotKeys:    plan.hotKeys,
	}
}

func newPlan(last cherrykeel.Placement, partitions int, candidates []cherrykeel.Candidate, demand cherrykeel.Demand, budget int) *plan {
	sorted := append([]cherrykeel.Candidate(nil), candidates...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	plan := &plan{
		candidates: sorted,
		index:      map[string]int{},
		owners:     make([]string, partitions),
		weights:    make([]float64, partitions),
		demand:     demand,
		hotKeys:    map[string]string{},
		count:      make([]int, len(sorted)),
		load:       make([]float64, len(sorted)),
		budget:     budget,
	}
	for i, candidate := range sorted {
		plan.index[candidate.Name] = i
	}
	if len(demand.Partitions) == partitions {
		copy(plan.weights, demand.Partitions)
	}
	plan.chooseHotKeys(last)
	for partition := 0; partition < partitions && partition < len(last.Owners); partition++ {
		if owner, isCandidate := plan.index[last.Owners[partition]]; isCandidate {
			plan.assign(partition, owner)
		}
	}
	return plan
}

// assign makes an upstream the owner of a partition.
func (plan *plan) assign(partition, owner int) {
	if previous, owned := plan.index[plan.owners[partition]]; owned {
		plan.count[previous]--
		plan.load[previous] -= plan.weights[partition]
	}
	plan.owners[partition] = plan.candidates[owner].Name
	plan.count[owner]++
	plan.load[owner] += plan.weights[partition]
}

// fairCount returns the mean partition count, rounded up.
func (plan *plan) fairCount() int {
	return (len(plan.owners) + len(plan.candidates) - 1) / len(plan.candidates)
}

// placeOrphans assigns each partition whose owner is no candidate to its successor, if that one has less than its
// fair count, and otherwise to the candidate with the fewest partitions.
func (plan *plan) placeOrphans(last cherrykeel.Placement) {
	for partition, owner := range plan.owners {
		if owner != "" {
			continue
		}
		target := plan.withFewest()
		if partition < len(last.Successors) {
			successor, isCandidate := plan.index[last.Successors[partition]]
			if isCandidate && plan.count[successor] < plan.fairCount() {
				target = successor
			}
		}
		plan.assign(partition, target)
	}
}

// withFewest returns the upstream with the fewest partitions, and with the lowest load among equals.
func (plan *plan) withFewest() int {
	best := 0
	for i := range plan.candidates {
		fewer := plan.count[i] < plan.count[best]
		lighter := plan.count[i] == plan.count[best] && plan.load[i] < plan.load[best]
		if fewer || lighter {
			best = i
		}
	}
	return best
}

// balanceCounts moves partitions from the upstream with the most to the one with the fewest until all counts are
// within their limits. Upstreams that join fill up over several rounds, each limited by the budget.
func (plan *plan) balanceCounts() {
	mean := float64(len(plan.owners)) / float64(len(plan.candidates))
	for plan.budget > 0 {
		full, empty := plan.withMost(), plan.withFewest()
		within := float64(plan.count[full]) <= mean*maxCountRatio && float64(plan.count[empty]) >= mean*minCountRatio
		if within || plan.count[full]-plan.count[empty] <= 1 {
			return
		}
		plan.assign(plan.partitionNearMean(full), empty)
		plan.budget--
	}
}

// withMost returns the upstream with the most partitions.
func (plan *plan) withMost() int {
	best := 0
	for i := range plan.candidates {
		if plan.count[i] > plan.count[best] {
			best = i
		}
	}
	return best
}

// partitionNearMean returns the partition of the owner whose load is nearest to the owner's mean, so that moving it
// balances counts and load together.
func (plan *plan) partitionNearMean(owner int) int {
	name := plan.candidates[owner].Name
	mean := plan.load[owner] / float64(max(1, plan.count[owner]))
	best := -1
	bestGap := 0.0
	for partition, holder := range plan.owners {
		if holder != name {
			continue
		}
		gap := plan.weights[partition] - mean
		if gap < 0 {
			gap = -gap
		}
		if best < 0 || gap < bestGap {
			best = partition
			bestGap = gap
		}
	}
	return best
}
