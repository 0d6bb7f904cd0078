package grants

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/spans"
)

const (
	// calmHold is the hold while the store is well: a dead upstream's keys are free after it at the
	// latest, and it outlives four lost renewals.
	calmHold   = 2500 * time.Millisecond
	renewEvery = 600 * time.Millisecond
	// retryGrant is the pace of tries while grants go unanswered.
	retryGrant = 200 * time.Millisecond
	// calmStore is how long the store has to be well for holds to be short again.
	calmStore = time.Second
	// releaseTimeout bounds the wait for work that runs on a span that is taken; it is above the hold, so
	// that waiting longer gains nothing.
	releaseTimeout = 2600 * time.Millisecond
	// lostAfter is how many grants in a row go unanswered before an upstream counts as lost.
	lostAfter = 2
	// lostFor is how long a lost upstream gets no grants, so that its hold ends and its keys become free:
	// a grant without an answer may have been taken and starts the hold anew. Then it is tried again.
	lostFor = 5 * time.Second
)

type grantKey struct {
	service string
	owner   string
	span    cherrykeel.KeySpan
	fence   int64
}

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
}

// contact is what is known of an upstream's answers to grants.
type contact struct {
	// answers says that it has answered the last grant.
	answers   bool
	misses    int
	lostUntil cherrykeel.Instant
	// probing says that it is being asked whether it leaves; leaving is what it said last.
	probing  bool
	probed   bool
	probedAt cherrykeel.Instant
	leaving  bool
	// departed says that it is granted nothing any more in this term, as this host has known since departedAt.
	departed   bool
	departedAt cherrykeel.Instant
}

func (keeper *Keeper) contact(id string) *contact {
	known, exists := keeper.contacts[id]
	if !exists {
		known = &contact{}
		keeper.contacts[id] = known
	}
	return known
}

// hold is longer while the store is away: should this keeper die then, nobody can take over before the
// store is back, and the owners go on until then. An owner that leaves is soon gone whoever keeps, and one
// that does not answer may be gone: a long hold would only keep its keys from others.
func (keeper *Keeper) hold(owner string) time.Duration {
	contact := keeper.contact(owner)
	if keeper.world.StoreWell() >= calmStore || contact.leaving || !contact.answers {
		return min(calmHold, keeper.bounds().MaxHold)
	}
	return keeper.bounds().MaxHold
}

// renew grants each span of the table to its owner, again before its hold ends.
func (keeper *Keeper) renew(ctx context.Context, table spans.Table, now cherrykeel.Instant) {
	wanted := map[grantKey]bool{}
	for service, list := range table.Services {
		for _, owned := range list {
			if owned.Owner == "" || owned.Moving {
				continue
			}
			key := grantKey{service: service, owner: owned.Owner, span: owned.Span(), fence: owned.Fence}
			wanted[key] = true
			keeper.renewOne(ctx, key, owned, now)
		}
	}
	for key, state := range keeper.grants {
		if !wanted[key] && !state.pending {
			delete(keeper.grants, key)
		}
	}
}

func (keeper *Keeper) renewOne(ctx context.Context, key grantKey, owned spans.Owned, now cherrykeel.Instant) {
	state, exists := keeper.grants[key]
	if !exists {
		state = keeper.newGrant(key, owned)
	}
	pace := renewEvery
	if state.sent && !state.taken {
		pace = retryGrant
	}
	if state.pending || state.refused || state.sent && now.Sub(state.sentAt) < pace || keeper.lost(key.owner, now) {
		return
	}
	if keeper.ledger.FreeAt(key.service, key.owner, key.span) > now || keeper.ended(key.owner, owned.Address) {
		return
	}
	keeper.send(ctx, key, state, now)
}

// newGrant notes a grant that is to be sent.
func (keeper *Keeper) newGrant(key grantKey, owned spans.Owned) *grantState {
	state := &grantState{upstream: cherrykeel.Upstream{ID: owned.Owner, Address: owned.Address}, handover: keeper.handover(key)}
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

// ended reports whether the upstream's process is known to be gone.
func (keeper *Keeper) ended(id, address string) bool {
	if !keeper.world.Replaced(id, address) {
		return false
	}
	keeper.ledger.Ended(id)
	return true
}

func (keeper *Keeper) send(ctx context.Context, key grantKey, state *grantState, now cherrykeel.Instant) {
	grant := cherrykeel.SpanGrant{Span: key.span, Fence: key.fence, Hold: keeper.hold(key.owner), Handover: state.handover}
	state.pending = true
	state.sent = true
	state.sentAt = now
	call := keeper.ledger.Sent(key.service, key.owner, key.span, spans.End(now.Add(callTimeout), grant.Hold))
	term := keeper.term
	keeper.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var err error
		if keeper.clock.Now().Sub(now) > evidenceAge/2 {
			// The process stood still since the evidence was looked at.
			err = errors.Wrap(cherrykeel.ErrNoAnswer, "not sent: the evidence has aged")
		} else {
			err = keeper.granter.Grant(ctx, state.upstream, grant)
		}
		keeper.results <- func(now cherrykeel.Instant) {
			state.pending = false
			if keeper.term != term {
				return
			}
			if err == nil || errors.Is(err, cherrykeel.ErrFenced) {
				keeper.ledger.Answered(call)
			}
			keeper.granted(key, state, grant, err, now)
		}
	})
}

func (keeper *Keeper) granted(key grantKey, state *grantState, grant cherrykeel.SpanGrant, err error, now cherrykeel.Instant) {
	fields := []zap.Field{
		zap.String("Service", key.service), zap.String("Upstream", key.owner),
		zap.Int("First", key.span.First), zap.Int("Last", key.span.Last), zap.Int64("Fence", key.fence),
	}
	contact := keeper.contact(key.owner)
	switch {
	case err == nil:
		keeper.ledger.Holds(key.service, key.owner, key.span, spans.End(now, grant.Hold))
		contact.misses = 0
		contact.answers = true
		if !state.taken {
			keeper.noteTaken(state, now)
			events.Log(keeper.logger, events.SpanGiven, append(fields, zap.Bool("Handover", grant.Handover != ""), zap.Duration("Hold", grant.Hold))...)
		}
		state.handover = ""
	case errors.Is(err, cherrykeel.ErrFenced):
		state.refused = true
		events.Log(keeper.logger, events.GrantRefused, fields...)
	case errors.Is(err, cherrykeel.ErrEnded):
		keeper.ledger.Ended(key.owner)
		keeper.world.Ended(key.owner)
	default:
		contact.misses++
		contact.answers = false
		if contact.misses >= lostAfter {
			contact.lostUntil = now.Add(lostFor)
		}
		contact.depart(now)
		if contact.misses <= lostAfter {
			events.Log(keeper.logger, events.GrantOpen, append(fields, zap.Int("Misses", contact.misses), zap.Error(err))...)
		}
	}
}
