package lease

import (
	"maps"
	"strconv"

	"cherrykeel"
)

// RecordAnswer takes in a lessee's answer to an order; an answer that comes after Failed is passed over.
func (ledger *Ledger) RecordAnswer(order Order, holding cherrykeel.Holding, received cherrykeel.Instant) {
	lessee, exists := ledger.lessees[order.Lessee]
	if !exists || lessee.outstanding != order.serial {
		return
	}
	lessee.outstanding = 0
	if holding.Service != ledger.service || lessee.replaced[holding.Incarnation] {
		// A connection can bring the answer to another call: one for another service, or one that the lessee's
		// last process gave. Taken for this one, it would make the ledger forget what the lessee holds.
		return
	}
	if holding.Fence.Term > ledger.term {
		ledger.deposed = true
		return
	}
	if holding.Incarnation != lessee.boot {
		ledger.restarted(lessee, holding.Incarnation)
	}
	if holding.Now >= lessee.clock {
		lessee.clock = holding.Now
		lessee.readAt = received
		lessee.known = true
	}
	// A lessee that accepts a grant has that grant's fence; with another one, it accepted another grant, and
	// may take this one later.
	if !order.Query && holding.Accepted && holding.Fence == order.Grant.Fence {
		lessee.accept(order, tenureOfHolding(order.Lessee, holding))
	}
}

// restarted forgets the process that was at the address before; its leases went with it.
// What it sent to an upstream that does not check fences may still be worked on, so
// its possessions stay under a name of their own until that has ended.
func (ledger *Ledger) restarted(lessee *lessee, boot string) {
	if ledger.linger > 0 {
		ledger.keep(*lessee)
	}
	lessee.replace(boot)
	lessee.clock = 0
	lessee.known = false
	lessee.fenced = false
	lessee.possible = nil
}

// RecordAddressChange forgets a lessee that is at another address now, and so is another process. Unlike one that has
// started anew, that proves nothing of the process before: what it may hold stays its own, under a name that
// no upstream has, until its lease has ended.
func (ledger *Ledger) RecordAddressChange(name string) {
	moved, exists := ledger.lessees[name]
	if !exists {
		return
	}
	delete(ledger.lessees, name)
	left := *moved
	left.possible = nil
	for _, possession := range moved.possible {
		possession.tenure = possession.tenure.renamed(name, ledger.ghostName())
		left.possible = append(left.possible, possession)
	}
	ledger.keep(left)
}

// keep goes on counting what a process may hold that is no lessee any more, until its lease has ended.
func (ledger *Ledger) keep(ghost lessee) {
	if len(ghost.possible) == 0 {
		return
	}
	ghost.removed = true
	ledger.lessees[ledger.ghostName()] = &ghost
	ledger.ghosts++
}

// ghostName is the name of the next process that is kept; names of upstreams and hosts have no spaces.
func (ledger *Ledger) ghostName() string {
	return "ghost " + strconv.Itoa(ledger.ghosts)
}

// replace notes that another process has taken the place of the one known so far.
func (lessee *lessee) replace(boot string) {
	replaced := map[string]bool{lessee.boot: true}
	maps.Copy(replaced, lessee.replaced)
	lessee.replaced = replaced
	lessee.boot = boot
}

// accept drops the possessions that the accepted grant has replaced.
func (lessee *lessee) accept(order Order, said Assignment) {
	kept := []possession{{sequence: order.Grant.Fence.Sequence, tenure: said}}
	for _, possession := range lessee.possible {
		if possession.sequence > order.Grant.Fence.Sequence {
			kept = append(kept, possession)
		}
	}
	lessee.possible = kept
	lessee.fenced = true
}

// RecordFailure takes in that no answer came to an order; the lessee may have taken it all the same.
func (ledger *Ledger) RecordFailure(order Order) {
	lessee, exists := ledger.lessees[order.Lessee]
	if exists && lessee.outstanding == order.serial {
		lessee.outstanding = 0
	}
}
