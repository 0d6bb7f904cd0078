package grants

import (
	"context"
	"maps"
	"time"

	"cherrykeel"
	"cherrykeel/share"
	"cherrykeel/spans"
)

// returnDelay is how long an owner has to count as departed, and the store to have been well, for one that is
// listed there still to be taken for alive: the entry of one that has ended lapses after three heartbeats, and
// is believed to be gone 2.2 s later.
const returnDelay = 5 * time.Second

// A keeper tells the other hosts what it grants no more in its term, and when all of that has surely ended: the
// keys of an owner that has departed, which is one that said that it leaves and answers no grant any more; and
// at the end of its process the keys of all owners. A successor that knows this need not outwait the longest
// hold, 12 s, for keys that nobody holds.
//
// This is sound since a term has one keeper, which keeps its word until it ends, and a claim replaces exactly
// the term that it names: what is told of any other term is not used. The time is told as a remainder and
// counted from when it is read, by each host that passes it on, so that a message that is late can only make
// the successor wait longer.

// finalGrants is what is known of the grants that a term's keeper makes no more.
type finalGrants struct {
	term int64
	// until is when all that was granted to an owner has ended.
	until map[string]cherrykeel.Instant
	// departed owners are not to be asked again.
	departed map[string]bool
}

func newFinalGrants(term int64) *finalGrants {
	return &finalGrants{term: term, until: map[string]cherrykeel.Instant{}, departed: map[string]bool{}}
}

// claimAttempt is the claim that this host made last: at the offset that becomes its term, in place of a term.
type claimAttempt struct {
	offset       int64
	replacedTerm int64
}

// recordDeparture notes that an owner that leaves has not answered; it is not asked again in this term.
func (contact *contact) recordDeparture(now cherrykeel.Instant) {
	if contact.leaving && contact.isUnresponsive(now) && !contact.departed {
		contact.departed = true
		contact.departedAt = now
	}
}

// reclaimForReturned claims anew if an owner that counts as departed lives and stays: its health check has lied while
// messages to it were lost. It may be granted keys in the new term only, since hosts remember that it gets none
// in this one.
func (keeper *Keeper) reclaimForReturned(ctx context.Context, table spans.Table, next int64, now cherrykeel.Instant) bool {
	for _, upstream := range keeper.environment.Upstreams() {
		contact, known := keeper.contacts[upstream.ID]
		if !known || !contact.departed || upstream.Leaving || keeper.environment.StoreAvailableFor() == 0 {
			continue
		}
		lives := keeper.environment.StoreAvailableFor() >= returnDelay && now.Sub(contact.departedAt) >= returnDelay
		if lives || contact.restarted {
			keeper.claim(ctx, table, next, "an owner that had departed stays")
			return true
		}
	}
	return false
}

// publishFinal puts what is final of this keeper's term where reports take it from: all of it when the keeper ends.
func (keeper *Keeper) publishFinal(now cherrykeel.Instant, all bool) {
	told := newFinalGrants(keeper.term)
	for id, contact := range keeper.contacts {
		if !all && !contact.departed {
			continue
		}
		held := keeper.ledger.HeldUntil(id)
		if held != spans.Never {
			told.until[id] = max(held, now)
		}
		if contact.departed {
			told.departed[id] = true
		}
	}
	keeper.publishedFinal.Store(told)
}

// FinalGrants returns what to report of grants that are made no more in the present term; nil if nothing is known.
func (keeper *Keeper) FinalGrants() *share.FinalGrants {
	told := keeper.publishedFinal.Load()
	if told == nil || len(told.until) == 0 {
		return nil
	}
	now := keeper.clock.Now()
	report := &share.FinalGrants{Term: told.term, EndsWithin: map[string]time.Duration{}}
	for id, until := range told.until {
		report.EndsWithin[id] = max(0, until.Sub(now))
		if told.departed[id] {
			report.Departed = append(report.Departed, id)
		}
	}
	return report
}

// recordFinalReports takes what others report of the present term, in case this host succeeds its keeper, and passes it
// on: the host that restarts first may be the next one, and has heard nothing of the last one's end.
func (keeper *Keeper) recordFinalReports(table spans.Table) {
	if keeper.receivedFinal == nil || keeper.receivedFinal.term != table.Term {
		keeper.receivedFinal = newFinalGrants(table.Term)
	}
	for _, heard := range keeper.mesh.Reports(maxEvidenceAge) {
		told := heard.Report.FinalGrants
		if told == nil || told.Term != table.Term {
			continue
		}
		for id, within := range told.EndsWithin {
			until := heard.ReceivedAt.Add(within)
			known, exists := keeper.receivedFinal.until[id]
			if !exists || until < known {
				keeper.receivedFinal.until[id] = until
			}
		}
		for _, id := range told.Departed {
			keeper.receivedFinal.departed[id] = true
		}
	}
	keeper.publishedFinal.Store(&finalGrants{term: table.Term, until: maps.Clone(keeper.receivedFinal.until), departed: maps.Clone(keeper.receivedFinal.departed)})
}

// inheritedFinal returns what is final of the term that this host's claim has replaced.
func (keeper *Keeper) inheritedFinal(term int64) *finalGrants {
	if keeper.receivedFinal == nil || keeper.lastClaim.offset != term || keeper.lastClaim.replacedTerm != keeper.receivedFinal.term {
		return newFinalGrants(term)
	}
	return keeper.receivedFinal
}

// inheritOwners takes over the owners of a table: what each may hold, and which of them are not to be asked.
func (keeper *Keeper) inheritOwners(table spans.Table, now cherrykeel.Instant) {
	before := keeper.inheritedFinal(table.Term)
	for service, list := range table.Services {
		for _, owned := range list {
			until, known := before.until[owned.Owner]
			if !known {
				until = spans.Never
			}
			keeper.ledger.RecordLease(spans.GrantedSpan{Service: service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence}, until)
			contact := keeper.contact(owned.Owner)
			if known {
				contact.recordLease(until)
			}
			contact.departed = before.departed[owned.Owner]
			contact.departedAt = now
		}
	}
}

// StopGranting ends all grants by this host for good; afterwards Finals tells when the last ones have ended.
func (keeper *Keeper) StopGranting(ctx context.Context) {
	done := make(chan struct{})
	select {
	case keeper.stopRequests <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// publishTermEnd publishes the end of this host's term, if it has one.
func (keeper *Keeper) publishTermEnd() {
	if keeper.term >= 0 {
		keeper.publishFinal(keeper.clock.Now(), true)
	}
}
