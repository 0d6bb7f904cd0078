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

var _ = Describe("owners that have departed", func() {
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

	// resigned is a table whose keeper has given up, with u2's keys held for one second more.
	resigned := func(finals *share.FinalGrants) {
		store.table = spans.Table{Version: 0, Term: 0, Keeper: "host-2", Incarnation: "", Services: map[string][]spans.Owned{service: {
			{First: 0, Last: 29999, Owner: "u1", Address: "u1", Fence: 0}, {First: 30000, Last: cherrykeel.MaxKey, Owner: "u2", Address: "u2", Fence: 0},
		}}}
		store.next = 1
		mesh.finals = finals
		mesh.reportFrom(store, 3, "host-2", "host-3")
		granter.unresponsive["u2"] = true
		granter.held["u2"] = map[cherrykeel.KeySpan]time.Time{{First: 30000, Last: cherrykeel.MaxKey}: time.Now().Add(time.Second)}
	}

	// The store is away, an owner says when it is asked that it leaves, and then answers no grant. Another grant
	// would only start its hold anew, and a successor of this keeper could not know when its keys are free.
	It("are told to the other hosts and granted nothing more", func() {
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

	// The keeper stops while the store is away. Its successor finds an owner that does not answer; it would
	// have to wait 12 s for whatever may have been granted to that, and each further grant would begin anew.
	It("are not asked by a successor, whose keys of theirs are free when they were said to be", func() {
		resigned(&share.FinalGrants{Term: 0, EndsWithin: map[string]time.Duration{"u2": time.Second}, Departed: []string{"u2"}})
		run()
		Eventually(store.ownerOf(40000), longTimeout).Should(Equal("u1"))
		Expect(granter.attemptsTo("u2")).To(BeZero())
	})

	// The keeper's process ends while the store is away, and an owner dies after it. Nobody could grant that one
	// anything since; its keys are given on when the successor's own grants to it, short ones, have ended.
	It("need not be known as such when the keeper has told its end", func() {
		resigned(&share.FinalGrants{Term: 0, EndsWithin: map[string]time.Duration{"u1": time.Second, "u2": time.Second}})
		store.set(func() { store.recovering = true })
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		Eventually(store.ownerOf(40000), longTimeout).Should(Equal("u1"))
		Expect(granter.attemptsTo("u2")).To(BeNumerically("<=", 2), "it was not granted anew while its keys waited for the longest hold")
	})

	It("are all told when the keeper ends", func() {
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

	// What was told of another term says nothing: between the two a keeper may have granted anything.
	It("of another term are not believed", func() {
		resigned(&share.FinalGrants{Term: 7, EndsWithin: map[string]time.Duration{"u2": 0}, Departed: []string{"u2"}})
		run()
		Eventually(func() int { return granter.attemptsTo("u2") }, longTimeout).Should(BeNumerically(">=", 1))
		Consistently(store.ownerOf(40000), "3s").Should(Equal("u2"))
	})

	// The health check lied, and messages to the owner were lost for a moment. The store lists it as staying
	// when it is back; without a new term it would never own a key again.
	It("own keys again in a new term if they stay", func() {
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
