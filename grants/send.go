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

// outcome is what came of a grant: how long it waited for a worker, and how long it took from its decision on.
type outcome struct {
	err    error
	waited time.Duration
	took   time.Duration
}

func (keeper *Keeper) send(ctx context.Context, key spans.GrantedSpan, state *grantState, now cherrykeel.Instant) {
	grant := cherrykeel.SpanGrant{
		Span: key.Span, Fence: key.Fence, LeaseDuration: keeper.hold(key.Service, key.Owner, now), Handover: state.handover, SendBy: now.Add(callTimeout),
	}
	state.pending = true
	state.sent = true
	state.sentAt = now
	// The grant's time counts from here, for the ledger and for the call: while the call had its whole time from when a
	// worker took it, up to half a second later, an upstream could hold keys for that long after they were given on.
	until := spans.LatestLeaseEnd(now.Add(arriveWithin), grant.LeaseDuration)
	call := keeper.ledger.RecordSent(key, until)
	keeper.contact(key.Owner).holds(until)
	term := keeper.term
	keeper.workers.grants.Submit(func() {
		outcome := keeper.carryOut(ctx, state, grant, now)
		keeper.meter.ordered(orderGrant, outcome.err, outcome.waited)
		keeper.results <- func(now cherrykeel.Instant) {
			state.pending = false
			if keeper.term != term {
				return
			}
			if concluded(outcome.err) {
				keeper.ledger.RecordAnswer(call)
			}
			keeper.granted(key, state, grant, outcome, now)
		}
	})
}

// carryOut sends a grant that was decided on at a time, if it is still wanted and has time left.
func (keeper *Keeper) carryOut(ctx context.Context, state *grantState, grant cherrykeel.SpanGrant, decided cherrykeel.Instant) outcome {
	waited := keeper.clock.Now().Sub(decided)
	if state.withdrawn.Load() {
		return outcome{err: errors.WithStack(errWithdrawn), waited: waited, took: waited}
	}
	if waited > longestWait {
		return outcome{err: errors.WithStack(errOverdue), waited: waited, took: waited}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout-waited)
	defer cancel()
	err := keeper.granter.Grant(ctx, state.upstream, grant)
	return outcome{err: err, waited: waited, took: keeper.clock.Now().Sub(decided)}
}

// granted notes what came of a grant.
func (keeper *Keeper) granted(key spans.GrantedSpan, state *grantState, grant cherrykeel.SpanGrant, outcome outcome, now cherrykeel.Instant) {
	fields := []zap.Field{
		zap.String("Service", key.Service), zap.String("Upstream", key.Owner),
		zap.Int("First", key.Span.First), zap.Int("Last", key.Span.Last), zap.Int64("Fence", key.Fence),
	}
	err := outcome.err
	state.overdue = false
	switch {
	case err == nil:
		keeper.answered(key, state, grant, fields, now)
	case errors.Is(err, errWithdrawn):
	case errors.Is(err, cherrykeel.ErrFenced) && state.withdrawn.Load():
		// The fence may be that of this keeper's own release, or of a grant that joins the span with others; another
		// keeper's is met again by the next grant.
	case errors.Is(err, cherrykeel.ErrFenced):
		keeper.urgent = true
		state.refused = true
		events.Log(keeper.logger, events.GrantRefused, fields...)
	case errors.Is(err, cherrykeel.ErrUpstreamReplaced):
		keeper.urgent = true
		keeper.noteEnded(state.upstream, now)
	default:
		keeper.unanswered(key.Owner, state, outcome, fields, now)
	}
}

// answered notes that an upstream has taken a grant.
func (keeper *Keeper) answered(key spans.GrantedSpan, state *grantState, grant cherrykeel.SpanGrant, fields []zap.Field, now cherrykeel.Instant) {
	until := spans.LatestLeaseEnd(now, grant.LeaseDuration)
	keeper.ledger.RecordLease(key, until)
	contact := keeper.contact(key.Owner)
	contact.holds(until)
	contact.answered()
	if !state.taken {
		keeper.noteTaken(state, now)
		events.Log(keeper.logger, events.SpanGranted, append(fields, zap.Bool("Handover", grant.Handover != ""), zap.Duration("Hold", grant.LeaseDuration))...)
	}
	state.handover = ""
}

// unanswered notes that a grant brought no answer. That says nothing of the upstream if the grant had too little time,
// or was meant for an earlier life of it.
func (keeper *Keeper) unanswered(owner string, state *grantState, outcome outcome, fields []zap.Field, now cherrykeel.Instant) {
	contact := keeper.contact(owner)
	fields = append(fields, zap.Duration("Waited", outcome.waited), zap.Error(outcome.err))
	switch {
	case outcome.overdue():
		state.overdue = true
		events.Log(keeper.logger, events.GrantOverdue, fields...)
	case contact.born > state.upstream.StartedAt:
	default:
		contact.missed(now)
		contact.depart(now)
		if contact.misses <= lostAfter || contact.lostUntil == now.Add(lostFor) {
			events.Log(keeper.logger, events.GrantUnanswered, append(fields, zap.Int("Misses", contact.misses), zap.Bool("Lost", contact.silent(now)))...)
		}
	}
}

// overdue reports whether a grant had too little time for an upstream that lives to answer: it waited for a worker, or
// the machine was suspended before it could be sent.
func (outcome outcome) overdue() bool {
	suspended := errors.Is(outcome.err, cherrykeel.ErrNotSent) && outcome.took > longestTake
	return outcome.waited > fairWait || suspended
}

// concluded reports whether a grant has been carried out or never will be.
func concluded(err error) bool {
	return err == nil || errors.Is(err, cherrykeel.ErrFenced) || errors.Is(err, cherrykeel.ErrNotSent)
}
