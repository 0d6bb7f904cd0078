package picker

import (
	"cherrykeel"
)

const (
	// remoteZonePenalty is added to the load of an upstream in another availability zone, as a share of its limit.
	remoteZonePenalty = 0.25
	// reportWeight limits the effect of a load report: with a wrong one, an upstream gains or loses at most this share
	// of its limit.
	reportWeight = 0.25
	// minWeight is the least weight that counts; it keeps scores finite.
	minWeight = 0.05
)

// leastLoaded is the Picker that NewLeastLoaded returns.
type leastLoaded struct{}

// NewLeastLoaded returns a Picker that compares upstreams by this host's own requests in flight. Load reports only
// decide between nearly equal ones, since they lag and may be wrong. Among equal ones the choice is random, so that
// hosts do not all choose the same upstream.
func NewLeastLoaded() cherrykeel.Picker {
	return leastLoaded{}
}

// Pick implements cherrykeel.Picker.
func (leastLoaded) Pick(zone string, choices []cherrykeel.Choice, random float64) int {
	best := -1
	bestScore := 0.0
	offset := int(random * float64(len(choices)))
	for i := range choices {
		index := (i + offset) % len(choices)
		choice := choices[index]
		if choice.InFlight >= choice.Limit {
			continue
		}
		score := score(zone, choice)
		if best < 0 || score < bestScore {
			best = index
			bestScore = score
		}
	}
	return best
}

// score returns the load by which choices are compared; the lowest one wins.
func score(zone string, choice cherrykeel.Choice) float64 {
	score := float64(choice.InFlight+1) / float64(choice.Limit) / max(choice.Weight, minWeight)
	score += reportWeight * min(max(choice.ReportedLoad, 0), 1)
	if choice.Zone != zone {
		score += remoteZonePenalty
	}
	return score
}
