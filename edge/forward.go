package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/admit"
	"cherrykeel/conns"
	"cherrykeel/deny"
	"cherrykeel/events"
	"cherrykeel/lease"
	"cherrykeel/retry"
)

// statusCallerGone is the status for callers that went away. It is only seen in logs.
const statusCallerGone = 499

type forward struct {
	fleet  *Fleet
	sender Sender
	denied *deny.List
	clock  cherrykeel.Clock
	logger *zap.Logger
}

// NewForward returns the stage that sends requests to upstreams and their answers to the callers. It refuses requests
// that the deny list denies.
func NewForward(fleet *Fleet, sender Sender, denied *deny.List, clock cherrykeel.Clock, logger *zap.Logger) cherrykeel.Stage {
	return &forward{fleet: fleet, sender: sender, denied: denied, clock: clock, logger: logger}
}

// Serve implements cherrykeel.Stage.
func (forward *forward) Serve(exchange *cherrykeel.Exchange, _ cherrykeel.Next) *cherrykeel.Failure {
	pool := forward.fleet.pool(exchange.Service.Path)
	if pool == nil {
		return cherrykeel.Refuse(http.StatusNotFound, "unknown-service", "the service has just been removed")
	}
	remaining := exchange.Deadline.Sub(forward.clock.Now())
	ctx, cancel := context.WithTimeout(exchange.Request.Context(), remaining)
	defer cancel()
	pool.recordArrival(exchange)
	tracked := forward.denied.NewRequest(requestParts(exchange))
	mayHaveRun := false
	previous := ""
	for number := 1; ; number++ {
		result, failure := forward.admitAndAttempt(ctx, pool, exchange, tracked, number, previous)
		previous = result.upstreamName
		if failure != nil {
			return retry.FinalFailure(failure, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || result.retryResult.Evidence == retry.Uncertain
		conditions := forward.retryConditions(pool, exchange, number)
		conditions.Suspected = result.unanswered && tracked.IsSuspected()
		decision := retry.Decide(result.retryResult, conditions)
		if decision.Forward {
			return forward.writeAnswer(exchange, result)
		}
		if !decision.Retry {
			return retry.FinalFailure(decision.Failure, mayHaveRun)
		}
		if exchange.Request.Context().Err() != nil {
			return retry.FinalFailure(cherrykeel.Refuse(statusCallerGone, "caller-gone", "the caller went away"), mayHaveRun)
		}
		pool.chargeRetry(decision.Cost)
		sleep(ctx, decision.Wait)
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (forward *forward) retryConditions(pool *pool, exchange *cherrykeel.Exchange, number int) retry.Conditions {
	pool.mutex.Lock()
	canRetry := pool.budget.CanRetry()
	pool.mutex.Unlock()
	return retry.Conditions{
		Now:        forward.clock.Now(),
		Deadline:   exchange.Deadline,
		Attempt:    number,
		Repeatable: exchange.Repeatable,
		Keyed:      exchange.Service.Keyed,
		BudgetLeft: canRetry,
		Random:     rand.Float64(),
	}
}

func (pool *pool) recordArrival(exchange *cherrykeel.Exchange) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.budget.Deposit(exchange.Service.RetryShare)
	pool.counter.Count(exchange.Partition, exchange.Key)
	pool.usedAt = exchange.Arrived
}

func (pool *pool) chargeRetry(cost float64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.budget.Withdraw(cost)
}

// admitAndAttempt waits for a slot on an upstream and makes one attempt there.
func (forward *forward) admitAndAttempt(ctx context.Context, pool *pool, exchange *cherrykeel.Exchange, tracked *deny.Request, number int, previous string) (result, *cherrykeel.Failure) {
	slot, failure := forward.admit(ctx, pool, exchange, tracked, previous)
	if failure != nil {
		return result{}, failure
	}
	if slot.upstream == nil {
		retryResult := retry.Result{Evidence: retry.Refused, Refusal: retry.RefusedNotOwner, Detail: "no upstream can accept the request now"}
		return result{retryResult: retryResult}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, slot.deadline.Sub(slot.acquiredAt))
	result := forward.attempt(ctx, exchange, slot, number)
	result.upstreamName = slot.upstream.server.Name
	if result.answer == nil {
		forward.recordForDenial(slot, exchange, tracked, result)
		cancel()
		slot.release(result.observed)
		return result, nil
	}
	result.onStreamed = func(err error) {
		result.ownAnswer = result.answer.IsComplete()
		result.unanswered = err != nil && ctx.Err() == nil
		result.connectionReset = errors.Is(err, conns.ErrReset)
		forward.recordForDenial(slot, exchange, tracked, result)
	}
	// A large answer keeps its slot until it has been streamed; writeAnswer closes it.
	result.answer.OnClose(func() {
		cancel()
		result.observed.abandoned = !result.answer.IsComplete()
		slot.release(result.observed)
	})
	return result, nil
}

// slot is an admitted request's slot on an upstream; upstream is nil if none was available after admission.
type slot struct {
	pool       *pool
	queue      *admit.Queue
	upstream   *upstream
	clock      cherrykeel.Clock
	acquiredAt cherrykeel.Instant
	// deadline is the exchange's, or an earlier one that the host's lease requires.
	deadline cherrykeel.Instant
	// countedInView is the exchange if the host's view counts it as in flight, else nil.
	countedInView *cherrykeel.Exchange
}

// readyToSend sets the request's remaining time and reports whether the request may be written now. A host that has begun
// to stop meanwhile may not live to receive the answer. Where the upstream checks no fences, a host that was suspended
// after it chose the upstream must not write once its lease has ended.
func (slot *slot) readyToSend(exchange *cherrykeel.Exchange, request *http.Request) bool {
	now := slot.clock.Now()
	remaining := slot.deadline.Sub(now)
	request.Header.Set(cherrykeel.HeaderTimeout, strconv.FormatInt(remaining.Milliseconds(), 10))
	if !slot.pool.fleet.stop.hasTimeFor(exchange) {
		return false
	}
	if slot.countedInView == nil {
		return remaining > 0
	}
	slot.pool.mutex.Lock()
	defer slot.pool.mutex.Unlock()
	owner, allowed := slot.pool.view.Owner(exchange.Partition, exchange.Key, now)
	return remaining > 0 && allowed && owner == slot.upstream.server.Name
}

func (slot *slot) release(observed observation) {
	pool := slot.pool
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := slot.clock.Now()
	if slot.upstream != nil {
		slot.upstream.inFlight--
		slot.finishInView(observed.abandoned)
		pool.recordObservation(slot.upstream, observed, now)
	}
	// The queue admits the next request only now: the upstream may have asked for a rest.
	slot.queue.Done(now.Sub(slot.acquiredAt), now)
}

// finishInView removes the request from the view's requests in flight, where the upstream checks no fences. An
// abandoned request stays counted until its deadline has passed at the upstream: the upstream may not have noticed
// that the connection was closed, for example when the network is partitioned.
func (slot *slot) finishInView(abandoned bool) {
	if slot.countedInView == nil {
		return
	}
	view, upstream := slot.pool.view, slot.upstream.server.Name
	if !abandoned {
		view.FinishRequest(upstream, slot.countedInView.Partition, slot.countedInView.Key)
		return
	}
	timeout := slot.deadline.Sub(slot.acquiredAt)
	view.AbandonRequest(upstream, slot.countedInView.Partition, slot.countedInView.Key, slot.acquiredAt.Add(lease.MaxProcessingTime(timeout)))
}

// writeAnswer forwards the upstream's answer to the caller.
func (forward *forward) writeAnswer(exchange *cherrykeel.Exchange, result result) *cherrykeel.Failure {
	header := exchange.Writer.Header()
	removeHopByHopHeaders(result.header)
	for name, values := range result.header {
		header[name] = values
	}
	header.Del(cherrykeel.HeaderLoad)
	// Only answers that the router makes itself may carry an outcome.
	header.Del(cherrykeel.HeaderOutcome)
	header.Set(cherrykeel.HeaderRequest, exchange.ID)
	exchange.Answer = &cherrykeel.Answer{
		Status:      result.status,
		ContentType: header.Get("Content-Type"),
		Body:        result.body,
		Whole:       result.answer == nil,
	}
	exchange.Writer.WriteHeader(result.status)
	_, _ = exchange.Writer.Write(result.body)
	if result.answer == nil {
		return nil
	}
	defer result.answer.Close()
	forward.streamRemainder(exchange, result)
	return nil
}

// streamRemainder forwards what has not been read of the answer yet. If the answer breaks off, it aborts the caller's
// connection, since nothing else can show the caller that the answer is incomplete.
func (forward *forward) streamRemainder(exchange *cherrykeel.Exchange, result result) {
	err := copyAnswer(exchange.Writer, result.answer)
	result.onStreamed(err)
	if err == nil {
		return
	}
	result.answer.Close()
	events.Log(forward.logger, events.AnswerTruncated, zap.String("Request", exchange.ID), zap.Error(err))
	panic(http.ErrAbortHandler)
}

func (forward *forward) logForeignAnswer(exchange *cherrykeel.Exchange, echoed string) {
	events.Log(forward.logger, events.AnswerMismatched,
		zap.String("Request", exchange.ID),
		zap.String("Answered", echoed),
		zap.String("Service", exchange.Service.Path))
}
