package naive

import (
	"cherrykeel"
)

type modulo struct{}

// NewModulo returns a Placer that gives each partition to the candidate at the partition's number modulo the number of
// candidates, without leases.
func NewModulo() cherrykeel.Placer {
	return modulo{}
}

// Place implements cherrykeel.Placer. It ignores the previous placement and the load.
func (modulo) Place(_ cherrykeel.Placement, partitions int, candidates []cherrykeel.Candidate, _ cherrykeel.Demand, _ int) cherrykeel.Placement {
	placement := cherrykeel.Placement{Owners: make([]string, partitions), Successors: make([]string, partitions), HotKeys: map[string]string{}}
	if len(candidates) == 0 {
		return placement
	}
	for partition := range partitions {
		placement.Owners[partition] = candidates[partition%len(candidates)].Name
		placement.Successors[partition] = candidates[(partition+1)%len(candidates)].Name
	}
	return placement
}

type roundRobin struct {
	picks int
}

// NewRoundRobin returns a Picker that picks the upstreams in turn and ignores their load and capacity.
func NewRoundRobin() cherrykeel.Picker {
	return &roundRobin{}
}

// Pick implements cherrykeel.Picker. It returns -1 if there are no choices.
func (robin *roundRobin) Pick(_ string, choices []cherrykeel.Choice, _ float64) int {
	if len(choices) == 0 {
		return -1
	}
	robin.picks++
	return robin.picks % len(choices)
}
