package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/flow"
)

const (
	// maxMisdirected bounds the sends of one request to upstreams that no longer own its key.
	maxMisdirected = 3
	// misdirectedPause is about the time between the record and the grant of a key's transfer. Each further pause is
	// misdirectedGrowth times as long: a new owner that has no grant after 15 ms seldom has it 2 ms later, and three
	// sends within 34 ms used up the retry budget.
	misdirectedPause  = 15 * time.Millisecond
	misdirectedGrowth = 4
	// budgetRetryInterval is how often a request that has not run checks whether the budget allows one more send.
	budgetRetryInterval = 50 * time.Millisecond
	// maxPauseShare bounds a wait before another send, as a share of the time until the request's deadline.
	maxPauseShare = 0.25
	// minOwnerPause is the shortest pause before a request is sent again to the only upstream that may serve it.
	minOwnerPause = 50 * time.Millisecond
)

// canRetry decides whether the request may be sent again, and waits before that if it must. True means that the retry
// budget has been charged if the send needs it.
func (exchange *exchange) canRetry(ctx context.Context, result result, now cherrykeel.Instant) bool {
	if now >= exchange.deadline || exchange.outlastsHost() {
		return false
	}
	if result.outcome == outcomeUnknown && !exchange.route.Repeatable {
		return false
	}
	if result.unanswered && exchange.denyRequest.IsSuspected() {
		return false
	}
	if result.misdirected && exchange.dispatcher.keyed {
		return exchange.canRetryMisdirected(ctx)
	}
	if result.outcome == notSent {
		// Nothing reached an upstream, so the send counts neither against the budget nor as an attempt, and the upstream
		// may get the request later.
		exchange.attempts--
		exchange.tried = exchange.tried[:len(exchange.tried)-1]
		return true
	}
	if exchange.attempts >= exchange.route.MaxAttempts || exchange.isRestTooLong(now) {
		return false
	}
	if !exchange.trySpendRetry(now) {
		return false
	}
	return !exchange.needsOwner() || exchange.sleep(ctx, exchange.ownerPause(now))
}

// canRetryAtNewOwner reports whether an upstream failed the request since the request's key was transferred meanwhile:
// work that outlasts the upstream's lease of the key is ended with status 500. If the request is repeatable, and
// attempts and budget allow it, it runs again at the new owner; else the caller gets the upstream's own answer. True
// means that the retry budget has been charged.
func (exchange *exchange) canRetryAtNewOwner(result result, now cherrykeel.Instant) bool {
	if result.status != http.StatusInternalServerError || !exchange.route.Repeatable || !exchange.needsOwner() || exchange.outlastsHost() {
		return false
	}
	owner := exchange.relay.Owner(exchange.dispatcher.name, exchange.headers.Key)
	transferred := owner.ID != exchange.inputs.Owner || owner.InTransfer
	if !transferred || exchange.attempts >= exchange.route.MaxAttempts || now >= exchange.deadline || exchange.isRestTooLong(now) {
		return false
	}
	return exchange.trySpendRetry(now)
}

// fallbackAnswer is an upstream's failure that the caller gets if no better answer comes.
type fallbackAnswer struct {
	slot   *flow.Slot
	result result
}

// preferFallback writes the fallback answer, if there is one, in place of a failure of the router's own, which it
// returns otherwise.
func (exchange *exchange) preferFallback(failure *cherrykeel.Failure) *cherrykeel.Failure {
	if exchange.fallback == nil || failure.Status == statusCallerGone {
		return failure
	}
	exchange.writeAnswer(exchange.fallback.slot, exchange.fallback.result)
	return nil
}

// needsOwner reports whether only the owner of the request's key may serve it.
func (exchange *exchange) needsOwner() bool {
	return exchange.dispatcher.keyed && exchange.headers.Key != cherrykeel.NoKey
}

// ownerPause returns about the time after which an owner that has rejected a request has a free slot. Sent again a
// millisecond later, a request met the same full queue and had no third attempt.
func (exchange *exchange) ownerPause(now cherrykeel.Instant) time.Duration {
	maxPause := time.Duration(maxPauseShare * float64(exchange.deadline.Sub(now)))
	pause := time.Duration((0.5 + 0.5*rand.Float64()) * float64(exchange.inputs.ProcessingTime))
	return min(max(minOwnerPause, pause), maxPause)
}

// canRetryMisdirected waits for the key's new owner and for the budget. The request has certainly not run, so there is
// time until its deadline.
func (exchange *exchange) canRetryMisdirected(ctx context.Context) bool {
	exchange.attempts--
	exchange.misdirected++
	exchange.tried = nil
	exchange.relay.OnMisdirected()
	if exchange.misdirected > maxMisdirected {
		return false
	}
	pause := misdirectedPause
	for range exchange.misdirected - 1 {
		pause *= misdirectedGrowth
	}
	return exchange.sleep(ctx, pause) && !exchange.isRestTooLong(exchange.relay.clock.Now()) && exchange.awaitBudget(ctx)
}

// awaitBudget waits until the budget allows one more send, for a share of the time until the deadline; it reports
// whether it did.
func (exchange *exchange) awaitBudget(ctx context.Context) bool {
	now := exchange.relay.clock.Now()
	until := now.Add(time.Duration(maxPauseShare * float64(exchange.deadline.Sub(now))))
	for !exchange.dispatcher.trySpendRetry(exchange.relay.HostCount(), now) {
		if now >= until || !exchange.sleep(ctx, budgetRetryInterval) {
			exchange.recordRetry(false, now)
			return false
		}
		now = exchange.relay.clock.Now()
	}
	exchange.recordRetry(true, now)
	return now < exchange.deadline
}

// trySpendRetry charges one retry to the budget if it allows it, and reports whether it does.
func (exchange *exchange) trySpendRetry(now cherrykeel.Instant) bool {
	granted := exchange.dispatcher.trySpendRetry(exchange.relay.HostCount(), now)
	exchange.recordRetry(granted, now)
	return granted
}

// recordRetry counts a retry that the budget has granted or declined. The first that is declined in a window is logged.
func (exchange *exchange) recordRetry(granted bool, now cherrykeel.Instant) {
	relay, dispatcher := exchange.relay, exchange.dispatcher
	relay.meter.recordRetry(dispatcher.name, granted)
	if granted || !dispatcher.startsDeclining(now) {
		return
	}
	usage := dispatcher.retryUsage(now)
	events.Log(relay.Logger, events.RetryBudgetSpent,
		zap.String("Service", dispatcher.name), zap.String("Request", exchange.headers.ID), zap.Float64("Requests", usage.requests),
		zap.Float64("Retries", usage.retries), zap.Float64("Balance", usage.balance), zap.Int("Hosts", usage.hosts))
}
