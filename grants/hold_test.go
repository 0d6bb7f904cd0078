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

var _ = Describe("holds", func() {
	const longest = 8 * time.Second
	var (
		store   *fakeStore
		mesh    *fakeMesh
		granter *fakeGranter
		keeper  *grants.Keeper
	)

	BeforeEach(func() {
		_, store, mesh, granter, keeper = newKeeper(longest)
	})

	run := func() {
		runKeeper(keeper)
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		Eventually(granter.count("u2"), longTimeout).Should(BeNumerically(">=", 1))
	}

	lastHold := func(id string) func() time.Duration {
		return func() time.Duration { return granter.last(id).LeaseDuration }
	}

	// The store is away and owners get long holds; it is back, and one short grant is answered before the owner
	// falls silent. Whether the upstream goes by the longer grant or by the last one, its keys go to another one
	// only when the longer has passed.
	DescribeTable("long ones are waited for though a short grant came after them",
		func(keepsLonger bool) {
			granter.keepsLonger = keepsLonger
			run()
			store.set(func() { store.unavailable = true })
			Eventually(lastHold("u2"), longTimeout).Should(Equal(longest))
			store.set(func() { store.unavailable = false })
			Eventually(lastHold("u2"), longTimeout).Should(BeNumerically("<", longest))
			granter.set(func() { granter.unresponsive["u2"] = true })
			Eventually(store.ownerOf(cherrykeel.MaxKey), longTimeout).Should(Equal("u1"))
			Eventually(func() int { return granter.last("u1").Span.Last }, longTimeout).Should(Equal(cherrykeel.MaxKey))
		},
		Entry("upstreams keep the longer of two holds", true),
		Entry("upstreams go by the last grant", false),
	)

	// The store does not serve this keeper but another host, which takes over a second later. Long holds would
	// only delay the keys of owners that are lost.
	It("stay short while another host has the store", func() {
		mesh.reportFrom(store, 3, "host-2", "host-3")
		run()
		store.set(func() { store.unavailable = true })
		Consistently(lastHold("u1"), "2s").Should(BeNumerically("<", longest))
	})

	It("stay short when the store is away for a moment", func() {
		run()
		for range 3 {
			store.set(func() { store.unavailable = true })
			time.Sleep(300 * time.Millisecond)
			store.set(func() { store.unavailable = false })
			time.Sleep(100 * time.Millisecond)
		}
		Expect(granter.last("u1").LeaseDuration).To(BeNumerically("<", longest))
	})

	// An upstream forgets its rested connections, so that the grants of two of its spans end at once. It lives
	// and takes the next grants; called lost, it would be without its keys for 5 s.
	It("are renewed for an upstream whose grants were reset in one moment", func() {
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

	// An owner that has said that it leaves has departed, and starts again under its ID. It may be granted keys, though
	// this term's keeper has told all hosts that it gets none any more: in a new term.
	It("are granted to the next life of an owner that had departed", func() {
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

	// An owner crashes and starts again. Its entry says that it was born later; its keys come to it at once under a
	// higher fence, while another upstream would have to wait for the hold of its earlier life.
	It("are granted anew to an owner that has started again", func() {
		store.set(func() { store.upstreams[1].StartedAt = 100 })
		run()
		fence := granter.last("u2").Fence
		granter.set(func() { granter.held["u2"], granter.fences["u2"] = nil, 0 })
		store.set(func() { store.upstreams[1].StartedAt = 200 })
		Eventually(func() int64 { return granter.last("u2").Fence }, "2s").Should(BeNumerically(">", fence))
		Expect(store.ownerOf(cherrykeel.MaxKey)()).To(Equal("u2"))
	})

	// A request takes 2 s of an upstream whose work takes 0.7 s in the mean. An upstream ends work that outlasts the
	// hold which was in force when it began, so the hold of each owner is long enough for its own work; that of one
	// whose work is short is no longer than it has to be when the owner is lost.
	It("are long enough for the work of their owner, also while it leaves", func() {
		run()
		tell := func(work time.Duration) {
			times := map[string]time.Duration{"u1": work, "u2": work}
			keeper.RecordDemand(share.Demand{Host: "host-1", Service: service, Keys: []int{1}, ProcessingTimes: times})
		}
		tell(60 * time.Millisecond)
		Consistently(lastHold("u2"), "700ms").Should(Equal(2500 * time.Millisecond))
		tell(9 * time.Second)
		Eventually(lastHold("u2"), longTimeout).Should(Equal(longest))
		tell(700 * time.Millisecond)
		Eventually(lastHold("u2"), longTimeout).Should(Equal(3500 * time.Millisecond))
		granter.finishWork = make(chan struct{})
		store.set(func() { store.upstreams[1].Leaving = true })
		Consistently(store.ownerOf(cherrykeel.MaxKey), "2800ms").Should(Equal("u2"), "its work may take as long as its hold")
		close(granter.finishWork)
		Eventually(store.ownerOf(cherrykeel.MaxKey), longTimeout).Should(Equal("u1"))
	})

	// The answer to a release is lost. Asked again, the upstream answers at once; not asked, its keys would have
	// no owner until the hold has passed.
	It("end with a release that is repeated when its answer was lost", func() {
		granter.lostReleaseAnswers = 2
		run()
		store.set(func() { store.upstreams[1].Leaving = true })
		Eventually(store.ownerOf(cherrykeel.MaxKey), longTimeout).Should(Equal("u1"))
		Expect(granter.released).To(Equal([]string{"u2", "u2", "u2"}))
	})
})
