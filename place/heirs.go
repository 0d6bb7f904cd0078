package place

import (
	"cherrykeel"
)

// successors names, for each partition, who takes over when its owner is lost:
// in another availability zone where there is one, and spread so that no single
// upstream inherits much. Last round's successors are kept where they still fit.
func successors(owners, last []string, candidates []cherrykeel.Candidate) []string {
	zones := map[string]string{}
	for _, candidate := range candidates {
		zones[candidate.Name] = candidate.Zone
	}
	heirs := make([]string, len(owners))
	inherited := map[[2]string]int{}
	limits := heirLimits(owners, candidates)
	for partition, owner := range owners {
		if partition >= len(last) {
			break
		}
		heir := last[partition]
		zone, live := zones[heir]
		pair := [2]string{owner, heir}
		fits := live && heir != owner && (zone != zones[owner] || limits[owner].sameZone)
		if fits && inherited[pair] < limits[owner].each {
			heirs[partition] = heir
			inherited[pair]++
		}
	}
	for partition, owner := range owners {
		if heirs[partition] == "" {
			heirs[partition] = nextHeir(owner, candidates, zones, limits[owner], inherited)
		}
	}
	return heirs
}

type heirLimit struct {
	// each is how many partitions of one owner one heir may get.
	each int
	// sameZone allows heirs in the owner's own zone, for want of another.
	sameZone bool
}

func heirLimits(owners []string, candidates []cherrykeel.Candidate) map[string]heirLimit {
	counts := map[string]int{}
	for _, owner := range owners {
		counts[owner]++
	}
	limits := map[string]heirLimit{}
	for _, owner := range candidates {
		elsewhere := 0
		for _, other := range candidates {
			if other.Zone != owner.Zone {
				elsewhere++
			}
		}
		limit := heirLimit{sameZone: elsewhere == 0}
		if limit.sameZone {
			elsewhere = max(1, len(candidates)-1)
		}
		limit.each = (counts[owner.Name] + elsewhere - 1) / elsewhere
		limits[owner.Name] = limit
	}
	return limits
}

func nextHeir(owner string, candidates []cherrykeel.Candidate, zones map[string]string, limit heirLimit, inherited map[[2]string]int) string {
	best := ""
	for _, candidate := range candidates {
		if candidate.Name == owner || candidate.Zone == zones[owner] && !limit.sameZone {
			continue
		}
		if best == "" || inherited[[2]string{owner, candidate.Name}] < inherited[[2]string{owner, best}] {
			best = candidate.Name
		}
	}
	if best != "" {
		inherited[[2]string{owner, best}]++
	}
	return best
}
