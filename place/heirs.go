package place

import (
	"cherrykeel"
)

// successors names, for each partition, who takes over when its owner is lost:
// in another availability zone where there is one, and spread so that no single
// upstream inherits much. Last round's successors are kept where they still fit.
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

type successorLimit struct {
	// each is how many partitions of one owner one heir may get.
	perSuccessor int
	// sameZone allows heirs in the owner's own zone, for want of another.
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
