package spans_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/spans"
)

var _ = Describe("a difference between two tables", func() {
	// randomSpans splits the keys into spans with random owners.
	randomSpans := func(random *rand.Rand) []spans.Owned {
		var list []spans.Owned
		first := 0
		for first <= cherrykeel.MaxKey {
			last := min(cherrykeel.MaxKey, first+1+random.IntN(cherrykeel.MaxKey/20))
			list = append(list, spans.Owned{First: first, Last: last, Owner: string(rune('a' + random.IntN(5))), Fence: int64(random.IntN(3))})
			first = last + 1
		}
		return list
	}

	It("turns the earlier table into the later one when it is applied", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 500 {
			before := spans.Table{Version: 1, Term: 1, Keeper: "h1", Services: map[string][]spans.Owned{"keys": randomSpans(random)}}
			after := before.Clone()
			after.Version, after.Term, after.Keeper = 2, 2, "h2"
			for range random.IntN(6) {
				first := random.IntN(cherrykeel.MaxKey)
				after.Split("keys", cherrykeel.KeySpan{First: first, Last: min(cherrykeel.MaxKey, first+random.IntN(9000))})
				moved := after.Services["keys"][random.IntN(len(after.Services["keys"]))]
				for i, owned := range after.Services["keys"] {
					if owned == moved {
						after.Services["keys"][i].Owner = "z"
					}
				}
				after.Merge("keys")
			}
			Expect(before.Apply(after.Diff(before))).To(Equal(after))
		}
	})

	It("holds only the spans that differ", func() {
		before := spans.Table{Services: map[string][]spans.Owned{"keys": {{First: 0, Last: 9, Owner: "a"}, {First: 10, Last: cherrykeel.MaxKey, Owner: "b"}}}}
		after := before.Clone()
		after.Services["keys"][0].InTransfer = true
		Expect(after.Diff(before).Services["keys"]).To(Equal([]spans.Owned{{First: 0, Last: 9, Owner: "a", InTransfer: true}}))
	})

	It("includes a new service", func() {
		after := spans.Table{Version: 3, Services: map[string][]spans.Owned{"keys": {{Last: cherrykeel.MaxKey, Owner: "a"}}}}
		before := spans.Table{Version: -1}
		Expect(before.Apply(after.Diff(before))).To(Equal(after))
	})
})
