package grants_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/grants"
	"cherrykeel/share"
	"cherrykeel/spans"
)

var _ = Describe("leases", func() {
	const maxLease = 8 * time.Second
	var (
		store   *fakeStore
		mesh    *fakeMesh
		granter *fakeGranter
		keeper  *grants.Keeper
	)

	BeforeEach(func() {
		_, store, mesh, granter, keeper = newKeeper(maxLease)
	})

	run := func() {
		runKeeper(keeper)
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		Eventually(granter.count("u2"), longTimeout).Should(BeNumerically(">=", 1))
	}

	lastLease := func(id string) func() time.Duration {
		return func() time.Duration { return granter.last(id).LeaseDuration }
	}

	// An owner gets long leases while the store is unavailable; when it is available again, the owner answers one short
	// grant and then crashes. Whether upstreams keep the longer lease or the last one, its keys may go to another
	// upstream only when the longer lease has expired.
	DescribeTable("that are long must expire before a transfer, even after a later short grant",
		func(keepsLonger bool) {
			granter.keepsLonger = keepsLonger
			run()
			store.set(func() { store.unavailable = true })
			Eventually(lastLease("u2"), longTimeout).Should(Equal(maxLease))
			store.set(func() { store.unavailable = false })
			Eventually(lastLease("u2"), longTimeout).Should(BeNumerically("<", maxLease))
			granter.set(func() { granter.unresponsive["u2"] = true })
			Eventually(store.ownerOf(cherrykeel.MaxKey), longTimeout).Should(Equal("u1"))
			Eventually(func() int { return granter.last("u1").Span.Last }, longTimeout).Should(Equal(cherrykeel.MaxKey))
		},
		Entry("upstreams keep the longer of two leases", true),
		Entry("the last grant counts for upstreams", false),
	)

	// The store is unavailable to this keeper but not to another host, which takes over a second later. Long leases
	// would only delay the transfer of the keys of owners that become unavailable.
	It("stay short while the store is available to another host", func() {
		mesh.reportFrom(store, 3, "host-2", "host-3")
		run()
		store.set(func() { store.unavailable = true })
		Consistently(lastLease("u1"), "2s").Should(BeNumerically("<", maxLease))
	})

	It("stay short when the store is unavailable for a moment", func() {
		run()
		for range 3 {
			store.set(func() { store.unavailable = true })
			time.Sleep(300 * time.Millisecond)
			store.set(func() { store.unavailable = false })
			time.Sleep(100 * time.Millisecond)
		}
		Expect(granter.last("u1").LeaseDuration).To(BeNumerically("<", maxLease))
	})

	// An upstream drops its idle connections, so that the grants of two of its spans fail at the same time. It is
	// running and accepts the next grants; if it counted as unavailable, it would be without its keys for 5 s.
	It("are renewed for an upstream whose grants were reset at the same time", func() {
		store.table = spans.Table{Version: 0, Term: 0, Keeper: "host-2", Incarnation: "", Services: map[string][]spans.Owned{service: {
			{First: 0, Last: 29999, Owner: "u1", Address: "u1"},
			{First: 30000, Last: 49999, Owner: "u2", Address: "u2"},
			{First: 50000, Last: cherrykeel.MaxKey, Owner: "u2", Address: "u2"},
		}}}
		store.next = 1
		granter.resets = map[string]int{"u2": 2}
		runKeeper(keeper)
		Eventually(granter.count("u2"), "2s").Should(BeNumerically(">=", 2))
		Expect(store.ownerOf(40000)()).To(Equal("u2"))
		Expect(store.ownerOf(cherrykeel.MaxKey)()).To(Equal("u2"))
	})

	// An owner that has announced that it leaves has departed, and starts again under its ID. This term's keeper has
	// reported to all hosts that it gets no more grants in the term, so it may be granted keys only in a new term.
	It("are granted to the next incarnation of a departed owner", func() {
		store.set(func() { store.upstreams[0].StartedAt = 100 })
		run()
		granter.set(func() { granter.leaving = map[string]bool{"u1": true} })
		store.set(func() { store.unavailable = true })
		Eventually(func() int { granter.mutex.Lock(); defer granter.mutex.Unlock(); return granter.probed }, longTimeout).Should(BeNumerically(">=", 2))
		granter.set(func() { granter.unresponsive["u1"] = true })
		Eventually(keeper.FinalGrants, longTimeout).ShouldNot(BeNil())
		before, _, _ := store.Current()
		granter.set(func() { granter.unresponsive["u1"], granter.leaving, granter.held["u1"] = false, nil, nil })
		store.set(func() { store.unavailable, store.upstreams[0].StartedAt = false, 200 })
		tries := granter.count("u1")()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">", tries))
		after, _, _ := store.Current()
		Expect(after.Term).To(BeNumerically(">", before.Term))
		Expect(granter.last("u1").Fence).To(BeNumerically(">=", after.Term))
	})

	// An owner crashes and starts again. Its entry has a later start time, so its keys are granted to it at once under
	// a higher fence, while another upstream would have to wait until the lease of the earlier incarnation has expired.
	It("are granted again to an owner that has started again", func() {
		store.set(func() { store.upstreams[1].StartedAt = 100 })
		run()
		fence := granter.last("u2").Fence
		granter.set(func() { granter.held["u2"], granter.fences["u2"] = nil, 0 })
		store.set(func() { store.upstreams[1].StartedAt = 200 })
		Eventually(func() int64 { return granter.last("u2").Fence }, "2s").Should(BeNumerically(">", fence))
		Expect(store.ownerOf(cherrykeel.MaxKey)()).To(Equal("u2"))
	})

	// A request takes 2 s at an upstream whose mean processing time is 0.7 s. An upstream fails requests that run
	// longer than the lease that was in force at their start, so each owner's lease must be long enough for its
	// processing times, and no longer than that, since it delays the transfer of its keys if the owner becomes
	// unavailable.
	It("are long enough for the processing times of their owner, also while it leaves", func() {
		run()
		report := func(processingTime time.Duration) {
			times := map[string]time.Duration{"u1": processingTime, "u2": processingTime}
			keeper.RecordDemand(share.Demand{Host: "host-1", Service: service, Keys: []int{1}, ProcessingTimes: times})
		}
		report(60 * time.Millisecond)
		Consistently(lastLease("u2"), "700ms").Should(Equal(2500 * time.Millisecond))
		report(9 * time.Second)
		Eventually(lastLease("u2"), longTimeout).Should(Equal(maxLease))
		report(700 * time.Millisecond)
		Eventually(lastLease("u2"), longTimeout).Should(Equal(3500 * time.Millisecond))
		granter.finishWork = make(chan struct{})
		store.set(func() { store.upstreams[1].Leaving = true })
		Consistently(store.ownerOf(cherrykeel.MaxKey), "2800ms").Should(Equal("u2"), "its requests may run as long as its lease")
		close(granter.finishWork)
		Eventually(store.ownerOf(cherrykeel.MaxKey), longTimeout).Should(Equal("u1"))
	})

	// The answer to a release is lost. If the release is repeated, the upstream answers at once; otherwise its keys
	// would have no owner until the lease has expired.
	It("end with a release that is repeated if its answer was lost", func() {
		granter.lostReleaseAnswers = 2
		run()
		store.set(func() { store.upstreams[1].Leaving = true })
		Eventually(store.ownerOf(cherrykeel.MaxKey), longTimeout).Should(Equal("u1"))
		Expect(granter.released).To(Equal([]string{"u2", "u2", "u2"}))
	})
})
