package grants

import (
	"context"
	"maps"
	"time"

	"cherrykeel"
	"cherrykeel/share"
	"cherrykeel/spans"
)

// returnDelay is how long an owner must have counted as departed, and the store must have been available, until an
// upstream that is still listed counts as running. The entry of one that has ended expires after three heartbeats, and
// the upstream is removed 2.2 s later.
const returnDelay = 5 * time.Second

// A keeper reports to the other hosts the final grants of its term, which it will not renew, and when the last of them
// has surely expired. These are the grants to an owner that has departed, that is, has announced that it leaves and no
// longer answers grants; and, when the keeper stops, the grants to all owners. A successor that knows this need not
// wait for the longest lease, 12 s, for keys that nobody holds.
//
// This is safe because a term has one keeper, which keeps its promise until it stops, and a claim replaces exactly the
// term that it names: reports on any other term are not used. The times are sent as remaining durations and count from
// their receipt, at each host that passes them on, so that a delayed message can only make the successor wait longer.

// finalGrants holds what is known of the grants that a term's keeper will not renew.
type finalGrants struct {
	term int64
	// until is the time when all grants to an owner have expired.
	until map[string]cherrykeel.Instant
	// departed has the owners that get no further grants in the term.
	departed map[string]bool
}

func newFinalGrants(term int64) *finalGrants {
	return &finalGrants{term: term, until: map[string]cherrykeel.Instant{}, departed: map[string]bool{}}
}

// claimAttempt is this host's last claim: its offset, which becomes the new term, and the term that it replaces.
type claimAttempt struct {
	offset       int64
	replacedTerm int64
}

// recordDeparture records that a leaving owner has stopped answering; it gets no further grants in this term.
func (contact *contact) recordDeparture(now cherrykeel.Instant) {
	if contact.leaving && contact.isUnresponsive(now) && !contact.departed {
		contact.departed = true
		contact.departedAt = now
	}
}

// reclaimForReturned claims a new term if an owner that counts as departed stays: its health check gave a wrong answer
// while messages to it were lost, or it has started again. Only in a new term may it be granted keys: other hosts have
// recorded that it gets none in this one.
func (keeper *Keeper) reclaimForReturned(ctx context.Context, table spans.Table, next int64, now cherrykeel.Instant) bool {
	for _, upstream := range keeper.environment.Upstreams() {
		contact, known := keeper.contacts[upstream.ID]
		if !known || !contact.departed || upstream.Leaving || upstream.LeaveAt != 0 || keeper.environment.StoreAvailableFor() == 0 {
			continue
		}
		running := keeper.environment.StoreAvailableFor() >= returnDelay && now.Sub(contact.departedAt) >= returnDelay
		if running || contact.restarted {
			keeper.claim(ctx, table, next, "a departed owner is running again")
			return true
		}
	}
	return false
}

// publishFinal sets the final grants that this host's reports include: those of departed owners, or of all owners when
// the keeper stops.
func (keeper *Keeper) publishFinal(now cherrykeel.Instant, all bool) {
	final := newFinalGrants(keeper.term)
	for id, contact := range keeper.contacts {
		if !all && !contact.departed {
			continue
		}
		held := keeper.ledger.HeldUntil(id)
		if held != spans.Never {
			final.until[id] = max(held, now)
		}
		if contact.departed {
			final.departed[id] = true
		}
	}
	keeper.publishedFinal.Store(final)
}

// FinalGrants returns the final grants of the present term for this host's reports, or nil if none are known.
func (keeper *Keeper) FinalGrants() *share.FinalGrants {
	final := keeper.publishedFinal.Load()
	if final == nil || len(final.until) == 0 {
		return nil
	}
	now := keeper.clock.Now()
	report := &share.FinalGrants{Term: final.term, EndsWithin: map[string]time.Duration{}}
	for id, until := range final.until {
		report.EndsWithin[id] = max(0, until.Sub(now))
		if final.departed[id] {
			report.Departed = append(report.Departed, id)
		}
	}
	return report
}

// recordFinalReports records the final grants that others report for the present term, in case this host succeeds its
// keeper, and passes them on: the host that restarts first may be the next keeper and has not received the last
// keeper's reports.
func (keeper *Keeper) recordFinalReports(table spans.Table) {
	if keeper.receivedFinal == nil || keeper.receivedFinal.term != table.Term {
		keeper.receivedFinal = newFinalGrants(table.Term)
	}
	for _, received := range keeper.mesh.Reports(maxEvidenceAge) {
		final := received.Report.FinalGrants
		if final == nil || final.Term != table.Term {
			continue
		}
		for id, within := range final.EndsWithin {
			until := received.ReceivedAt.Add(within)
			known, exists := keeper.receivedFinal.until[id]
			if !exists || until < known {
				keeper.receivedFinal.until[id] = until
			}
		}
		for _, id := range final.Departed {
			keeper.receivedFinal.departed[id] = true
		}
	}
	keeper.publishedFinal.Store(&finalGrants{term: table.Term, until: maps.Clone(keeper.receivedFinal.until), departed: maps.Clone(keeper.receivedFinal.departed)})
}

// inheritedFinal returns the final grants of the term that this host's claim has replaced.
func (keeper *Keeper) inheritedFinal(term int64) *finalGrants {
	if keeper.receivedFinal == nil || keeper.lastClaim.offset != term || keeper.lastClaim.replacedTerm != keeper.receivedFinal.term {
		return newFinalGrants(term)
	}
	return keeper.receivedFinal
}

// inheritOwners takes over the owners of a table: until when each may hold its keys, and which of them have departed.
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
			contact.recordLease(owned.Address, until)
			contact.departed = before.departed[owned.Owner]
			contact.departedAt = now
		}
	}
}

// StopGranting ends all grants by this host permanently; afterwards FinalGrants returns when the last ones expire.
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

// publishTermEnd publishes the final grants to all owners if this host is the keeper.
func (keeper *Keeper) publishTermEnd() {
	if keeper.term >= 0 {
		keeper.publishFinal(keeper.clock.Now(), true)
	}
}
