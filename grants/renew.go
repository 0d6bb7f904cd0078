package grants

import (
	"context"
	"sync/atomic"
	"time"

	"cherrykeel"
	"cherrykeel/spans"
)

const (
	// minLease is the shortest hold: the keys of a dead upstream whose work is short are free after it, and it
	// outlives four lost renewals.
	minLease      = 2500 * time.Millisecond
	renewInterval = 600 * time.Millisecond
	// retryInterval is the pace of tries while grants go unanswered.
	retryInterval = 200 * time.Millisecond
	// unavailableAfter is how many grants in a row go unanswered before an upstream counts as lost. Those within
	// lostWithin of the first say no more than that one: upstreams that had reset the connections of two spans'
	// grants in one moment, and lived, lost their keys for 5 s.
	unavailableAfter = 2
	minMissInterval  = 150 * time.Millisecond
	// unavailableFor is how long a lost upstream gets no grants, so that its hold ends and its keys become free:
	// a grant without an answer may have been taken and starts the hold anew. Then it is tried again.
	unavailableFor = 5 * time.Second
)

type grantState struct {
	upstream   cherrykeel.Upstream
	handover   string
	sentAt     cherrykeel.Instant
	sent       bool
	accepted   bool
	acceptedAt cherrykeel.Instant
	// remainder says that the span is the rest of a larger one, and takenAt that one's.
	remainder bool
	pending   bool
	refused   bool
	// overdue says that the last one went unanswered for want of time on this host.
	overdue bool
	// withdrawn grants are not to be sent any more; workers read it.
	withdrawn atomic.Bool
}

// contact is what is known of an upstream's answers to grants.
type contact struct {
	// answering says that it has answered the last grant.
	answering bool
	misses    int
	// missedAt is when the first of the misses in a row came.
	missedAt         cherrykeel.Instant
	unavailableUntil cherrykeel.Instant
	// probing says that it is being asked whether it leaves; leaving is what it said last.
	probing  bool
	probed   bool
	probedAt cherrykeel.Instant
	leaving  bool
	// departed says that it is granted nothing any more in this term, as this host has known since departedAt.
	departed   bool
	departedAt cherrykeel.Instant
	// processEnded says that its process is known to be gone, since endedAt.
	processEnded   bool
	processEndedAt cherrykeel.Instant
	// heldUntil is the latest end of all that it was granted in this term.
	heldUntil cherrykeel.Instant
	// startedAt is when its present life began, if it says so, and reborn that there was another before in this term.
	startedAt int64
	restarted bool
}

func (keeper *Keeper) contact(id string) *contact {
	known, exists := keeper.contacts[id]
	if !exists {
		known = &contact{}
		keeper.contacts[id] = known
	}
	return known
}

// recordAnswer notes that the upstream has recordAnswer a grant.
func (contact *contact) recordAnswer() {
	contact.misses = 0
	contact.answering = true
}

// recordLease notes that the upstream may hold keys until a time.
func (contact *contact) recordLease(until cherrykeel.Instant) {
	contact.heldUntil = max(contact.heldUntil, until)
}

// recordProcessEnd notes that the upstream's process is gone.
func (contact *contact) recordProcessEnd(now cherrykeel.Instant) {
	if contact.processEnded {
		return
	}
	contact.processEnded = true
	contact.processEndedAt = now
}

// recordMiss notes that a grant went unanswered, which may make the upstream count as lost.
func (contact *contact) recordMiss(now cherrykeel.Instant) {
	if contact.misses == 0 {
		contact.missedAt = now
	}
	contact.misses++
	contact.answering = false
	if contact.isUnresponsive(now) {
		contact.unavailableUntil = now.Add(unavailableFor)
	}
}

// isUnresponsive reports whether enough grants went unanswered, for long enough.
func (contact *contact) isUnresponsive(now cherrykeel.Instant) bool {
	return contact.misses >= unavailableAfter && now.Sub(contact.missedAt) >= minMissInterval
}

// renewGrants grants each span of the table to its owner, again before its hold ends.
func (keeper *Keeper) renewGrants(ctx context.Context, table spans.Table, now cherrykeel.Instant) {
	wanted := map[spans.GrantedSpan]bool{}
	for service, list := range table.Services {
		for _, owned := range list {
			if owned.Owner == "" || owned.Moving {
				continue
			}
			key := spans.GrantedSpan{Service: service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence}
			wanted[key] = true
			keeper.renewGrant(ctx, key, owned, now)
		}
	}
	for key, state := range keeper.grants {
		if wanted[key] {
			continue
		}
		state.withdrawn.Store(true)
		if !state.pending {
			delete(keeper.grants, key)
		}
	}
}

func (keeper *Keeper) renewGrant(ctx context.Context, key spans.GrantedSpan, owned spans.Owned, now cherrykeel.Instant) {
	state, exists := keeper.grants[key]
	if !exists || state.withdrawn.Load() && !state.pending {
		state = keeper.newGrant(key, owned)
	}
	contact := keeper.contact(key.Owner)
	pace := renewInterval
	if state.sent && !state.accepted || state.overdue || contact.misses > 0 {
		pace = retryInterval
	}
	if state.pending || state.refused || state.sent && now.Sub(state.sentAt) < pace || keeper.isUnavailable(key.Owner, now) {
		return
	}
	if keeper.isTransferPending(key) || keeper.ledger.FreeAt(key.Service, key.Owner, key.Span) > now || keeper.hasProcessEnded(key.Owner, owned.Address, now) {
		return
	}
	keeper.sendGrant(ctx, key, state, now)
}

// newGrant notes a grant that is to be sent.
func (keeper *Keeper) newGrant(key spans.GrantedSpan, owned spans.Owned) *grantState {
	state := &grantState{upstream: cherrykeel.Upstream{ID: owned.Owner, Address: owned.Address, StartedAt: owned.StartedAt}, handover: keeper.handoverFor(key)}
	whole, cut := keeper.coveringGrant(key)
	if cut {
		state.remainder = true
		state.acceptedAt = whole.acceptedAt
	}
	keeper.grants[key] = state
	return state
}

func (keeper *Keeper) markAccepted(state *grantState, now cherrykeel.Instant) {
	state.accepted = true
	if !state.remainder {
		state.acceptedAt = now
	}
}

// recordIncarnationEnd takes it that a life of an upstream has ended, unless the next one is known: that may hold keys.
func (keeper *Keeper) recordIncarnationEnd(upstream cherrykeel.Upstream, now cherrykeel.Instant) {
	if keeper.contact(upstream.ID).startedAt > upstream.StartedAt {
		return
	}
	keeper.ledger.RecordProcessEnd(upstream.ID)
	keeper.contact(upstream.ID).recordProcessEnd(now)
	keeper.environment.NotifyEnded(upstream.ID)
}

// recordIncarnations notes the upstreams' lives. What was learned of an earlier life, that it does not answer or leaves, is not
// said of the next one; what the earlier one may hold stays in the ledger, under the same ID.
func (keeper *Keeper) recordIncarnations() {
	for _, upstream := range keeper.environment.Upstreams() {
		known := keeper.contact(upstream.ID)
		if upstream.StartedAt <= known.startedAt {
			continue
		}
		if known.startedAt > 0 {
			*known = contact{departed: known.departed, departedAt: known.departedAt, restarted: true}
		}
		known.startedAt = upstream.StartedAt
	}
}

// hasProcessEnded reports whether the upstream's process is known to be gone.
func (keeper *Keeper) hasProcessEnded(id, address string, now cherrykeel.Instant) bool {
	if !keeper.environment.IsReplaced(id, address) {
		return false
	}
	keeper.ledger.RecordProcessEnd(id)
	keeper.contact(id).recordProcessEnd(now)
	return true
}
