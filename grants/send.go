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

// grantResult is the result of a grant, with its wait for a worker and the time from its decision to its end.
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
	// The lease and the call's timeout count from here, both for the ledger and for the call. If the call's timeout
	// counted from when a worker started it, up to half a second later, the upstream could hold keys for that long
	// after they were transferred.
	until := spans.LatestLeaseEnd(now.Add(maxArrivalDelay), grant.LeaseDuration)
	call := keeper.ledger.RecordSent(key, until)
	keeper.contact(key.Owner).recordLease(state.upstream.Address, until)
	term := keeper.term
	keeper.workers.grants.Submit(func() {
		result := keeper.attemptGrant(ctx, state, grant, now)
		keeper.meter.countOrder(orderGrant, result.err, result.waited)
		keeper.results <- func(now cherrykeel.Instant) {
			state.pending = false
			if keeper.term != term {
				return
			}
			if isConcluded(result.err) {
				keeper.ledger.RecordAnswer(call)
			}
			keeper.handleGrantResult(key, state, grant, result, now)
		}
	})
}

// attemptGrant sends a grant that was decided on at the given time, unless it was withdrawn or has waited too long.
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

// handleGrantResult records the result of a grant.
func (keeper *Keeper) handleGrantResult(key spans.GrantedSpan, state *grantState, grant cherrykeel.SpanGrant, result grantResult, now cherrykeel.Instant) {
	fields := []zap.Field{
		zap.String("Service", key.Service), zap.String("Upstream", key.Owner),
		zap.Int("First", key.Span.First), zap.Int("Last", key.Span.Last), zap.Int64("Fence", key.Fence),
	}
	err := result.err
	state.overdue = false
	switch {
	case err == nil:
		keeper.recordGrantAccepted(key, state, grant, fields, now)
	case errors.Is(err, errWithdrawn):
	case errors.Is(err, cherrykeel.ErrFenced) && state.withdrawn.Load():
		// The refusal may be due to the fence of this keeper's own release, or of a grant of a larger span that
		// includes this one. If it is due to another keeper's fence, the next grant is refused as well.
	case errors.Is(err, cherrykeel.ErrFenced):
		keeper.needsTick = true
		state.refused = true
		events.Log(keeper.logger, events.GrantRefused, fields...)
	case errors.Is(err, cherrykeel.ErrUpstreamReplaced):
		keeper.needsTick = true
		keeper.recordReplaced(state.upstream, now)
	default:
		keeper.recordNoAnswer(key.Owner, state, result, fields, now)
	}
}

// recordGrantAccepted records that an upstream has accepted a grant.
func (keeper *Keeper) recordGrantAccepted(key spans.GrantedSpan, state *grantState, grant cherrykeel.SpanGrant, fields []zap.Field, now cherrykeel.Instant) {
	until := spans.LatestLeaseEnd(now, grant.LeaseDuration)
	keeper.ledger.RecordLease(key, until)
	keeper.acceptedAt = now
	contact := keeper.contact(key.Owner)
	contact.recordLease(state.upstream.Address, until)
	contact.recordAnswer()
	if !state.accepted {
		keeper.markAccepted(state, now)
		events.Log(keeper.logger, events.SpanGranted, append(fields, zap.Bool("Handover", grant.Handover != ""), zap.Duration("Hold", grant.LeaseDuration))...)
	}
	state.handover = ""
}

// recordNoAnswer records that a grant was not answered. That is no evidence against the upstream if the grant had too
// little time, was meant for an earlier incarnation, or was under way when this host's link to the upstream was lost. Nor
// is it if no host that was asked for a connection could tell about the upstream: it would get no grant for seconds though
// another host is found that reaches it.
func (keeper *Keeper) recordNoAnswer(owner string, state *grantState, result grantResult, fields []zap.Field, now cherrykeel.Instant) {
	contact := keeper.contact(owner)
	fields = append(fields, zap.Duration("Waited", result.waited), zap.Error(result.err))
	switch {
	case result.isOverdue():
		state.overdue = true
		events.Log(keeper.logger, events.GrantOverdue, fields...)
	case contact.startedAt > state.upstream.StartedAt:
	case keeper.environment.IsLinkUncertain(state.upstream.Address) || keeper.lostLinkDuring(state.upstream.Address, result):
		state.overdue = true
		events.Log(keeper.logger, events.GrantOverdue, fields...)
	default:
		contact.recordMiss(now)
		contact.recordDeparture(now)
		if contact.misses <= unavailableAfter || contact.unavailableUntil == now.Add(unavailableFor) {
			events.Log(keeper.logger, events.GrantUnanswered, append(fields, zap.Int("Misses", contact.misses), zap.Bool("Lost", contact.isUnresponsive(now)))...)
		}
	}
}

// lostLinkDuring reports whether the link to an address was lost while a grant was under way: the upstream answers other
// hosts, so its silence was that of the link.
func (keeper *Keeper) lostLinkDuring(address string, result grantResult) bool {
	lostFor := keeper.environment.LinkLostFor(address)
	return lostFor > 0 && lostFor <= result.took
}

// isOverdue reports whether a grant had too little time for a running upstream to answer: it waited for a worker, or
// the machine was suspended before it could be sent.
func (result grantResult) isOverdue() bool {
	suspended := errors.Is(result.err, cherrykeel.ErrNotSent) && result.took > maxGrantTime
	return result.waited > maxFairWait || suspended
}

// isConcluded reports whether it is certain that a grant has already been carried out or never will be.
func isConcluded(err error) bool {
	return err == nil || errors.Is(err, cherrykeel.ErrFenced) || errors.Is(err, cherrykeel.ErrNotSent)
}
