package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"cherrykeel"
	"cherrykeel/flow"
)

const (
	// maxMisdirected bounds the sends of one request that ended at an upstream without the key.
	maxMisdirected = 3
	// misdirectedPause is about what a move's last step takes: the record, then the grant. Each further pause is
	// misdirectedGrowth times as long: a new owner that has not got its grant in 15 ms seldom has it 2 ms later, and
	// three sends within 34 ms used up what the retry budget allows.
	misdirectedPause  = 15 * time.Millisecond
	misdirectedGrowth = 4
	// budgetPace is how often a request that has not run, and that the budget cannot pay for yet, asks again.
	budgetRetryInterval = 50 * time.Millisecond
	// pauseShare is the part of the time that is left which a request waits at most before it is sent once more.
	maxPauseShare = 0.25
	// leastOwnerPause is waited at least before the only upstream that may serve a request is asked once more.
	minOwnerPause = 50 * time.Millisecond
)

// again decides whether the request may be sent once more; if so the budget has paid.
func (exchange *exchange) canRetry(ctx context.Context, result result, now cherrykeel.Instant) bool {
	if now >= exchange.deadline {
		return false
	}
	if result.outcome == outcomeUnknown && !exchange.route.Repeatable {
		return false
	}
	if result.unanswered && exchange.denyRequest.Suspected() {
		return false
	}
	if result.misdirected && exchange.dispatcher.keyed {
		return exchange.canRetryMisdirected(ctx)
	}
	if result.outcome == notSent {
		// Nothing arrived anywhere, so neither the budget nor the count of upstreams is touched.
		exchange.attempts--
		return true
	}
	if exchange.attempts >= exchange.route.MaxAttempts || !exchange.dispatcher.trySpendRetry(exchange.relay.HostCount(), now) {
		return false
	}
	return !exchange.needsOwner() || sleep(ctx, exchange.ownerPause(now))
}

// lostWithKey reports whether an upstream has failed a request since its key was moved meanwhile: work that outlasts
// the hold of its key is ended. What may run twice runs at the new owner then, if attempts and budget allow it; else
// the caller gets the upstream's own answer.
func (exchange *exchange) canRetryAtNewOwner(result result, now cherrykeel.Instant) bool {
	if result.status != http.StatusInternalServerError || !exchange.route.Repeatable || !exchange.needsOwner() {
		return false
	}
	owner := exchange.relay.Owner(exchange.dispatcher.name, exchange.headers.Key)
	transferred := owner.ID != exchange.inputs.Owner || owner.InTransfer
	return transferred && exchange.attempts < exchange.route.MaxAttempts && now < exchange.deadline && exchange.dispatcher.trySpendRetry(exchange.relay.HostCount(), now)
}

// keptAnswer is an answer that the caller gets if nothing better comes.
type fallbackAnswer struct {
	slot   *flow.Slot
	result result
}

// instead passes on the upstream's answer that is kept, if there is one, in place of a failure of the router's own.
func (exchange *exchange) preferFallback(failure *cherrykeel.Failure) *cherrykeel.Failure {
	if exchange.fallback == nil || failure.Status == statusCallerGone {
		return failure
	}
	exchange.writeAnswer(exchange.fallback.slot, exchange.fallback.result)
	return nil
}

// hasOwner reports whether one upstream alone may serve the request.
func (exchange *exchange) needsOwner() bool {
	return exchange.dispatcher.keyed && exchange.headers.Key != cherrykeel.NoKey
}

// ownerPause is about the time in which an owner that has rejected a request gets a place free: sent again a
// millisecond later, the request met the same full queue, and had no third try.
func (exchange *exchange) ownerPause(now cherrykeel.Instant) time.Duration {
	maxPause := time.Duration(maxPauseShare * float64(exchange.deadline.Sub(now)))
	pause := time.Duration((0.5 + 0.5*rand.Float64()) * float64(exchange.inputs.ProcessingTime))
	return min(max(minOwnerPause, pause), maxPause)
}

// againElsewhere waits for the key's new owner, and for the budget to pay: the request has surely not run, so there
// is time while its caller waits.
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
	return sleep(ctx, pause) && exchange.awaitBudget(ctx)
}

// awaitBudget waits until the budget pays for one more send, for a part of the time that is left.
func (exchange *exchange) awaitBudget(ctx context.Context) bool {
	now := exchange.relay.clock.Now()
	until := now.Add(time.Duration(maxPauseShare * float64(exchange.deadline.Sub(now))))
	for !exchange.dispatcher.trySpendRetry(exchange.relay.HostCount(), now) {
		if now >= until || !sleep(ctx, budgetRetryInterval) {
			return false
		}
		now = exchange.relay.clock.Now()
	}
	return now < exchange.deadline
}

// sleep reports false if the context ended first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
