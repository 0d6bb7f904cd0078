package lease

import (
	"sort"
	"time"

	"cherrykeel"
)

// NextOrders returns the orders to send now. A lease runs for the ledger's lease duration from confirmed, the time at
// which a majority of witnesses knew of no newer term, or from the lessee's last answer if that is older.
func (ledger *Ledger) NextOrders(now, confirmed cherrykeel.Instant) []Order {
	if ledger.deposed {
		return nil
	}
	ledger.expireLeases(min(now, confirmed))
	var orders []Order
	for _, name := range ledger.lesseeNames() {
		lessee := ledger.lessees[name]
		if lessee.addedAt == 0 {
			lessee.addedAt = now
		}
		if lessee.outstandingOrder != 0 || lessee.removed {
			continue
		}
		order, due := ledger.nextOrder(name, lessee, now, confirmed)
		if due {
			ledger.serial++
			order.serial = ledger.serial
			lessee.outstandingOrder = order.serial
			orders = append(orders, order)
		}
	}
	return orders
}

func (ledger *Ledger) lesseeNames() []string {
	names := make([]string, 0, len(ledger.lessees))
	for name := range ledger.lessees {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// expireLeases drops the leases that had ended when the witnesses last confirmed the term. It is not enough that the
// time has passed: the keeper of a newer term may have extended the lease meanwhile, and this one would grant the
// keys to a second owner. A newer keeper extends a lease only after a majority of witnesses has learned its term, so
// a confirmation that was requested after the lease's end shows that no keeper extended it in time.
func (ledger *Ledger) expireLeases(confirmed cherrykeel.Instant) {
	for name, lessee := range ledger.lessees {
		if confirmed < lessee.leaseEnd.Add(ledger.processingTime) {
			continue
		}
		lessee.possibleLeases = nil
		if lessee.removed {
			delete(ledger.lessees, name)
		}
	}
}

// nextOrder returns the next order for a lessee, and whether one is due.
func (ledger *Ledger) nextOrder(name string, lessee *lessee, now, confirmed cherrykeel.Instant) (Order, bool) {
	if !lessee.clockKnown || now >= lessee.answeredAt.Add(ledger.leaseDuration) {
		return Order{Lessee: name, Query: true}, true
	}
	end := min(confirmed, lessee.answeredAt).Add(ledger.leaseDuration)
	if end <= now || ledger.freeAt == Never {
		// Before the witnesses of earlier terms have learned of this one, an earlier keeper may still grant to others
		// what this one would extend.
		return Order{}, false
	}
	order := Order{Lessee: name}
	// The lease's end is on the lessee's own clock, counted from its last answer. A grant that arrives late, or that
	// is sent by a keeper that was suspended after this line, still ends when it would have ended anyway: it extends
	// nothing.
	remaining := time.Duration(float64(end.Sub(lessee.answeredAt)) / (1 + ledger.maxDrift))
	ledger.sequence++
	order.Grant = cherrykeel.Grant{
		Service:     ledger.service,
		Fence:       cherrykeel.Fence{Term: ledger.term, Sequence: ledger.sequence},
		Incarnation: lessee.incarnation,
		Until:       lessee.clock + remaining,
		Timeout:     ledger.timeout,
	}
	ledger.fillGrant(name, lessee, now, &order)
	lessee.leaseEnd = max(lessee.leaseEnd, end)
	return order, true
}

// fillGrant sets what the order grants: what the lessee holds already, or a new assignment.
func (ledger *Ledger) fillGrant(name string, lessee *lessee, now cherrykeel.Instant, order *Order) {
	if now < ledger.freeAt || !lessee.fenced && len(lessee.possibleLeases) > 0 {
		// The first grant of a term keeps what earlier terms granted, so that a change of keeper does not interrupt
		// any owner. It is unknown what that is until the lessee answers.
		order.Grant.Partial = true
		kept := possibleLease{sequence: ledger.sequence, unknown: !lessee.fenced}
		if lessee.fenced {
			kept.assignment = lessee.lastAssignment()
		}
		lessee.possibleLeases = append(lessee.possibleLeases, kept)
		return
	}
	next := ledger.allowedAssignment(name, lessee)
	order.Grant.Partial = lessee.holdsExactly(next)
	if !order.Grant.Partial {
		next.writeTo(&order.Grant, name, ledger.leaseToHosts)
	}
	lessee.possibleLeases = append(lessee.possibleLeases, possibleLease{sequence: ledger.sequence, assignment: next})
}

// lastAssignment returns what a lessee last reported that it holds, or nothing if that is unknown or its lease has
// ended.
func (lessee *lessee) lastAssignment() Assignment {
	if len(lessee.possibleLeases) == 0 || lessee.possibleLeases[0].unknown {
		return NewAssignment()
	}
	return lessee.possibleLeases[0].assignment
}

// holdsExactly reports whether the lessee is known to hold the assignment and nothing else.
func (lessee *lessee) holdsExactly(assignment Assignment) bool {
	return lessee.fenced && len(lessee.possibleLeases) == 1 && !lessee.possibleLeases[0].unknown && lessee.possibleLeases[0].assignment.equals(assignment)
}
