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

// world is a ledger's lessees; all clocks agree.
type world map[string]*fakes.Ownership

func newWorld() world {
	return world{"a": fakes.NewOwnership("boot-a", service), "b": fakes.NewOwnership("boot-b", service)}
}

// carry delivers an order at a time and its answer at once.
func (world world) carry(ledger *lease.Ledger, order lease.Order, at time.Duration) cherrykeel.Holding {
	holding := world.deliver(order, at)
	ledger.RecordAnswer(order, holding, cherrykeel.Instant(at))
	return holding
}

func (world world) deliver(order lease.Order, at time.Duration) cherrykeel.Holding {
	if order.Query {
		return world[order.Lessee].Holding(at)
	}
	return world[order.Lessee].Grant(order.Grant, at)
}

// settle runs a ledger until its lessees hold what they should.
func (world world) settle(ledger *lease.Ledger, from time.Duration) time.Duration {
	at := from
	for range 10 {
		for _, order := range ledger.NextOrders(cherrykeel.Instant(at), cherrykeel.Instant(at)) {
			world.carry(ledger, order, at)
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

func find(orders []lease.Order, lessee string) *lease.Order {
	for i := range orders {
		if orders[i].Lessee == lessee {
			return &orders[i]
		}
	}
	return nil
}

var _ = Describe("a lease", func() {
	It("is not extended by a renewal that arrives late", func() {
		// The caller's key has moved on. A renewal was sent in time, waited in a buffer
		// for 30 s, and then arrives: its end is on the upstream's own clock and has passed.
		world := newWorld()
		ledger := newLedger(1, "a", "a", "a", "a")
		ledger.SetFreeAt(0)
		at := world.settle(ledger, time.Second)
		renewal := find(ledger.NextOrders(cherrykeel.Instant(at), cherrykeel.Instant(at)), "a")
		world.deliver(*renewal, at+30*time.Second)
		Expect(world["a"].Owns(at+30*time.Second, 0, "")).To(BeFalse())
	})

	It("is not given back by an older grant that arrives after a newer one", func() {
		// Partition 0 went from a to b. The grant that had given it to a is delivered a
		// second time, while it still has time to run: the fence is older, so a refuses it.
		world := newWorld()
		ledger := newLedger(1, "a", "a", "b", "b")
		ledger.SetFreeAt(0)
		at := time.Second
		var first lease.Order
		for range 3 {
			for _, order := range ledger.NextOrders(cherrykeel.Instant(at), cherrykeel.Instant(at)) {
				if order.Lessee == "a" && len(order.Grant.Partitions) > 0 {
					first = order
				}
				world.carry(ledger, order, at)
			}
			at += time.Millisecond
		}
		ledger.SetTarget(cherrykeel.Placement{Owners: []string{"b", "a", "b", "b"}})
		at = world.settle(ledger, at)
		Expect(first.Grant.Until).To(BeNumerically(">", at), "the old grant could still run")
		holding := world["a"].Grant(first.Grant, at)
		Expect(holding.Accepted).To(BeFalse())
		Expect(world["a"].Owns(at, 0, "")).To(BeFalse())
		Expect(world["b"].Owns(at, 0, "")).To(BeTrue())
	})

	It("is not passed on by a keeper that has been replaced and does not know it", func() {
		// Answers from a to the old keeper are lost, so the old one takes a's lease for ended.
		// Meanwhile the new keeper has extended that lease. If the old one went by time
		// alone, it would give a's keys to b, which the new one has not fenced yet.
		world := newWorld()
		old := newLedger(1, "a", "a", "b", "b")
		old.SetFreeAt(0)
		at := world.settle(old, time.Second)
		old.SetTarget(cherrykeel.Placement{Owners: []string{"b", "b", "b", "b"}})

		adopting := newLedger(2, "a", "a", "b", "b")
		adopting.SetFreeAt(cherrykeel.Instant(at + 2*length))
		for range 2 {
			now := cherrykeel.Instant(at + 600*time.Millisecond)
			order := find(adopting.NextOrders(now, now), "a")
			world.carry(adopting, *order, at+600*time.Millisecond)
		}

		late := at + length + 10*time.Millisecond
		Expect(world["a"].Owns(late, 0, "")).To(BeTrue())
		confirmed := cherrykeel.Instant(at + 500*time.Millisecond)
		for range 3 {
			order := find(old.NextOrders(cherrykeel.Instant(late), confirmed), "b")
			if order != nil {
				world.carry(old, *order, late)
			}
		}
		Expect(world["b"].Owns(late, 0, "")).To(BeFalse())
	})

	It("of a key that cools goes back to its partition only when its last owner has let go", func() {
		world := newWorld()
		ledger := newLedger(1, "a", "a", "b", "b")
		ledger.SetFreeAt(0)
		at := world.settle(ledger, time.Second)
		hot := "key" // in partition 3, which b holds
		ledger.SetTarget(cherrykeel.Placement{Owners: []string{"a", "a", "b", "b"}, HotKeys: map[string]string{hot: "a"}})
		at = world.settle(ledger, at+20*time.Millisecond)
		Expect(world["a"].Owns(at, 3, hot)).To(BeTrue())
		Expect(world["b"].Owns(at, 3, hot)).To(BeFalse())

		ledger.SetTarget(cherrykeel.Placement{Owners: []string{"a", "a", "b", "b"}})
		orders := ledger.NextOrders(cherrykeel.Instant(at), cherrykeel.Instant(at))
		world.carry(ledger, *find(orders, "b"), at)
		Expect(world["b"].Owns(at, 3, hot)).To(BeFalse(), "a has not answered yet")
		world.carry(ledger, *find(orders, "a"), at)
		at = world.settle(ledger, at+20*time.Millisecond)
		Expect(world["b"].Owns(at, 3, hot)).To(BeTrue())
	})
})

var _ = Describe("a witness", func() {
	It("abstains until it has caught up with the log after it started", func() {
		witness := lease.NewWitness(100)
		witness.RecordTerm(service, 7)
		Expect(witness.Confirm(service, 7, 110)).To(BeFalse())
		witness.RecordCaughtUp(50)
		Expect(witness.Confirm(service, 7, 120)).To(BeFalse(), "that read began before it started")
		witness.RecordCaughtUp(130)
		Expect(witness.Confirm(service, 7, 140)).To(BeTrue())
		Expect(witness.Confirm(service, 6, 150)).To(BeFalse())
	})

	It("abstains again after a pause in which a successor may have counted it as gone", func() {
		witness := lease.NewWitness(0)
		witness.RecordTerm(service, 7)
		witness.RecordCaughtUp(0)
		Expect(witness.Confirm(service, 7, 10)).To(BeTrue())
		Expect(witness.Confirm(service, 7, cherrykeel.Instant(5*time.Second))).To(BeFalse())
	})
})

var _ = Describe("a quorum", func() {
	It("is as fresh as the majority's oldest confirmation", func() {
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
