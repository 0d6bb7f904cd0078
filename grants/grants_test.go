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

	It("claims its role, divides the keys and renews its grants", func() {
		run()
		Eventually(store.keeper, longTimeout).Should(Equal(selfName))
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 2))
		Eventually(granter.count("u2"), longTimeout).Should(BeNumerically(">=", 2))
		table, _, _ := store.Current()
		Expect(granter.last("u1").Fence).To(Equal(table.Services[service][0].Fence))
	})

	// The reply to the claim is lost. Only the table in the store tells which host is the keeper.
	It("finds its claim in the store if the reply was lost", func() {
		store.loseReply = true
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		Expect(store.keeper()).To(Equal(selfName))
	})

	// The keeper is isolated from the other hosts, or suspended. It cannot know whether another host has claimed, so it
	// must stop granting: otherwise an upstream that is isolated with it would keep keys that the next keeper has
	// transferred.
	It("stops granting while too few hosts confirm it, and continues when they do", func() {
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

	It("grants nothing after a suspension until other hosts confirm it again", func() {
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

	It("stops granting when another host has claimed the role", func() {
		mesh.reportFrom(store, 3, "host-2", "host-3")
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		store.claim("host-2")
		time.Sleep(300 * time.Millisecond)
		before := granter.count("u1")()
		Consistently(granter.count("u1"), "1s").Should(Equal(before))
	})

	// The previous keeper may have granted until a moment ago, and an upstream that does not answer may hold its keys
	// until the longest lease has expired. Only then may they go to another upstream; the upstreams that answer
	// continue at once under the higher fence.
	It("takes over owners that answer at once, and waits for the leases of those that do not", func() {
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

	// Another upstream answers at the address of one that was granted keys. The process of that one has ended, so its
	// keys are free without a wait.
	It("transfers the keys of an upstream that has ended at once", func() {
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

	It("transfers a leaving upstream's keys with the handover, after its running requests", func() {
		granter.finishWork = make(chan struct{})
		run()
		Eventually(granter.count("u2"), longTimeout).Should(BeNumerically(">=", 1))
		store.set(func() { store.upstreams[1].Leaving = true })
		Eventually(func() bool {
			table, _, _ := store.Current()
			owned, _ := table.Find(service, cherrykeel.MaxKey)
			return owned.InTransfer
		}, longTimeout).Should(BeTrue())
		Consistently(func() string {
			table, _, _ := store.Current()
			owned, _ := table.Find(service, cherrykeel.MaxKey)
			return owned.Owner
		}, "300ms").Should(Equal("u2"))
		close(granter.finishWork)
		Eventually(func() string { return granter.last("u1").Handover }, longTimeout).Should(Equal("token-u2"))
	})

	// The store is unavailable. No transfers are possible, and leases are as long as allowed, so that the owners
	// continue if this keeper crashes before the store is available again.
	It("grants long leases while the store is unavailable, and short ones after", func() {
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		Expect(granter.last("u1").LeaseDuration).To(BeNumerically("<", 3*time.Second))
		store.set(func() { store.unavailable = true })
		Eventually(func() time.Duration { return granter.last("u1").LeaseDuration }, longTimeout).Should(Equal(10 * time.Second))
		store.set(func() { store.unavailable = false })
		Eventually(func() time.Duration { return granter.last("u1").LeaseDuration }, longTimeout).Should(BeNumerically("<", 3*time.Second))
	})

	// An owner is shut down while the store is unavailable, which is where it would announce that. After its end its
	// keys would have no owner until its lease of 10 s has expired. When it is probed it answers that it leaves, and is
	// granted short leases; an owner that stays keeps the long ones.
	It("grants short leases to an owner that leaves while the store is unavailable", func() {
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		granter.mutex.Lock()
		granter.leaving = map[string]bool{"u1": true}
		probed := granter.probed
		granter.mutex.Unlock()
		Expect(probed).To(BeZero(), "no probes while the store is available")
		store.set(func() { store.unavailable = true })
		Eventually(func() time.Duration { return granter.last("u2").LeaseDuration }, longTimeout).Should(Equal(10 * time.Second))
		Eventually(func() time.Duration { return granter.last("u1").LeaseDuration }, longTimeout).Should(BeNumerically("<", 3*time.Second))
		Expect(granter.last("u2").LeaseDuration).To(Equal(10 * time.Second))
	})

	// Guards against probes that reach an owner each second although it has answered one that it wants to be left alone.
	It("probes no owner that asked for a rest", func() {
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		granter.set(func() { granter.rest = map[string]time.Duration{"u1": time.Minute} })
		store.set(func() { store.unavailable = true })
		probesOf := func(id string) int {
			granter.mutex.Lock()
			defer granter.mutex.Unlock()
			return granter.probes[id]
		}
		Eventually(func() int { return probesOf("u2") }, longTimeout).Should(BeNumerically(">=", 3))
		Expect(probesOf("u1")).To(Equal(1))
		store.mutex.Lock()
		defer store.mutex.Unlock()
		Expect(store.rests).To(Equal(map[string]time.Duration{"u1": time.Minute}))
	})

	// An upstream has seen a higher fence though this host is the keeper. It would refuse the same fence again and
	// again; a new claim raises the fence.
	It("claims a new term after a refusal because of a higher fence", func() {
		run()
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		table, _, _ := store.Current()
		granter.mutex.Lock()
		granter.fences["u1"] = table.Version + 1
		granter.mutex.Unlock()
		Eventually(func() int64 { table, _, _ := store.Current(); return table.Term }, longTimeout).Should(BeNumerically(">", table.Term))
		Eventually(func() int64 { return granter.last("u1").Fence }, longTimeout).Should(BeNumerically(">", table.Version))
	})

	// An upstream becomes five times slower. Each host gets few answers from it; the keeper uses the reports of all
	// hosts and transfers keys to the other upstreams, which have capacity for them.
	It("transfers keys from an upstream that the hosts report as slow", func() {
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
		processingTimes := map[string]time.Duration{"u1": 300 * time.Millisecond, "u2": 60 * time.Millisecond}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		running := keeper
		go func() {
			for key := 0; ctx.Err() == nil; key += 1009 {
				for _, host := range []string{"host-1", "host-2"} {
					running.RecordDemand(share.Demand{Host: host, Service: service, Keys: []int{key % (cherrykeel.MaxKey + 1)}, ProcessingTimes: processingTimes})
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
		Eventually(width, longTimeout).Should(BeNumerically("<", before/2))
	})

	It("resigns so that another host may claim", func() {
		run()
		Eventually(store.keeper, longTimeout).Should(Equal(selfName))
		Eventually(granter.count("u1"), longTimeout).Should(BeNumerically(">=", 1))
		keeper.Resign(context.Background())
		table, _, _ := store.Current()
		Expect(table.Incarnation).To(BeEmpty())
		Consistently(func() string { table, _, _ := store.Current(); return table.Incarnation }, "500ms").Should(BeEmpty())
	})
})
