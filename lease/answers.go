package lease

import (
	"cherrykeel"
)

// Answered takes in a lessee's answer to an order; an answer that comes after Failed is passed over.
func (ledger *Ledger) Answered(order Order, holding cherrykeel.Holding, received cherrykeel.Instant) {
	lessee, exists := ledger.lessees[order.Lessee]
	if !exists || lessee.outstanding != order.serial {
		return
	}
	lessee.outstanding = 0
	if holding.Fence.Term > ledger.term {
		ledger.deposed = true
		return
	}
	if holding.Boot != lessee.boot {
		ledger.restarted(lessee, holding.Boot)
	}
	if holding.Now >= lessee.clock {
		lessee.clock = holding.Now
		lessee.readAt = received
		lessee.known = true
	}
	if !order.Ask && holding.Accepted {
		lessee.accept(order, tenureOfHolding(order.Lessee, holding))
	}
}

// restarted forgets the process that was at the address before; its leases went with it.
// What it sent to an upstream that does not check fences may still be worked on, so
// its possessions stay under a name of their own until that has ended.
func (ledger *Ledger) restarted(lessee *lessee, boot string) {
	if ledger.linger > 0 && len(lessee.possible) > 0 {
		ghost := *lessee
		ghost.removed = true
		ledger.lessees["ghost "+lessee.boot] = &ghost
	}
	lessee.boot = boot
	lessee.clock = 0
	lessee.known = false
	lessee.fenced = false
	lessee.possible = nil
}

// accept drops the possessions that the accepted grant has replaced.
func (lessee *lessee) accept(order Order, said Tenure) {
	kept := []possession{{sequence: order.Grant.Fence.Sequence, tenure: said}}
	for _, possession := range lessee.possible {
		if possession.sequence > order.Grant.Fence.Sequence {
			kept = append(kept, possession)
		}
	}
	lessee.possible = kept
	lessee.fenced = true
}

// Failed takes in that no answer came to an order; the lessee may have taken it all the same.
func (ledger *Ledger) Failed(order Order) {
	lessee, exists := ledger.lessees[order.Lessee]
	if exists && lessee.outstanding == order.serial {
		lessee.outstanding = 0
	}
}
