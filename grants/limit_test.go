package grants

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/spans"
)

var _ = Describe("the limit that an owner names", func() {
	const namedAt = cherrykeel.Instant(time.Hour)
	var keeper *Keeper
	named := cherrykeel.Upstream{ID: "a", StartedAt: 7, HasRateLimit: true, RateLimit: 4, RateLimitSince: namedAt}
	unnamed := cherrykeel.Upstream{ID: "a", StartedAt: 7}
	limitAt := func(upstream cherrykeel.Upstream, after time.Duration) bool {
		_, limited := keeper.limitOf(upstream, namedAt.Add(after))
		return limited
	}

	BeforeEach(func() { keeper = &Keeper{limits: map[string]heldLimit{}} })

	// Guards against keys that are moved for a moment of need, and back at its end.
	It("counts for the keeper once it has stood for a while, and for a while after its end", func() {
		Expect(limitAt(named, time.Second)).To(BeFalse())
		Expect(limitAt(named, 2*time.Second)).To(BeTrue())
		Expect(limitAt(unnamed, 6*time.Second)).To(BeTrue())
		Expect(limitAt(unnamed, 8*time.Second)).To(BeFalse())
	})

	// Guards against a limit that outlives the process that named it.
	It("does not count for the next incarnation", func() {
		Expect(limitAt(named, 2*time.Second)).To(BeTrue())
		Expect(limitAt(cherrykeel.Upstream{ID: "a", StartedAt: 8}, 3*time.Second)).To(BeFalse())
	})

	// Guards against moves while the owner's load is within its limit, and against an owner of no capacity, which would
	// count as the one with most room.
	DescribeTable("lowers the owner's capacity only for a load above it", func(limit float64, requests int, expected float64) {
		demand := spans.NewDemand(namedAt)
		for key := range requests {
			demand.Add(key, 1)
		}
		demand.Decay(namedAt.Add(10 * time.Millisecond))
		candidates := []spans.Candidate{{ID: "a", Capacity: 50}, {ID: "b", Capacity: 50}}
		list := []spans.Owned{{First: 0, Last: 32767, Owner: "a"}, {First: 32768, Last: cherrykeel.MaxKey, Owner: "b"}}
		keeper.applyLimits(candidates, map[string]float64{"a": limit}, list, demand)
		Expect(candidates[0]).To(Equal(spans.Candidate{ID: "a", Capacity: expected, Limited: true}))
		Expect(candidates[1]).To(Equal(spans.Candidate{ID: "b", Capacity: 50}))
	},
		Entry("that fits", 1000.0, 20, 50.0),
		Entry("that does not fit", 4.0, 100, 4*movedShare),
		Entry("while it takes none", 0.0, 20, minLimitCapacity),
	)
})
