package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/lease"
)

const (
	length  = 900 * time.Millisecond
	service = "test/keys"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

func partitionOf(key string) int { return len(key) % 4 }

// lessees are a ledger's lessees by name; all clocks agree.
type lessees map[string]*fakes.Ownership

func newLessees() lessees {
	return lessees{"a": fakes.NewOwnership("boot-a", service), "b": fakes.NewOwnership("boot-b", service)}
}

// exchange delivers an order at a time, and its answer at once.
func (lessees lessees) exchange(ledger *lease.Ledger, order lease.Order, at time.Duration) cherrykeel.Holding {
	holding := lessees.deliver(order, at)
	ledger.RecordAnswer(order, holding, cherrykeel.Instant(at))
	return holding
}

func (lessees lessees) deliver(order lease.Order, at time.Duration) cherrykeel.Holding {
	if order.Query {
		return lessees[order.Lessee].Holding(at)
	}
	return lessees[order.Lessee].Grant(order.Grant, at)
}

// settle runs a ledger until its lessees hold their targets.
func (lessees lessees) settle(ledger *lease.Ledger, from time.Duration) time.Duration {
	at := from
	for range 10 {
		for _, order := range ledger.NextOrders(cherrykeel.Instant(at), cherrykeel.Instant(at)) {
			lessees.exchange(ledger, order, at)
		}
		at += time.Millisecond
	}
	Expect(ledger.IsSettled(cherrykeel.Instant(at))).To(BeTrue())
	return at
}

func newLedger(term int64, owners ...string) *lease.Ledger {
	ledger := lease.NewLedger(service, term, length, partitionOf)
	ledger.SetLessees([]string{"a", "b"})
	ledger.SetTarget(cherrykeel.Placement{Owners: owners})
	return ledger
}

func findOrder(orders []lease.Order, lessee string) *lease.Order {
	for i := range orders {
		if orders[i].Lessee == lessee {
			return &orders[i]
		}
	}
	return nil
}

var _ = Describe("a lease", func() {
	It("is not extended by a renewal that arrives late", func() {
		// Guards against two owners of a key: a renewal is sent in time, is delayed for 30 s in a buffer, and arrives
		// when the key has another owner. The lease's end is on the upstream's own clock and has passed.
		lessees := newLessees()
		ledger := newLedger(1, "a", "a", "a", "a")
		ledger.SetFreeAt(0)
		at := lessees.settle(ledger, time.Second)
		renewal := findOrder(ledger.NextOrders(cherrykeel.Instant(at), cherrykeel.Instant(at)), "a")
		lessees.deliver(*renewal, at+30*time.Second)
		Expect(lessees["a"].Owns(at+30*time.Second, 0, "")).To(BeFalse())
	})

	It("is not restored by an older grant that arrives after a newer one", func() {
		// Guards against two owners of a partition: partition 0 goes from a to b, and then the grant that assigned it
		// to a is delivered a second time, while its lease would still run. Its fence is older, so a refuses it.
		lessees := newLessees()
		ledger := newLedger(1, "a", "a", "b", "b")
		ledger.SetFreeAt(0)
		at := time.Second
		var first lease.Order
		for range 3 {
			for _, order := range ledger.NextOrders(cherrykeel.Instant(at), cherrykeel.Instant(at)) {
				if order.Lessee == "a" && len(order.Grant.Partitions) > 0 {
					first = order
				}
				lessees.exchange(ledger, order, at)
			}
			at += time.Millisecond
		}
		ledger.SetTarget(cherrykeel.Placement{Owners: []string{"b", "a", "b", "b"}})
		at = lessees.settle(ledger, at)
		Expect(first.Grant.Until).To(BeNumerically(">", at), "the lease of the old grant would still run")
		holding := lessees["a"].Grant(first.Grant, at)
		Expect(holding.Accepted).To(BeFalse())
		Expect(lessees["a"].Owns(at, 0, "")).To(BeFalse())
		Expect(lessees["b"].Owns(at, 0, "")).To(BeTrue())
	})

	It("is not transferred by a keeper that has been replaced unnoticed", func() {
		// Guards against two owners of a key: the old keeper gets no answers from a and considers its lease ended,
		// while the new keeper has extended it. If the old one went by the time alone, it would grant a's keys to b,
		// where the new keeper has not raised the fence yet.
		lessees := newLessees()
		old := newLedger(1, "a", "a", "b", "b")
		old.SetFreeAt(0)
		at := lessees.settle(old, time.Second)
		old.SetTarget(cherrykeel.Placement{Owners: []string{"b", "b", "b", "b"}})

		successor := newLedger(2, "a", "a", "b", "b")
		successor.SetFreeAt(cherrykeel.Instant(at + 2*length))
		for range 2 {
			now := cherrykeel.Instant(at + 600*time.Millisecond)
			order := findOrder(successor.NextOrders(now, now), "a")
			lessees.exchange(successor, *order, at+600*time.Millisecond)
		}

		late := at + length + 10*time.Millisecond
		Expect(lessees["a"].Owns(late, 0, "")).To(BeTrue())
		confirmed := cherrykeel.Instant(at + 500*time.Millisecond)
		for range 3 {
			order := findOrder(old.NextOrders(cherrykeel.Instant(late), confirmed), "b")
			if order != nil {
				lessees.exchange(old, *order, late)
			}
		}
		Expect(lessees["b"].Owns(late, 0, "")).To(BeFalse())
	})

	It("of a key that cools goes back to its partition only when its last owner has released it", func() {
		lessees := newLessees()
		ledger := newLedger(1, "a", "a", "b", "b")
		ledger.SetFreeAt(0)
		at := lessees.settle(ledger, time.Second)
		hot := "key" // in partition 3, which belongs to b
		ledger.SetTarget(cherrykeel.Placement{Owners: []string{"a", "a", "b", "b"}, HotKeys: map[string]string{hot: "a"}})
		at = lessees.settle(ledger, at+20*time.Millisecond)
		Expect(lessees["a"].Owns(at, 3, hot)).To(BeTrue())
		Expect(lessees["b"].Owns(at, 3, hot)).To(BeFalse())

		ledger.SetTarget(cherrykeel.Placement{Owners: []string{"a", "a", "b", "b"}})
		orders := ledger.NextOrders(cherrykeel.Instant(at), cherrykeel.Instant(at))
		lessees.exchange(ledger, *findOrder(orders, "b"), at)
		Expect(lessees["b"].Owns(at, 3, hot)).To(BeFalse(), "a has not answered yet")
		lessees.exchange(ledger, *findOrder(orders, "a"), at)
		at = lessees.settle(ledger, at+20*time.Millisecond)
		Expect(lessees["b"].Owns(at, 3, hot)).To(BeTrue())
	})
})

var _ = Describe("a witness", func() {
	It("abstains until it has caught up with the log after it started", func() {
		witness := lease.NewWitness(100)
		witness.RecordTerm(service, 7)
		Expect(witness.Confirm(service, 7, 110)).To(BeFalse())
		witness.RecordCaughtUp(50)
		Expect(witness.Confirm(service, 7, 120)).To(BeFalse(), "that read started before the witness")
		witness.RecordCaughtUp(130)
		Expect(witness.Confirm(service, 7, 140)).To(BeTrue())
		Expect(witness.Confirm(service, 6, 150)).To(BeFalse())
	})

	It("abstains again after a suspension in which a successor may have considered it unavailable", func() {
		witness := lease.NewWitness(0)
		witness.RecordTerm(service, 7)
		witness.RecordCaughtUp(0)
		Expect(witness.Confirm(service, 7, 10)).To(BeTrue())
		Expect(witness.Confirm(service, 7, cherrykeel.Instant(5*time.Second))).To(BeFalse())
	})
})

var _ = Describe("a quorum", func() {
	It("is confirmed as of the oldest confirmation of a majority", func() {
		quorum := lease.NewQuorum([]string{"x", "y", "z"})
		quorum.RecordConfirmation("x", 30)
		Expect(quorum.ConfirmedAt()).To(BeZero())
		quorum.RecordConfirmation("y", 20)
		quorum.RecordConfirmation("stranger", 90)
		Expect(quorum.ConfirmedAt()).To(Equal(cherrykeel.Instant(20)))
		quorum.RecordConfirmation("z", 25)
		Expect(quorum.ConfirmedAt()).To(Equal(cherrykeel.Instant(25)))
	})
})
