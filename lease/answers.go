package lease

import (
	"maps"
	"strconv"

	"cherrykeel"
)

// RecordAnswer takes in a lessee's answer to an order; an answer that comes after Failed is passed over.
func (ledger *Ledger) RecordAnswer(order Order, holding cherrykeel.Holding, received cherrykeel.Instant) {
	lessee, exists := ledger.lessees[order.Lessee]
	if !exists || lessee.outstandingOrder != order.serial {
		return
	}
	lessee.outstandingOrder = 0
	if holding.Service != ledger.service || lessee.replacedIncarnations[holding.Incarnation] {
		// A connection can bring the answer to another call: one for another service, or one that the lessee's
		// last process gave. Taken for this one, it would make the ledger forget what the lessee holds.
		return
	}
	if holding.Fence.Term > ledger.term {
		ledger.deposed = true
		return
	}
	if holding.Incarnation != lessee.incarnation {
		ledger.recordRestart(lessee, holding.Incarnation)
	}
	if holding.Now >= lessee.clock {
		lessee.clock = holding.Now
		lessee.answeredAt = received
		lessee.clockKnown = true
	}
	// A lessee that accepts a grant has that grant's fence; with another one, it accepted another grant, and
	// may take this one later.
	if !order.Query && holding.Accepted && holding.Fence == order.Grant.Fence {
		lessee.recordAcceptance(order, assignmentOfHolding(order.Lessee, holding))
	}
}

// restarted forgets the process that was at the address before; its leases went with it.
// What it sent to an upstream that does not check fences may still be worked on, so
// its possessions stay under a name of their own until that has ended.
func (ledger *Ledger) recordRestart(lessee *lessee, incarnation string) {
	if ledger.processingTime > 0 {
		ledger.keepFormerProcess(*lessee)
	}
	lessee.setProcess(incarnation)
	lessee.clock = 0
	lessee.clockKnown = false
	lessee.fenced = false
	lessee.possibleLeases = nil
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
	former := *moved
	former.possibleLeases = nil
	for _, possibleLease := range moved.possibleLeases {
		possibleLease.assignment = possibleLease.assignment.withRenamedUpstream(name, ledger.formerName())
		former.possibleLeases = append(former.possibleLeases, possibleLease)
	}
	ledger.keepFormerProcess(former)
}

// keep goes on counting what a process may hold that is no lessee any more, until its lease has ended.
func (ledger *Ledger) keepFormerProcess(former lessee) {
	if len(former.possibleLeases) == 0 {
		return
	}
	former.removed = true
	ledger.lessees[ledger.formerName()] = &former
	ledger.formerProcesses++
}

// ghostName is the name of the next process that is kept; names of upstreams and hosts have no spaces.
func (ledger *Ledger) formerName() string {
	return "ghost " + strconv.Itoa(ledger.formerProcesses)
}

// replace notes that another process has taken the place of the one known so far.
func (lessee *lessee) setProcess(incarnation string) {
	earlier := map[string]bool{lessee.incarnation: true}
	maps.Copy(earlier, lessee.replacedIncarnations)
	lessee.replacedIncarnations = earlier
	lessee.incarnation = incarnation
}

// accept drops the possessions that the accepted grant has replaced.
func (lessee *lessee) recordAcceptance(order Order, reported Assignment) {
	kept := []possibleLease{{sequence: order.Grant.Fence.Sequence, assignment: reported}}
	for _, possibleLease := range lessee.possibleLeases {
		if possibleLease.sequence > order.Grant.Fence.Sequence {
			kept = append(kept, possibleLease)
		}
	}
	lessee.possibleLeases = kept
	lessee.fenced = true
}

// RecordFailure takes in that no answer came to an order; the lessee may have taken it all the same.
func (ledger *Ledger) RecordFailure(order Order) {
	lessee, exists := ledger.lessees[order.Lessee]
	if exists && lessee.outstandingOrder == order.serial {
		lessee.outstandingOrder = 0
	}
}
