package lease_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/lease"
)

// orderToA returns the next order to a without delivering it, after b has answered its own.
func (lessees lessees) orderToA(ledger *lease.Ledger, at time.Duration) *lease.Order {
	orders := ledger.NextOrders(cherrykeel.Instant(at), cherrykeel.Instant(at))
	if order := findOrder(orders, "b"); order != nil {
		lessees.exchange(ledger, *order, at)
	}
	return findOrder(orders, "a")
}

// runWithoutA delivers orders to b for four rounds, while those to a are lost.
func (lessees lessees) runWithoutA(ledger *lease.Ledger, at time.Duration) time.Duration {
	for range 4 {
		at += time.Millisecond
		if order := lessees.orderToA(ledger, at); order != nil {
			ledger.RecordFailure(*order)
		}
	}
	return at
}

var _ = Describe("an answer to a grant", func() {
	var (
		lessees lessees
		ledger  *lease.Ledger
		at      time.Duration
	)

	BeforeEach(func() {
		lessees = newLessees()
		ledger = newLedger(1, "a", "a", "", "b")
		ledger.SetFreeAt(0)
		at = lessees.settle(ledger, time.Second)
	})

	// answerGrant sends a grant that adds partition 2 to a, and passes the given answer to the ledger; then the
	// target assigns partition 2 to b, and at last the grant arrives at a.
	answerGrant := func(answer func(order lease.Order, earlier cherrykeel.Holding) cherrykeel.Holding) {
		renewal := lessees.orderToA(ledger, at)
		earlier := lessees.exchange(ledger, *renewal, at)
		Expect(earlier.Accepted).To(BeTrue())
		at += time.Millisecond
		ledger.SetTarget(cherrykeel.Placement{Owners: []string{"a", "a", "a", "b"}})
		grant := lessees.orderToA(ledger, at)
		Expect(grant.Grant.Partitions).To(ContainElement(2))
		ledger.RecordAnswer(*grant, answer(*grant, earlier), cherrykeel.Instant(at))

		ledger.SetTarget(cherrykeel.Placement{Owners: []string{"a", "a", "b", "b"}})
		at = lessees.runWithoutA(ledger, at)
		lessees.deliver(*grant, at)
	}

	// Guards against two owners of a key: a proxy answers a grant with the upstream's answer to the previous one, and
	// delivers the grant later. If any acceptance counted, the keeper would assume that a holds only what the
	// previous grant assigned, and would assign partition 2 to b before a accepts it.
	It("proves nothing if the upstream accepted another grant", func() {
		answerGrant(func(_ lease.Order, earlier cherrykeel.Holding) cherrykeel.Holding { return earlier })
		Expect(lessees["a"].Owns(at, 2, "")).To(BeTrue())
		Expect(lessees["b"].Owns(at, 2, "")).To(BeFalse())
	})

	// The same failure, with an answer for another service of the upstream whose fence happens to be equal.
	It("proves nothing if it is for another service", func() {
		answerGrant(func(order lease.Order, earlier cherrykeel.Holding) cherrykeel.Holding {
			earlier.Service = "test/other"
			earlier.Fence = order.Grant.Fence
			return earlier
		})
		Expect(lessees["a"].Owns(at, 2, "")).To(BeTrue())
		Expect(lessees["b"].Owns(at, 2, "")).To(BeFalse())
	})
})

var _ = Describe("an answer of a replaced process", func() {
	// Guards against two owners of a key: upstream a has restarted and got partitions 0 and 1 again, and then an
	// answer of its previous process arrives. If that counted as a restart, the keeper would consider free what the
	// current process holds.
	It("does not make the keeper forget what its successor holds", func() {
		lessees := newLessees()
		ledger := newLedger(1, "a", "a", "b", "b")
		ledger.SetFreeAt(0)
		at := lessees.settle(ledger, time.Second)
		replaced := lessees["a"].Holding(at)
		lessees["a"] = newLessees()["b"]
		at = lessees.settle(ledger, at+time.Millisecond)
		Expect(lessees["a"].Owns(at, 0, "")).To(BeTrue())

		ledger.SetTarget(cherrykeel.Placement{Owners: []string{"b", "b", "b", "b"}})
		order := lessees.orderToA(ledger, at)
		ledger.RecordAnswer(*order, replaced, cherrykeel.Instant(at))
		at = lessees.runWithoutA(ledger, at)
		Expect(lessees["a"].Owns(at, 0, "")).To(BeTrue())
		Expect(lessees["b"].Owns(at, 0, "")).To(BeFalse())
	})
})

var _ = Describe("what an upstream works on", func() {
	// Guards against two owners of a key: a was unreachable while it processed a request, its lease ended, and its
	// keys went to b. When a is back it still reports them, since the request still runs. If that counted as holding
	// them, a would get them again as soon as the target says so, while b, now unreachable, still holds them.
	DescribeTable("is not assigned to it again before the next owner has released it", func(cold, hot cherrykeel.Placement, partition int, key string) {
		lessees := newLessees()
		ledger := newLedger(1, "a", "a", "b", "b")
		ledger.SetFreeAt(0)
		ledger.SetTarget(hot)
		at := lessees.settle(ledger, time.Second)
		Expect(lessees["a"].Owns(at, partition, key)).To(BeTrue())

		ledger.SetTarget(cold)
		at += 2 * length
		at = lessees.runWithoutA(ledger, at)
		Expect(lessees["b"].Owns(at, partition, key)).To(BeTrue())

		ledger.SetTarget(hot)
		for range 6 {
			at += time.Millisecond
			for _, order := range ledger.NextOrders(cherrykeel.Instant(at), cherrykeel.Instant(at)) {
				if order.Lessee == "b" {
					ledger.RecordFailure(order)
					continue
				}
				holding := lessees.deliver(order, at)
				holding.Partitions = append(holding.Partitions, partition)
				holding.HotKeys = append(holding.HotKeys, key)
				ledger.RecordAnswer(order, holding, cherrykeel.Instant(at))
			}
		}
		Expect(lessees["b"].Owns(at, partition, key)).To(BeTrue())
		Expect(lessees["a"].Owns(at, partition, key)).To(BeFalse())
	},
		Entry("as a partition",
			cherrykeel.Placement{Owners: []string{"b", "a", "b", "b"}},
			cherrykeel.Placement{Owners: []string{"a", "a", "b", "b"}}, 0, ""),
		Entry("as a hot key",
			cherrykeel.Placement{Owners: []string{"a", "a", "b", "b"}},
			cherrykeel.Placement{Owners: []string{"a", "a", "b", "b"}, HotKeys: map[string]string{"key": "a"}}, 3, "key"),
	)
})
