package grants_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/grants"
	"cherrykeel/share"
)

var _ = Describe("an owner that has stated in an answer that it is leaving", func() {
	var (
		store   *fakeStore
		granter *fakeGranter
		keeper  *grants.Keeper
	)

	setLeaving := func() {
		store.set(func() { store.upstreams[1].LeaveAt = 1 })
	}

	BeforeEach(func() {
		_, store, _, granter, keeper = newKeeper(10 * time.Second)
		runKeeper(keeper)
		Eventually(granter.count("u2"), longTimeout).Should(BeNumerically(">=", 1))
		Expect(store.ownerOf(cherrykeel.MaxKey)()).To(Equal("u2"))
	})

	// Guards against keys that stay with an owner to which hosts send nothing any more, since its entry says nothing.
	It("releases its keys and is granted no others, while the store is there", func() {
		setLeaving()
		Eventually(store.ownerOf(cherrykeel.MaxKey), longTimeout).Should(Equal("u1"))
		Expect(granter.released).To(ContainElement("u2"))
		Consistently(store.ownerOf(cherrykeel.MaxKey), "1s").Should(Equal("u1"))
		Expect(store.ownerOf(0)()).To(Equal("u1"))
	})

	// Guards against a second owner of its keys while the table can't be written.
	It("keeps its keys and has its grants renewed while the store is away, and releases them when it is back", func() {
		store.set(func() { store.unavailable = true })
		setLeaving()
		Eventually(func() time.Duration { return granter.last("u2").LeaseDuration }, longTimeout).Should(Equal(10 * time.Second))
		before := granter.count("u2")()
		Eventually(granter.count("u2"), longTimeout).Should(BeNumerically(">=", before+3))
		Expect(store.ownerOf(cherrykeel.MaxKey)()).To(Equal("u2"))
		Expect(granter.released).To(BeEmpty())
		store.set(func() { store.unavailable = false })
		Eventually(store.ownerOf(cherrykeel.MaxKey), longTimeout).Should(Equal("u1"))
		Expect(granter.released).To(ContainElement("u2"))
	})

	// Guards against a new term, with a pause of all grants, since a departed owner's entry says ready.
	It("does not count as returned once it has departed", func() {
		granter.set(func() { granter.leaving = map[string]bool{"u2": true} })
		store.set(func() { store.unavailable = true })
		Eventually(func() time.Duration { return granter.last("u2").LeaseDuration }, longTimeout).Should(BeNumerically("<", 3*time.Second))
		granter.set(func() { granter.unresponsive["u2"] = true })
		Eventually(func() *share.FinalGrants { return keeper.FinalGrants() }, longTimeout).ShouldNot(BeNil())
		setLeaving()
		table, _, _ := store.Current()
		store.set(func() { store.unavailable = false })
		Eventually(store.ownerOf(cherrykeel.MaxKey), longTimeout).Should(Equal("u1"))
		Consistently(func() int64 {
			now, _, _ := store.Current()
			return now.Term
		}, "7s").Should(Equal(table.Term))
	})
})

var _ = Describe("an owner that names a limit", func() {
	// Guards against health checks that take up what an owner in need takes from callers.
	It("is seldom asked whether it leaves while the store is away", func() {
		_, store, _, granter, keeper := newKeeper(10 * time.Second)
		runKeeper(keeper)
		Eventually(granter.count("u2"), longTimeout).Should(BeNumerically(">=", 1))
		store.set(func() {
			store.upstreams[1].HasRateLimit = true
			store.unavailable = true
		})
		probesOf := func(id string) int {
			granter.mutex.Lock()
			defer granter.mutex.Unlock()
			return granter.probes[id]
		}
		Eventually(func() int { return probesOf("u1") }, longTimeout).Should(BeNumerically(">=", 4))
		Expect(probesOf("u2")).To(BeNumerically("<", probesOf("u1")))
	})
})
