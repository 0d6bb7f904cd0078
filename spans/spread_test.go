package spans_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/spans"
)

// spread simulates a keeper's rounds of 250 ms from the moment at which 200 neighbouring keys get two fifths of 350
// requests a second, among 231 owners with a capacity of 2.3 each, and returns the highest utilization after each
// round. Keys in transfer become free after transferRounds rounds, when the work on them has ended.
func spread(rounds, transferRounds int) []float64 {
	random := rand.New(rand.NewPCG(7, 8))
	demand := steady(350, func() int { return random.IntN(cherrykeel.MaxKey + 1) })
	var all []spans.Candidate
	for i := range 231 {
		all = append(all, spans.Candidate{ID: fmt.Sprintf("u%03d", i), Address: "10.0.0.1:80", Capacity: 2.3})
	}
	list := spans.Divide(all, demand)
	transferSince := map[cherrykeel.KeySpan]int{}
	ownedSince := map[cherrykeel.KeySpan]int{}
	var worst []float64
	for round := range rounds {
		for tenth := range 5 {
			demand.Decay(at(6*time.Second + time.Duration(5*round+tenth)*50*time.Millisecond))
			for range 350 / 20 {
				key := random.IntN(cherrykeel.MaxKey + 1)
				if random.Float64() < 0.4 {
					key = 30000 + random.IntN(200)
				}
				demand.Add(key, 1)
			}
		}
		next, _ := spans.Table{Services: map[string][]spans.Owned{service: list}}.NextSpans(service, spans.Input{
			Offset: int64(round), Candidates: all, Demand: demand, MaxMoves: 14,
			IsUnavailable: func(string) bool { return false },
			IsFree: func(span cherrykeel.KeySpan) bool {
				since, inTransfer := transferSince[span]
				return inTransfer && round-since >= transferRounds
			},
			IsSettled: func(owned spans.Owned) bool {
				since, known := ownedSince[owned.Span()]
				return !known || round-since >= 4
			},
		})
		list = next
		for _, owned := range list {
			if _, known := transferSince[owned.Span()]; owned.InTransfer && !known {
				transferSince[owned.Span()] = round
			}
			if !owned.InTransfer {
				delete(transferSince, owned.Span())
			}
			if owned.Fence == int64(round) {
				ownedSince[owned.Span()] = round
			}
		}
		highest := 0.0
		for _, utilization := range utilizations(list, all, demand) {
			highest = max(highest, utilization)
		}
		worst = append(worst, highest)
	}
	return worst
}

var _ = Describe("a hot neighbourhood among 231 owners of few slots", func() {
	// Guards against a hot neighbourhood that is spread too slowly: 200 neighbouring keys get two fifths of all
	// requests, 60 times their owner's capacity. When keys in transfer are free after 250 ms, no utilization exceeds
	// 2.5 from the second round on; when work of a second has to end first, the first transfer determines how long
	// callers wait.
	It("is spread as soon as its keys are free", func() {
		worst := spread(32, 1)
		Expect(worst[2:]).To(HaveEach(BeNumerically("<", 2.5)))
		worst = spread(32, 4)
		Expect(worst[8:]).To(HaveEach(BeNumerically("<", 3.2)))
		Expect(worst[16:]).To(HaveEach(BeNumerically("<", 2.5)))
	})
})
