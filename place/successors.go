package place

import (
	"cherrykeel"
)

// chooseSuccessors returns for each partition the upstream that takes over when the owner is unavailable. It is in
// another availability zone if there is one, and the successors of one owner are spread so that none of them gets
// much. Previous successors are kept where they still qualify.
func chooseSuccessors(owners, last []string, candidates []cherrykeel.Candidate) []string {
	zones := map[string]string{}
	for _, candidate := range candidates {
		zones[candidate.Name] = candidate.Zone
	}
	successors := make([]string, len(owners))
	counts := map[[2]string]int{}
	limits := successorLimits(owners, candidates)
	for partition, owner := range owners {
		if partition >= len(last) {
			break
		}
		successor := last[partition]
		zone, isCandidate := zones[successor]
		pair := [2]string{owner, successor}
		qualifies := isCandidate && successor != owner && (zone != zones[owner] || limits[owner].sameZone)
		if qualifies && counts[pair] < limits[owner].perSuccessor {
			successors[partition] = successor
			counts[pair]++
		}
	}
	for partition, owner := range owners {
		if successors[partition] == "" {
			successors[partition] = nextSuccessor(owner, candidates, zones, limits[owner], counts)
		}
	}
	return successors
}

// successorLimit limits the successors of one owner.
type successorLimit struct {
	// perSuccessor is how many partitions of one owner one successor may get.
	perSuccessor int
	// sameZone allows successors in the owner's own zone, since there are no others.
	sameZone bool
}

func successorLimits(owners []string, candidates []cherrykeel.Candidate) map[string]successorLimit {
	partitions := map[string]int{}
	for _, owner := range owners {
		partitions[owner]++
	}
	limits := map[string]successorLimit{}
	for _, owner := range candidates {
		elsewhere := 0
		for _, other := range candidates {
			if other.Zone != owner.Zone {
				elsewhere++
			}
		}
		limit := successorLimit{sameZone: elsewhere == 0}
		if limit.sameZone {
			elsewhere = max(1, len(candidates)-1)
		}
		limit.perSuccessor = (partitions[owner.Name] + elsewhere - 1) / elsewhere
		limits[owner.Name] = limit
	}
	return limits
}

// nextSuccessor returns the allowed candidate that succeeds the owner for the fewest partitions, and counts it.
func nextSuccessor(owner string, candidates []cherrykeel.Candidate, zones map[string]string, limit successorLimit, counts map[[2]string]int) string {
	best := ""
	for _, candidate := range candidates {
		if candidate.Name == owner || candidate.Zone == zones[owner] && !limit.sameZone {
			continue
		}
		if best == "" || counts[[2]string{owner, candidate.Name}] < counts[[2]string{owner, best}] {
			best = candidate.Name
		}
	}
	if best != "" {
		counts[[2]string{owner, best}]++
	}
	return best
}
