package spans_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/spans"
)

var _ = Describe("keys that are hot for every upstream", func() {
	// Guards against an overloaded owner that is not relieved for a second: half a second after callers come, or a
	// new keeper starts, the counts are a fifth of their final values, and uncorrected rates would show no overload.
	It("have correct rates from the first half second on", func() {
		demand := spans.NewDemand(0)
		for tenth := range 5 {
			demand.Decay(at(time.Hour + time.Duration(tenth)*100*time.Millisecond))
			for range 10 {
				demand.Add(7, 1)
			}
		}
		demand.Decay(at(time.Hour + 500*time.Millisecond))
		Expect(demand.Load(cherrykeel.KeySpan{First: 7, Last: 7})).To(BeNumerically("~", 100, 25))
	})

	// Guards against a hot key that blocks all moves: u2 has one key with 400 requests a second, counted with
	// repeats, and no upstream can process more than 150, so the key stays. If only the most utilized upstream were
	// considered, the hot neighbourhood at u3 would not move either for the 5 s that the key is hot.
	It("do not keep other upstreams from being relieved", func() {
		random := rand.New(rand.NewPCG(9, 10))
		all := candidates(82, 82, 150, 82, 150, 82)
		list := []spans.Owned{
			{First: 0, Last: 14999, Owner: "u0"},
			{First: 15000, Last: 29999, Owner: "u1"},
			{First: 30000, Last: 30000, Owner: "u2"},
			{First: 30001, Last: 39999, Owner: "u3"},
			{First: 40000, Last: 54999, Owner: "u4"},
			{First: 55000, Last: cherrykeel.MaxKey, Owner: "u5"},
		}
		demand := steady(900, func() int {
			switch sample := random.Float64(); {
			case sample < 0.45:
				return 30000
			case sample < 0.6:
				return 32000 + random.IntN(100)
			default:
				return random.IntN(cherrykeel.MaxKey + 1)
			}
		})
		moves := spans.PlanMoves(list, all, demand, 4)
		Expect(moves).NotTo(BeEmpty())
		for _, move := range moves {
			Expect(move.From).NotTo(Equal("u2"))
		}
		Expect(moves[0].From).To(Equal("u3"))
	})

	// Guards against a hot key that goes to a slow upstream: one key of a free span gets 120 requests a second. The
	// slow upstreams, with a capacity of 55, are idle; the fast ones, with 158, are half utilized. Chosen by its
	// utilization before the transfer, an idle slow upstream would get the key with all its neighbours for a second,
	// and two of three callers would be refused.
	It("go from a free span to an upstream that can serve them, without their neighbours", func() {
		random := rand.New(rand.NewPCG(11, 12))
		all := candidates(55, 158, 55, 158)
		list := []spans.Owned{
			{First: 0, Last: 2036, Owner: "gone", Fence: 1},
			{First: 2037, Last: 20000, Owner: "u0"},
			{First: 20001, Last: 40000, Owner: "u1"},
			{First: 40001, Last: 45000, Owner: "u2"},
			{First: 45001, Last: cherrykeel.MaxKey, Owner: "u3"},
		}
		demand := steady(300, func() int {
			switch sample := random.Float64(); {
			case sample < 0.4:
				return 1973
			case sample < 0.5:
				return random.IntN(2037)
			case sample < 0.75:
				return 20001 + random.IntN(20000)
			default:
				return 45001 + random.IntN(20000)
			}
		})
		next, changed := spans.Table{Services: map[string][]spans.Owned{service: list}}.NextSpans(service, spans.Input{
			Offset: 100, Candidates: all, Demand: demand,
			IsUnavailable: func(string) bool { return true },
			IsFree:        func(cherrykeel.KeySpan) bool { return true },
			IsSettled:     func(spans.Owned) bool { return true },
		})
		Expect(changed).To(BeTrue())
		expectComplete(next)
		owned, _ := spans.Table{Services: map[string][]spans.Owned{service: next}}.Find(service, 1973)
		Expect(owned.Owner).To(BeElementOf("u1", "u3"))
		Expect(owned.First).To(Equal(1973))
		Expect(owned.Last).To(Equal(1973))
	})
})
