package place_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cherrykeel"
	"cherrykeel/place"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}

func candidates(t *rapid.T, name string) []cherrykeel.Candidate {
	var list []cherrykeel.Candidate
	for i := range rapid.IntRange(1, 12).Draw(t, name) {
		list = append(list, cherrykeel.Candidate{Name: fmt.Sprintf("up-%02d", i), Zone: fmt.Sprintf("zone-%d", i%3)})
	}
	return list
}

func demand(t *rapid.T, partitions int) cherrykeel.Demand {
	demand := cherrykeel.Demand{HotKeys: map[string]float64{}}
	for range partitions {
		demand.Partitions = append(demand.Partitions, rapid.Float64Range(0, 10).Draw(t, "load"))
	}
	for key := range rapid.IntRange(0, 4).Draw(t, "hot keys") {
		demand.HotKeys[fmt.Sprintf("key-%d", key)] = rapid.Float64Range(0, 200).Draw(t, "heat")
	}
	return demand
}

// countChanged returns the number of partitions with another owner.
func countChanged(before, after cherrykeel.Placement) int {
	count := 0
	for partition, owner := range after.Owners {
		if partition < len(before.Owners) && before.Owners[partition] != owner {
			count++
		}
	}
	return count
}

var _ = Describe("placement", func() {
	// Guards against partitions without an owner, needless moves, and a placement that never becomes stable, by random
	// changes of candidates and load.
	It("assigns everything to candidates, moves no more than its budget without need, and becomes stable", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			partitions := rapid.IntRange(8, 96).Draw(t, "partitions")
			placer := place.New()
			before := candidates(t, "before")
			first := placer.Place(cherrykeel.Placement{}, partitions, before, cherrykeel.Demand{}, partitions)
			after := candidates(t, "after")
			load := demand(t, partitions)
			budget := rapid.IntRange(0, 8).Draw(t, "budget")
			next := placer.Place(first, partitions, after, load, budget)

			live := map[string]string{}
			for _, candidate := range after {
				live[candidate.Name] = candidate.Zone
			}
			orphans := 0
			for partition, owner := range next.Owners {
				if _, isCandidate := live[owner]; !isCandidate {
					t.Fatalf("partition %d was assigned to %q", partition, owner)
				}
				if _, isCandidate := live[first.Owners[partition]]; !isCandidate {
					orphans++
				}
				successor := next.Successors[partition]
				if len(after) > 1 && (successor == owner || successor == "") {
					t.Fatalf("partition %d of %s has successor %q", partition, owner, successor)
				}
				if len(after) > 2 && live[successor] == live[owner] {
					t.Fatalf("partition %d has owner and successor in %s", partition, live[owner])
				}
			}
			for key, owner := range next.HotKeys {
				if _, isCandidate := live[owner]; !isCandidate {
					t.Fatalf("key %s was assigned to %q", key, owner)
				}
			}
			// A swap moves two partitions for one step of the budget.
			if moved := countChanged(first, next); moved > orphans+2*budget {
				t.Fatalf("moved %d, orphans %d, budget %d", moved, orphans, budget)
			}
			for range 200 {
				last := next
				next = placer.Place(last, partitions, after, load, 8)
				if countChanged(last, next) == 0 && fmt.Sprint(last.HotKeys) == fmt.Sprint(next.HotKeys) {
					return
				}
			}
			t.Fatalf("the placement does not become stable")
		})
	})

	// Guards against moves that only follow the noise of load reports.
	It("moves nothing when load reports are noisy", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			placer := place.New()
			var upstreams []cherrykeel.Candidate
			for i := range 8 {
				upstreams = append(upstreams, cherrykeel.Candidate{Name: fmt.Sprintf("up-%d", i), Zone: fmt.Sprintf("zone-%d", i%4)})
			}
			last := placer.Place(cherrykeel.Placement{}, 256, upstreams, cherrykeel.Demand{}, 256)
			for range 5 {
				noisy := cherrykeel.Demand{}
				for range 256 {
					noisy.Partitions = append(noisy.Partitions, 10*rapid.Float64Range(0.7, 1.3).Draw(t, "noise"))
				}
				next := placer.Place(last, 256, upstreams, noisy, 8)
				if moved := countChanged(last, next); moved != 0 {
					t.Fatalf("moved %d", moved)
				}
				last = next
			}
		})
	})
})
