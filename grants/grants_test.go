package grants_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/grants"
	"cherrykeel/share"
	"cherrykeel/spans"
)

func TestGrants(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "grants")
}

var _ = Describe("the keeper", func() {
	var (
		clock   *shiftedClock
		store   *fakeStore
		mesh    *fakeMesh
		granter *fakeGranter
		keeper  *grants.Keeper
	)

	BeforeEach(func() {
		clock, store, mesh, granter, keeper = newKeeper(10 * time.Second)
	})

	run := func() {
		runKeeper(keeper)
	}

	It("claims, divides the keys and renews its grants", func() {
		run()
		Eventually(store.keeper, longTimeout).Should(Equal(selfName))
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 2))
		Eventually(granter.count("u2"), longTimeout).Should(BeNumerically(">=", 2))
		table, _, _ := store.Current()
		Expect(granter.last("u1").Fence).To(Equal(table.Services[service][0].Fence))
	})

	// The reply to the claim is lost. The table that was written says who keeps, and nothing else does.
	It("finds its claim in the store when the reply was lost", func() {
		store.loseReply = true
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		Expect(store.keeper()).To(Equal(selfName))
	})

	// The keeper is cut off from the other hosts, or sleeps. It cannot know whether another has claimed, so
	// it grants nothing more; with its grants going on, a server cut off with it would keep keys that the
	// next keeper has given away.
	It("stops granting when too few hosts confirm it, and goes on when they do", func() {
		stop := mesh.reportFrom(store, 3, "host-2", "host-3")
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		stop()
		time.Sleep(1500 * time.Millisecond)
		before := granter.count("u1")()
		Consistently(granter.count("u1"), "1500ms").Should(Equal(before))
		mesh.reportFrom(store, 3, "host-2")
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">", before))
	})

	It("grants nothing after a suspension before it has looked again", func() {
		stop := mesh.reportFrom(store, 3, "host-2", "host-3")
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		stop()
		clock.mutex.Lock()
		clock.shift = 20 * time.Second
		clock.mutex.Unlock()
		time.Sleep(200 * time.Millisecond)
		before := granter.count("u1")()
		Consistently(granter.count("u1"), "1s").Should(Equal(before))
	})

	It("leaves the duty to another host that has claimed it", func() {
		mesh.reportFrom(store, 3, "host-2", "host-3")
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		store.claim("host-2")
		time.Sleep(300 * time.Millisecond)
		before := granter.count("u1")()
		Consistently(granter.count("u1"), "1s").Should(Equal(before))
	})

	// The keeper before this one may have granted until a moment ago, and a server that does not answer may
	// hold its keys until then. They go to another server only when the longest hold has passed; the servers
	// that answer go on at once under the higher fence.
	It("takes over owners that answer at once, and waits for those that do not", func() {
		store.table = spans.Table{Version: 0, Term: 0, Keeper: "host-9", Incarnation: "", Services: map[string][]spans.Owned{service: {
			{First: 0, Last: 29999, Owner: "u1", Address: "u1", Fence: 0}, {First: 30000, Last: cherrykeel.MaxKey, Owner: "u2", Address: "u2", Fence: 0},
		}}}
		store.next = 1
		mesh.reportFrom(store, 3, "host-2", "host-3")
		granter.unresponsive["u2"] = true
		granter.held["u2"] = map[cherrykeel.KeySpan]time.Time{{First: 30000, Last: cherrykeel.MaxKey}: time.Now().Add(10 * time.Second)}
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		Expect(granter.last("u1").Span.Last).To(Equal(29999))
		Consistently(func() bool {
			table, _, _ := store.Current()
			owned, _ := table.Find(service, 40000)
			return owned.Owner == "u2"
		}, "5s").Should(BeTrue())
		Eventually(func() string {
			table, _, _ := store.Current()
			owned, _ := table.Find(service, 40000)
			return owned.Owner
		}, longTimeout).Should(Equal("u1"))
	})

	// Another server answers at the address of one that was granted keys: that one has ended, and its keys
	// are free without waiting.
	It("gives an ended server's keys on at once", func() {
		run()
		Eventually(granter.count("u2"), longTimeout).Should(BeNumerically(">=", 1))
		store.set(func() {
			store.ended["u2"] = true
			store.upstreams = store.upstreams[:1]
		})
		granter.mutex.Lock()
		granter.unresponsive["u2"] = true
		granter.held["u2"] = nil
		granter.mutex.Unlock()
		begun := time.Now()
		Eventually(func() string {
			table, _, _ := store.Current()
			owned, _ := table.Find(service, cherrykeel.MaxKey)
			return owned.Owner
		}, longTimeout).Should(Equal("u1"))
		_ = begun
	})

	It("moves a leaving server's keys with the handover, after its running work", func() {
		granter.finishWork = make(chan struct{})
		run()
		Eventually(granter.count("u2"), longTimeout).Should(BeNumerically(">=", 1))
		store.set(func() { store.upstreams[1].Leaving = true })
		Eventually(func() bool {
			table, _, _ := store.Current()
			owned, _ := table.Find(service, cherrykeel.MaxKey)
			return owned.Moving
		}, longTimeout).Should(BeTrue())
		Consistently(func() string {
			table, _, _ := store.Current()
			owned, _ := table.Find(service, cherrykeel.MaxKey)
			return owned.Owner
		}, "300ms").Should(Equal("u2"))
		close(granter.finishWork)
		Eventually(func() string { return granter.last("u1").Handover }, longTimeout).Should(Equal("token-u2"))
	})

	// The store is away. Nothing changes hands, and holds are as long as they may be, so that the owners go
	// on if this keeper dies before the store is back.
	It("grants long holds while the store is away, and short ones after", func() {
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		Expect(granter.last("u1").LeaseDuration).To(BeNumerically("<", 3*time.Second))
		store.set(func() { store.unavailable = true })
		Eventually(func() time.Duration { return granter.last("u1").LeaseDuration }, longTimeout).Should(Equal(10 * time.Second))
		store.set(func() { store.unavailable = false })
		Eventually(func() time.Duration { return granter.last("u1").LeaseDuration }, longTimeout).Should(BeNumerically("<", 3*time.Second))
	})

	// The store is away and an owner is being shut down, which it could tell the store only. When it has ended
	// its keys wait for the end of its hold, 10 s, though the store is back. Asked itself, it says that it
	// leaves, and is granted short holds; an owner that stays keeps the long ones.
	It("grants short holds to an owner that leaves while the store is away", func() {
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		granter.mutex.Lock()
		granter.leaving = map[string]bool{"u1": true}
		probed := granter.probed
		granter.mutex.Unlock()
		Expect(probed).To(BeZero(), "the store tells while it is well")
		store.set(func() { store.unavailable = true })
		Eventually(func() time.Duration { return granter.last("u2").LeaseDuration }, longTimeout).Should(Equal(10 * time.Second))
		Eventually(func() time.Duration { return granter.last("u1").LeaseDuration }, longTimeout).Should(BeNumerically("<", 3*time.Second))
		Expect(granter.last("u2").LeaseDuration).To(Equal(10 * time.Second))
	})

	// A grant meets a higher fence though this host keeps. The same fence can never be taken; a new claim
	// raises it, and the server is not asked with the old one again.
	It("claims anew after a refusal by a higher fence", func() {
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		table, _, _ := store.Current()
		granter.mutex.Lock()
		granter.fences["u1"] = table.Version + 1
		granter.mutex.Unlock()
		Eventually(func() int64 { table, _, _ := store.Current(); return table.Term }, longTimeout).Should(BeNumerically(">", table.Term))
		Eventually(func() int64 { return granter.last("u1").Fence }, longTimeout).Should(BeNumerically(">", table.Version))
	})

	// A server turns five times slower. Each host has few answers from it; the keeper takes all hosts' word
	// and moves keys to the others, which have time for them.
	It("moves keys from a server that the hosts find slow", func() {
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		width := func() int {
			table, _, _ := store.Current()
			width := 0
			for _, owned := range table.Services[service] {
				if owned.Owner == "u1" {
					width += owned.Last - owned.First + 1
				}
			}
			return width
		}
		before := width()
		work := map[string]time.Duration{"u1": 300 * time.Millisecond, "u2": 60 * time.Millisecond}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		asked := keeper
		go func() {
			for key := 0; ctx.Err() == nil; key += 1009 {
				for _, host := range []string{"host-1", "host-2"} {
					asked.RecordDemand(share.Demand{Host: host, Service: service, Keys: []int{key % (cherrykeel.MaxKey + 1)}, ProcessingTimes: work})
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
		Eventually(width, longTimeout).Should(BeNumerically("<", before/2))
	})

	It("resigns so that another may claim", func() {
		run()
		Eventually(store.keeper, longTimeout).Should(Equal(selfName))
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		keeper.Resign(context.Background())
		table, _, _ := store.Current()
		Expect(table.Incarnation).To(BeEmpty())
		Consistently(func() string { table, _, _ := store.Current(); return table.Incarnation }, "500ms").Should(BeEmpty())
	})
})
