package grants_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/grants"
	"cherrykeel/share"
	"cherrykeel/spans"
)

var _ = Describe("departed owners", func() {
	var (
		store   *fakeStore
		mesh    *fakeMesh
		granter *fakeGranter
		keeper  *grants.Keeper
	)

	BeforeEach(func() {
		_, store, mesh, granter, keeper = newKeeper(10 * time.Second)
	})

	run := func() {
		runKeeper(keeper)
	}

	// resigned sets a table whose keeper has resigned, and a lease of u2 that expires in one second.
	resigned := func(finalGrants *share.FinalGrants) {
		store.table = spans.Table{Version: 0, Term: 0, Keeper: "host-2", Incarnation: "", Services: map[string][]spans.Owned{service: {
			{First: 0, Last: 29999, Owner: "u1", Address: "u1", Fence: 0}, {First: 30000, Last: cherrykeel.MaxKey, Owner: "u2", Address: "u2", Fence: 0},
		}}}
		store.next = 1
		mesh.finalGrants = finalGrants
		mesh.reportFrom(store, 3, "host-2", "host-3")
		granter.unresponsive["u2"] = true
		granter.held["u2"] = map[cherrykeel.KeySpan]time.Time{{First: 30000, Last: cherrykeel.MaxKey}: time.Now().Add(time.Second)}
	}

	// While the store is unavailable, an owner answers a probe by stating that it leaves, and then answers no grant. A
	// further grant would only start its lease again, and a successor of this keeper could not know when its keys are
	// free.
	It("are reported to the other hosts and get no more grants", func() {
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		Expect(keeper.FinalGrants()).To(BeNil())
		granter.set(func() { granter.leaving = map[string]bool{"u1": true} })
		store.set(func() { store.unavailable = true })
		Eventually(func() time.Duration { return granter.last("u1").LeaseDuration }, longTimeout).Should(BeNumerically("<", 3*time.Second))
		granter.set(func() { granter.unresponsive["u1"] = true })
		Eventually(func() *share.FinalGrants { return keeper.FinalGrants() }, longTimeout).ShouldNot(BeNil())
		departed := keeper.FinalGrants()
		Expect(departed.EndsWithin).To(HaveLen(1))
		Expect(departed.EndsWithin["u1"]).To(BeNumerically("<", 4*time.Second))
		tries := granter.attemptsTo("u1")
		Consistently(func() int { return granter.attemptsTo("u1") }, "1s").Should(Equal(tries))
	})

	// The keeper stops while the store is unavailable. Its successor finds an owner that does not answer; without the
	// report it would have to wait 12 s for any lease of it, and each further grant would start a lease again.
	It("get no grants from a successor, which transfers their keys at the reported time", func() {
		resigned(&share.FinalGrants{Term: 0, EndsWithin: map[string]time.Duration{"u2": time.Second}, Departed: []string{"u2"}})
		run()
		Eventually(store.ownerOf(40000), longTimeout).Should(Equal("u1"))
		Expect(granter.attemptsTo("u2")).To(BeZero())
	})

	// The keeper's process stops while the store is unavailable, and an owner crashes after that. No keeper can have
	// granted it anything since, so its keys are transferred as soon as the successor's own short grants to it have
	// expired.
	It("lose their keys soon if the last keeper has reported its final grants", func() {
		resigned(&share.FinalGrants{Term: 0, EndsWithin: map[string]time.Duration{"u1": time.Second, "u2": time.Second}})
		store.set(func() { store.recovering = true })
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		Eventually(store.ownerOf(40000), longTimeout).Should(Equal("u1"))
		Expect(granter.attemptsTo("u2")).To(BeNumerically("<=", 2), "it got no further grants that would start its lease again")
	})

	It("are none, and all owners have final grants, when the keeper stops granting", func() {
		run()
		Eventually(granter.count("u2"), longTimeout).Should(BeNumerically(">=", 1))
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		keeper.StopGranting(ctx)
		Expect(keeper.FinalGrants().EndsWithin).To(And(HaveKey("u1"), HaveKey("u2")))
		Expect(keeper.FinalGrants().Departed).To(BeEmpty())
		tries := granter.attemptsTo("u1")
		Consistently(func() int { return granter.attemptsTo("u1") }, "1s").Should(BeNumerically("<=", tries+1))
	})

	// A report on another term proves nothing: between the two terms a keeper may have granted anything.
	It("of another term are ignored", func() {
		resigned(&share.FinalGrants{Term: 7, EndsWithin: map[string]time.Duration{"u2": 0}, Departed: []string{"u2"}})
		run()
		Eventually(func() int { return granter.attemptsTo("u2") }, longTimeout).Should(BeNumerically(">=", 1))
		Consistently(store.ownerOf(40000), "3s").Should(Equal("u2"))
	})

	// The health check gave a wrong answer, and messages to the owner were lost for a moment. When the store is
	// available again it lists the owner as staying; without a new term the owner would never get a key again.
	It("are granted keys again in a new term if they stay", func() {
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		granter.set(func() { granter.leaving = map[string]bool{"u1": true} })
		store.set(func() { store.unavailable = true })
		Eventually(func() time.Duration { return granter.last("u1").LeaseDuration }, longTimeout).Should(BeNumerically("<", 3*time.Second))
		granter.set(func() { granter.unresponsive["u1"] = true })
		Eventually(func() *share.FinalGrants { return keeper.FinalGrants() }, longTimeout).ShouldNot(BeNil())
		granter.set(func() { granter.unresponsive["u1"] = false })
		term := func() int64 {
			table, _, _ := store.Current()
			return table.Term
		}
		before := term()
		store.set(func() { store.unavailable = false })
		Eventually(term, longTimeout).Should(BeNumerically(">", before))
		tries := granter.attemptsTo("u1")
		Eventually(func() int { return granter.attemptsTo("u1") }, longTimeout).Should(BeNumerically(">", tries))
	})
})
