package grants

import (
	"context"
	"sync/atomic"
	"time"

	"cherrykeel"
	"cherrykeel/spans"
)

const (
	// calmHold is the shortest hold: the keys of a dead upstream whose work is short are free after it, and it
	// outlives four lost renewals.
	calmHold   = 2500 * time.Millisecond
	renewEvery = 600 * time.Millisecond
	// retryGrant is the pace of tries while grants go unanswered.
	retryGrant = 200 * time.Millisecond
	// lostAfter is how many grants in a row go unanswered before an upstream counts as lost. Those within
	// lostWithin of the first say no more than that one: upstreams that had reset the connections of two spans'
	// grants in one moment, and lived, lost their keys for 5 s.
	lostAfter  = 2
	lostWithin = 150 * time.Millisecond
	// lostFor is how long a lost upstream gets no grants, so that its hold ends and its keys become free:
	// a grant without an answer may have been taken and starts the hold anew. Then it is tried again.
	lostFor = 5 * time.Second
)

type grantState struct {
	upstream cherrykeel.Upstream
	handover string
	sentAt   cherrykeel.Instant
	sent     bool
	taken    bool
	takenAt  cherrykeel.Instant
	// cut says that the span is the rest of a larger one, and takenAt that one's.
	cut     bool
	pending bool
	refused bool
	// overdue says that the last one went unanswered for want of time on this host.
	overdue bool
	// withdrawn grants are not to be sent any more; workers read it.
	withdrawn atomic.Bool
}

// contact is what is known of an upstream's answers to grants.
type contact struct {
	// answers says that it has answered the last grant.
	answers bool
	misses  int
	// missedAt is when the first of the misses in a row came.
	missedAt  cherrykeel.Instant
	lostUntil cherrykeel.Instant
	// probing says that it is being asked whether it leaves; leaving is what it said last.
	probing  bool
	probed   bool
	probedAt cherrykeel.Instant
	leaving  bool
	// departed says that it is granted nothing any more in this term, as this host has known since departedAt.
	departed   bool
	departedAt cherrykeel.Instant
	// ended says that its process is known to be gone, since endedAt.
	ended   bool
	endedAt cherrykeel.Instant
	// heldUntil is the latest end of all that it was granted in this term.
	heldUntil cherrykeel.Instant
	// born is when its present life began, if it says so, and reborn that there was another before in this term.
	born   int64
	reborn bool
}

func (keeper *Keeper) contact(id string) *contact {
	known, exists := keeper.contacts[id]
	if !exists {
		known = &contact{}
		keeper.contacts[id] = known
	}
	return known
}

// answered notes that the upstream has answered a grant.
func (contact *contact) answered() {
	contact.misses = 0
	contact.answers = true
}

// holds notes that the upstream may hold keys until a time.
func (contact *contact) holds(until cherrykeel.Instant) {
	contact.heldUntil = max(contact.heldUntil, until)
}

// end notes that the upstream's process is gone.
func (contact *contact) end(now cherrykeel.Instant) {
	if contact.ended {
		return
	}
	contact.ended = true
	contact.endedAt = now
}

// missed notes that a grant went unanswered, which may make the upstream count as lost.
func (contact *contact) missed(now cherrykeel.Instant) {
	if contact.misses == 0 {
		contact.missedAt = now
	}
	contact.misses++
	contact.answers = false
	if contact.silent(now) {
		contact.lostUntil = now.Add(lostFor)
	}
}

// silent reports whether enough grants went unanswered, for long enough.
func (contact *contact) silent(now cherrykeel.Instant) bool {
	return contact.misses >= lostAfter && now.Sub(contact.missedAt) >= lostWithin
}

// renew grants each span of the table to its owner, again before its hold ends.
func (keeper *Keeper) renew(ctx context.Context, table spans.Table, now cherrykeel.Instant) {
	wanted := map[spans.GrantedSpan]bool{}
	for service, list := range table.Services {
		for _, owned := range list {
			if owned.Owner == "" || owned.InTransfer {
				continue
			}
			key := spans.GrantedSpan{Service: service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence}
			wanted[key] = true
			keeper.renewOne(ctx, key, owned, now)
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

func (keeper *Keeper) renewOne(ctx context.Context, key spans.GrantedSpan, owned spans.Owned, now cherrykeel.Instant) {
	state, exists := keeper.grants[key]
	if !exists || state.withdrawn.Load() && !state.pending {
		state = keeper.newGrant(key, owned)
	}
	contact := keeper.contact(key.Owner)
	pace := renewEvery
	if state.sent && !state.taken || state.overdue || contact.misses > 0 {
		pace = retryGrant
	}
	if state.pending || state.refused || state.sent && now.Sub(state.sentAt) < pace || keeper.lost(key.Owner, now) {
		return
	}
	if keeper.transferred(key) || keeper.ledger.FreeAt(key.Service, key.Owner, key.Span) > now || keeper.ended(key.Owner, owned.Address, now) {
		return
	}
	keeper.send(ctx, key, state, now)
}

// newGrant notes a grant that is to be sent.
func (keeper *Keeper) newGrant(key spans.GrantedSpan, owned spans.Owned) *grantState {
	state := &grantState{upstream: cherrykeel.Upstream{ID: owned.Owner, Address: owned.Address, StartedAt: owned.StartedAt}, handover: keeper.handover(key)}
	whole, cut := keeper.covering(key)
	if cut {
		state.cut = true
		state.takenAt = whole.takenAt
	}
	keeper.grants[key] = state
	return state
}

func (keeper *Keeper) noteTaken(state *grantState, now cherrykeel.Instant) {
	state.taken = true
	if !state.cut {
		state.takenAt = now
	}
}

// noteEnded takes it that a life of an upstream has ended, unless the next one is known: that may hold keys.
func (keeper *Keeper) noteEnded(upstream cherrykeel.Upstream, now cherrykeel.Instant) {
	if keeper.contact(upstream.ID).born > upstream.StartedAt {
		return
	}
	keeper.ledger.RecordProcessEnd(upstream.ID)
	keeper.contact(upstream.ID).end(now)
	keeper.world.NotifyEnded(upstream.ID)
}

// greet notes the upstreams' lives. What was learned of an earlier life, that it does not answer or leaves, is not
// said of the next one; what the earlier one may hold stays in the ledger, under the same ID.
func (keeper *Keeper) greet() {
	for _, upstream := range keeper.world.Upstreams() {
		known := keeper.contact(upstream.ID)
		if upstream.StartedAt <= known.born {
			continue
		}
		if known.born > 0 {
			*known = contact{departed: known.departed, departedAt: known.departedAt, reborn: true}
		}
		known.born = upstream.StartedAt
	}
}

// ended reports whether the upstream's process is known to be gone.
func (keeper *Keeper) ended(id, address string, now cherrykeel.Instant) bool {
	if !keeper.world.IsReplaced(id, address) {
		return false
	}
	keeper.ledger.RecordProcessEnd(id)
	keeper.contact(id).end(now)
	return true
}
