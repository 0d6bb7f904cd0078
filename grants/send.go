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

// grantResult is what came of a grant: how long it waited for a worker, and how long it took from its decision on.
type grantResult struct {
	err    error
	waited time.Duration
	took   time.Duration
}

func (keeper *Keeper) sendGrant(ctx context.Context, key spans.GrantedSpan, state *grantState, now cherrykeel.Instant) {
	grant := cherrykeel.SpanGrant{
		Span: key.Span, Fence: key.Fence, LeaseDuration: keeper.leaseFor(key.Service, key.Owner, now), Handover: state.handover, SendBy: now.Add(callTimeout),
	}
	state.pending = true
	state.sent = true
	state.sentAt = now
	// The grant's time counts from here, for the ledger and for the call: while the call had its whole time from when a
	// worker took it, up to half a second later, an upstream could hold keys for that long after they were given on.
	until := spans.LatestLeaseEnd(now.Add(maxArrivalDelay), grant.LeaseDuration)
	call := keeper.ledger.RecordSent(key, until)
	keeper.contact(key.Owner).recordLease(until)
	term := keeper.term
	keeper.workers.grants.Submit(func() {
		outcome := keeper.attemptGrant(ctx, state, grant, now)
		keeper.meter.countOrder(orderGrant, outcome.err, outcome.waited)
		keeper.results <- func(now cherrykeel.Instant) {
			state.pending = false
			if keeper.term != term {
				return
			}
			if isConcluded(outcome.err) {
				keeper.ledger.RecordAnswer(call)
			}
			keeper.handleGrantResult(key, state, grant, outcome, now)
		}
	})
}

// attemptGrant sends a grant that was decided on at a time, if it is still wanted and has time left.
func (keeper *Keeper) attemptGrant(ctx context.Context, state *grantState, grant cherrykeel.SpanGrant, decided cherrykeel.Instant) grantResult {
	waited := keeper.clock.Now().Sub(decided)
	if state.withdrawn.Load() {
		return grantResult{err: errors.WithStack(errWithdrawn), waited: waited, took: waited}
	}
	if waited > maxWorkerWait {
		return grantResult{err: errors.WithStack(errOverdue), waited: waited, took: waited}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout-waited)
	defer cancel()
	err := keeper.granter.Grant(ctx, state.upstream, grant)
	return grantResult{err: err, waited: waited, took: keeper.clock.Now().Sub(decided)}
}

// handleGrantResult notes what came of a grant.
func (keeper *Keeper) handleGrantResult(key spans.GrantedSpan, state *grantState, grant cherrykeel.SpanGrant, outcome grantResult, now cherrykeel.Instant) {
	fields := []zap.Field{
		zap.String("Service", key.Service), zap.String("Upstream", key.Owner),
		zap.Int("First", key.Span.First), zap.Int("Last", key.Span.Last), zap.Int64("Fence", key.Fence),
	}
	err := outcome.err
	state.overdue = false
	switch {
	case err == nil:
		keeper.recordGrantAccepted(key, state, grant, fields, now)
	case errors.Is(err, errWithdrawn):
	case errors.Is(err, cherrykeel.ErrFenced) && state.withdrawn.Load():
		// The fence may be that of this keeper's own release, or of a grant that joins the span with others; another
		// keeper's is met again by the next grant.
	case errors.Is(err, cherrykeel.ErrFenced):
		keeper.needsTick = true
		state.refused = true
		events.Log(keeper.logger, events.GrantRefused, fields...)
	case errors.Is(err, cherrykeel.ErrUpstreamReplaced):
		keeper.needsTick = true
		keeper.recordIncarnationEnd(state.upstream, now)
	default:
		keeper.recordNoAnswer(key.Owner, state, outcome, fields, now)
	}
}

// recordGrantAccepted notes that an upstream has taken a grant.
func (keeper *Keeper) recordGrantAccepted(key spans.GrantedSpan, state *grantState, grant cherrykeel.SpanGrant, fields []zap.Field, now cherrykeel.Instant) {
	until := spans.LatestLeaseEnd(now, grant.LeaseDuration)
	keeper.ledger.RecordLease(key, until)
	contact := keeper.contact(key.Owner)
	contact.recordLease(until)
	contact.recordAnswer()
	if !state.accepted {
		keeper.markAccepted(state, now)
		events.Log(keeper.logger, events.SpanGiven, append(fields, zap.Bool("Handover", grant.Handover != ""), zap.Duration("Hold", grant.LeaseDuration))...)
	}
	state.handover = ""
}

// recordNoAnswer notes that a grant brought no answer. That says nothing of the upstream if the grant had too little time,
// or was meant for an earlier life of it.
func (keeper *Keeper) recordNoAnswer(owner string, state *grantState, outcome grantResult, fields []zap.Field, now cherrykeel.Instant) {
	contact := keeper.contact(owner)
	fields = append(fields, zap.Duration("Waited", outcome.waited), zap.Error(outcome.err))
	switch {
	case outcome.isOverdue():
		state.overdue = true
		events.Log(keeper.logger, events.GrantOverdue, fields...)
	case contact.startedAt > state.upstream.StartedAt:
	default:
		contact.recordMiss(now)
		contact.recordDeparture(now)
		if contact.misses <= unavailableAfter || contact.unavailableUntil == now.Add(unavailableFor) {
			events.Log(keeper.logger, events.GrantOpen, append(fields, zap.Int("Misses", contact.misses), zap.Bool("Lost", contact.isUnresponsive(now)))...)
		}
	}
}

// isOverdue reports whether a grant had too little time for an upstream that lives to answer: it waited for a worker, or
// the machine was suspended before it could be sent.
func (outcome grantResult) isOverdue() bool {
	suspended := errors.Is(outcome.err, cherrykeel.ErrNotSent) && outcome.took > maxGrantTime
	return outcome.waited > maxFairWait || suspended
}

// isConcluded reports whether a grant has been carried out or never will be.
func isConcluded(err error) bool {
	return err == nil || errors.Is(err, cherrykeel.ErrFenced) || errors.Is(err, cherrykeel.ErrNotSent)
}
