package spans_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cherrykeel"
	"cherrykeel/spans"
)

// BenchmarkNext computes the next spans of a service with 231 owners, 350 spans and 350 requests a second, as a
// keeper does 40 times a second; one time in ten it also plans moves.
func BenchmarkNext(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	demand := steady(350, func() int { return random.IntN(cherrykeel.MaxKey + 1) })
	var all []spans.Candidate
	for i := range 231 {
		all = append(all, spans.Candidate{ID: fmt.Sprintf("i-%010d", i), Address: "10.0.0.1:80", Capacity: 2.3})
	}
	table := spans.Table{Services: map[string][]spans.Owned{service: spans.Divide(all, demand)}}
	for _, moves := range []int{0, 14} {
		b.Run(fmt.Sprintf("moves/%d", moves), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				demand.Decay(at(6*time.Second + time.Duration(i)*25*time.Microsecond))
				table.NextSpans(service, spans.Input{
					Offset: 9, Candidates: all, Demand: demand, MaxMoves: moves,
					IsUnavailable: func(string) bool { return false }, IsFree: func(cherrykeel.KeySpan) bool { return false }, IsSettled: func(spans.Owned) bool { return true },
				})
			}
		})
	}
}
