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

// spread plays a keeper's rounds of 250 ms from the moment at which 200 neighbouring keys get two fifths of 350
// requests a second, among 231 owners that can do 2.3 each, and returns the worst use after each. Keys that are taken
// are free after the given rounds, since work runs on them.
func spread(rounds, busy int) []float64 {
	random := rand.New(rand.NewPCG(7, 8))
	demand := steady(350, func() int { return random.IntN(cherrykeel.MaxKey + 1) })
	var all []spans.Candidate
	for i := range 231 {
		all = append(all, spans.Candidate{ID: fmt.Sprintf("u%03d", i), Address: "10.0.0.1:80", Capacity: 2.3})
	}
	list := spans.Divide(all, demand)
	movingSince := map[cherrykeel.KeySpan]int{}
	takenSince := map[cherrykeel.KeySpan]int{}
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
				since, moving := movingSince[span]
				return moving && round-since >= busy
			},
			IsSettled: func(owned spans.Owned) bool {
				since, known := takenSince[owned.Span()]
				return !known || round-since >= 4
			},
		})
		list = next
		for _, owned := range list {
			if _, known := movingSince[owned.Span()]; owned.Moving && !known {
				movingSince[owned.Span()] = round
			}
			if !owned.Moving {
				delete(movingSince, owned.Span())
			}
			if owned.Fence == int64(round) {
				takenSince[owned.Span()] = round
			}
		}
		most := 0.0
		for _, use := range uses(list, all, demand) {
			most = max(most, use)
		}
		worst = append(worst, most)
	}
	return worst
}

var _ = Describe("a hot neighbourhood among 231 owners of few slots", func() {
	// 200 halls whose keys are neighbours get two fifths of all requests, 60 times what their owner can do. When what
	// is taken is free after 250 ms, no owner has more than 2.5 times what it can do from the second round on; when
	// work of a second has to end first, it is the first release that the callers wait for.
	It("is spread as soon as its keys are free", func() {
		worst := spread(32, 1)
		Expect(worst[2:]).To(HaveEach(BeNumerically("<", 2.5)))
		worst = spread(32, 4)
		Expect(worst[8:]).To(HaveEach(BeNumerically("<", 3.2)))
		Expect(worst[16:]).To(HaveEach(BeNumerically("<", 2.5)))
	})
})
