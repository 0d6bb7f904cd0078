package lease

import (
	"maps"
	"strconv"

	"cherrykeel"
)

// RecordAnswer records a lessee's answer to an order. An answer that arrives after RecordFailure is ignored.
func (ledger *Ledger) RecordAnswer(order Order, holding cherrykeel.Holding, received cherrykeel.Instant) {
	lessee, exists := ledger.lessees[order.Lessee]
	if !exists || lessee.outstandingOrder != order.serial {
		return
	}
	lessee.outstandingOrder = 0
	if holding.Service != ledger.service || lessee.replacedIncarnations[holding.Incarnation] {
		// A connection can deliver the answer to another call: one for another service, or one of the lessee's
		// previous process. If it counted, the ledger would no longer know what the lessee holds.
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
	// A lessee that accepts a grant answers with its fence. With another fence it has accepted another grant, and may
	// still accept this one later.
	if !order.Query && holding.Accepted && holding.Fence == order.Grant.Fence {
		lessee.recordAcceptance(order, assignmentOfHolding(order.Lessee, holding))
	}
}

// recordRestart removes the leases of the previous process at the address, which ended with it. An upstream that does
// not check fences may still work on requests that the process sent, so its possible leases are kept under another
// name until that work has ended.
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

// RecordAddressChange removes a lessee that has another address now, and so is another process. Unlike a restart,
// this does not prove that the previous process has ended: its possible leases are kept, under a name that no
// upstream has, until they have ended.
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

// keepFormerProcess keeps the possible leases of a process that is no lessee any more until they have ended.
func (ledger *Ledger) keepFormerProcess(former lessee) {
	if len(former.possibleLeases) == 0 {
		return
	}
	former.removed = true
	ledger.lessees[ledger.formerName()] = &former
	ledger.formerProcesses++
}

// formerName returns a name for the next process that is kept; names of upstreams and hosts contain no spaces.
func (ledger *Ledger) formerName() string {
	return "ghost " + strconv.Itoa(ledger.formerProcesses)
}

// setProcess records that the lessee is a new process now.
func (lessee *lessee) setProcess(incarnation string) {
	earlier := map[string]bool{lessee.incarnation: true}
	maps.Copy(earlier, lessee.replacedIncarnations)
	lessee.replacedIncarnations = earlier
	lessee.incarnation = incarnation
}

// recordAcceptance drops the possible leases that the accepted grant has replaced.
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

// RecordFailure records that an order was not answered; the lessee may have accepted it nevertheless.
func (ledger *Ledger) RecordFailure(order Order) {
	lessee, exists := ledger.lessees[order.Lessee]
	if exists && lessee.outstandingOrder == order.serial {
		lessee.outstandingOrder = 0
	}
}
