package lease

import (
	"sort"
	"time"

	"cherrykeel"
)

// NextOrders returns what to send now. Leases run for the ledger's length from the older of
// confirmed, when a majority of witnesses knew of no newer term, and the lessee's last answer.
func (ledger *Ledger) NextOrders(now, confirmed cherrykeel.Instant) []Order {
	if ledger.deposed {
		return nil
	}
	ledger.expire(min(now, confirmed))
	var orders []Order
	for _, name := range ledger.names() {
		lessee := ledger.lessees[name]
		if lessee.addedAt == 0 {
			lessee.addedAt = now
		}
		if lessee.outstanding != 0 || lessee.removed {
			continue
		}
		order, due := ledger.order(name, lessee, now, confirmed)
		if due {
			ledger.serial++
			order.serial = ledger.serial
			lessee.outstanding = order.serial
			orders = append(orders, order)
		}
	}
	return orders
}

func (ledger *Ledger) names() []string {
	names := make([]string, 0, len(ledger.lessees))
	for name := range ledger.lessees {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// expire forgets what lessees held whose leases had ended when the witnesses last confirmed the term.
// That the time has passed is not enough: the keeper of a newer term may have extended the
// lease meanwhile, and this one would give the keys to a second owner. A newer keeper extends
// only after a majority of witnesses has learned its term, so a confirmation that was asked
// for after the lease's end shows that nobody extended it in time.
func (ledger *Ledger) expire(confirmed cherrykeel.Instant) {
	for name, lessee := range ledger.lessees {
		if confirmed < lessee.bound.Add(ledger.linger) {
			continue
		}
		lessee.possible = nil
		if lessee.removed {
			delete(ledger.lessees, name)
		}
	}
}

func (ledger *Ledger) order(name string, lessee *lessee, now, confirmed cherrykeel.Instant) (Order, bool) {
	if !lessee.known || now >= lessee.readAt.Add(ledger.length) {
		return Order{Lessee: name, Query: true}, true
	}
	end := min(confirmed, lessee.readAt).Add(ledger.length)
	if end <= now || ledger.freeAt == Never {
		// Before the witnesses of earlier terms have learned of this one, an earlier
		// keeper may still give away what this one would extend.
		return Order{}, false
	}
	order := Order{Lessee: name}
	// The lease's end is put on the lessee's own clock, counted from its last answer.
	// A grant that is delivered late, or by a keeper that was paused after this
	// line, therefore ends when it would have ended anyway: it extends nothing.
	left := time.Duration(float64(end.Sub(lessee.readAt)) / (1 + ledger.drift))
	ledger.sequence++
	order.Grant = cherrykeel.Grant{
		Service:     ledger.service,
		Fence:       cherrykeel.Fence{Term: ledger.term, Sequence: ledger.sequence},
		Incarnation: lessee.boot,
		Until:       lessee.clock + left,
		Timeout:     ledger.timeout,
	}
	ledger.fill(name, lessee, now, &order)
	lessee.bound = max(lessee.bound, end)
	return order, true
}

// fill decides what the order gives: the same again, or a new tenure.
func (ledger *Ledger) fill(name string, lessee *lessee, now cherrykeel.Instant, order *Order) {
	if now < ledger.freeAt || !lessee.fenced && len(lessee.possible) > 0 {
		// The first grant of a term keeps what earlier terms gave, so that a change of
		// keeper interrupts nobody; until the answer tells what that is, it may be anything.
		order.Grant.Partial = true
		kept := possession{sequence: ledger.sequence, anything: !lessee.fenced}
		if lessee.fenced {
			kept.tenure = lessee.held()
		}
		lessee.possible = append(lessee.possible, kept)
		return
	}
	next := ledger.allowed(name, lessee)
	order.Grant.Partial = lessee.holdsJust(next)
	if !order.Grant.Partial {
		next.fill(&order.Grant, name, ledger.toHosts)
	}
	lessee.possible = append(lessee.possible, possession{sequence: ledger.sequence, tenure: next})
}

// held is what a lessee last said it holds, or nothing if that has lapsed.
func (lessee *lessee) held() Assignment {
	if len(lessee.possible) == 0 || lessee.possible[0].anything {
		return NewAssignment()
	}
	return lessee.possible[0].tenure
}

func (lessee *lessee) holdsJust(tenure Assignment) bool {
	return lessee.fenced && len(lessee.possible) == 1 && !lessee.possible[0].anything && lessee.possible[0].tenure.equal(tenure)
}
