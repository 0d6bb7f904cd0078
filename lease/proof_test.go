package lease_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/lease"
)

// orderTo returns the order to a, which is under way, after b has had its own.
func (world world) orderTo(ledger *lease.Ledger, at time.Duration) *lease.Order {
	orders := ledger.NextOrders(cherrykeel.Instant(at), cherrykeel.Instant(at))
	if order := find(orders, "b"); order != nil {
		world.carry(ledger, *order, at)
	}
	return find(orders, "a")
}

// withoutA lets b have its orders, while those to a are lost.
func (world world) withoutA(ledger *lease.Ledger, at time.Duration) time.Duration {
	for range 4 {
		at += time.Millisecond
		if order := world.orderTo(ledger, at); order != nil {
			ledger.RecordFailure(*order)
		}
	}
	return at
}

var _ = Describe("an answer to a grant", func() {
	var (
		world  world
		ledger *lease.Ledger
		at     time.Duration
	)

	BeforeEach(func() {
		world = newWorld()
		ledger = newLedger(1, "a", "a", "", "b")
		ledger.SetFreeAt(0)
		at = world.settle(ledger, time.Second)
	})

	// giveMore has a grant under way that gives a partition 2, and answers it as told; the plan then gives
	// partition 2 to b, and at last the grant arrives at a.
	giveMore := func(answer func(order lease.Order, earlier cherrykeel.Holding) cherrykeel.Holding) {
		renewal := world.orderTo(ledger, at)
		earlier := world.carry(ledger, *renewal, at)
		Expect(earlier.Accepted).To(BeTrue())
		at += time.Millisecond
		ledger.SetTarget(cherrykeel.Placement{Owners: []string{"a", "a", "a", "b"}})
		grant := world.orderTo(ledger, at)
		Expect(grant.Grant.Partitions).To(ContainElement(2))
		ledger.RecordAnswer(*grant, answer(*grant, earlier), cherrykeel.Instant(at))

		ledger.SetTarget(cherrykeel.Placement{Owners: []string{"a", "a", "b", "b"}})
		at = world.withoutA(ledger, at)
		world.deliver(*grant, at)
	}

	// The caller's key is written at two upstreams. A proxy answers a grant with the upstream's answer to the
	// one before, and delivers the grant later. If any acceptance counted, the keeper would believe that a
	// holds what the earlier grant gave, pass partition 2 on, and a would then take it.
	It("proves nothing if the upstream accepted another grant", func() {
		giveMore(func(_ lease.Order, earlier cherrykeel.Holding) cherrykeel.Holding { return earlier })
		Expect(world["a"].Owns(at, 2, "")).To(BeTrue())
		Expect(world["b"].Owns(at, 2, "")).To(BeFalse())
	})

	// As above, with an answer for another service of the same upstream, whose fence happens to be the same.
	It("proves nothing if it is for another service", func() {
		giveMore(func(order lease.Order, earlier cherrykeel.Holding) cherrykeel.Holding {
			earlier.Service = "test/other"
			earlier.Fence = order.Grant.Fence
			return earlier
		})
		Expect(world["a"].Owns(at, 2, "")).To(BeTrue())
		Expect(world["b"].Owns(at, 2, "")).To(BeFalse())
	})
})

var _ = Describe("an answer of a process that has been replaced", func() {
	// The caller's key is written at two upstreams. Upstream a restarted and was given partitions 0 and 1 again;
	// then an answer comes that its last process gave. If that passed for a restart, the keeper would
	// take what the process of now holds for free.
	It("does not make the keeper forget what its successor holds", func() {
		world := newWorld()
		ledger := newLedger(1, "a", "a", "b", "b")
		ledger.SetFreeAt(0)
		at := world.settle(ledger, time.Second)
		replaced := world["a"].Holding(at)
		world["a"] = newWorld()["b"]
		at = world.settle(ledger, at+time.Millisecond)
		Expect(world["a"].Owns(at, 0, "")).To(BeTrue())

		ledger.SetTarget(cherrykeel.Placement{Owners: []string{"b", "b", "b", "b"}})
		order := world.orderTo(ledger, at)
		ledger.RecordAnswer(*order, replaced, cherrykeel.Instant(at))
		at = world.withoutA(ledger, at)
		Expect(world["a"].Owns(at, 0, "")).To(BeTrue())
		Expect(world["b"].Owns(at, 0, "")).To(BeFalse())
	})
})

var _ = Describe("what an upstream works on", func() {
	// The caller's key is written at two upstreams. a was cut off with a request at work; its lease ended and its
	// keys went to b. a is back and lists them, since the request still runs. If that passed for holding
	// them, a would get them again as soon as the plan says so, while b, which hears nothing just now, has them.
	DescribeTable("is not its own again before the next owner has let go", func(cold, hot cherrykeel.Placement, partition int, key string) {
		world := newWorld()
		ledger := newLedger(1, "a", "a", "b", "b")
		ledger.SetFreeAt(0)
		ledger.SetTarget(hot)
		at := world.settle(ledger, time.Second)
		Expect(world["a"].Owns(at, partition, key)).To(BeTrue())

		ledger.SetTarget(cold)
		at += 2 * length
		at = world.withoutA(ledger, at)
		Expect(world["b"].Owns(at, partition, key)).To(BeTrue())

		ledger.SetTarget(hot)
		for range 6 {
			at += time.Millisecond
			for _, order := range ledger.NextOrders(cherrykeel.Instant(at), cherrykeel.Instant(at)) {
				if order.Lessee == "b" {
					ledger.RecordFailure(order)
					continue
				}
				holding := world.deliver(order, at)
				holding.Partitions = append(holding.Partitions, partition)
				holding.HotKeys = append(holding.HotKeys, key)
				ledger.RecordAnswer(order, holding, cherrykeel.Instant(at))
			}
		}
		Expect(world["b"].Owns(at, partition, key)).To(BeTrue())
		Expect(world["a"].Owns(at, partition, key)).To(BeFalse())
	},
		Entry("as a partition",
			cherrykeel.Placement{Owners: []string{"b", "a", "b", "b"}},
			cherrykeel.Placement{Owners: []string{"a", "a", "b", "b"}}, 0, ""),
		Entry("as a hot key",
			cherrykeel.Placement{Owners: []string{"a", "a", "b", "b"}},
			cherrykeel.Placement{Owners: []string{"a", "a", "b", "b"}, HotKeys: map[string]string{"key": "a"}}, 3, "key"),
	)
})
