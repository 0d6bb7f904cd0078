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

// statusGone is written for callers that went away; nobody reads it but the log.
const statusGone = 499

type forward struct {
	fleet  *Fleet
	sender Sender
	denied *deny.List
	clock  cherrykeel.Clock
	logger *zap.Logger
}

// NewForward returns the stage that sends requests to upstreams, but for those that end them, and passes their answers
// on.
func NewForward(fleet *Fleet, sender Sender, denied *deny.List, clock cherrykeel.Clock, logger *zap.Logger) cherrykeel.Stage {
	return &forward{fleet: fleet, sender: sender, denied: denied, clock: clock, logger: logger}
}

// Serve implements cherrykeel.Stage.
func (forward *forward) Serve(exchange *cherrykeel.Exchange, _ cherrykeel.Next) *cherrykeel.Failure {
	pool := forward.fleet.pool(exchange.Service.Path)
	if pool == nil {
		return cherrykeel.Refuse(http.StatusNotFound, "unknown-service", "the service has just been removed")
	}
	left := exchange.Deadline.Sub(forward.clock.Now())
	ctx, cancel := context.WithTimeout(exchange.Request.Context(), left)
	defer cancel()
	pool.arrived(exchange)
	listed := forward.denied.NewRequest(partsOf(exchange))
	mayHaveRun := false
	tried := ""
	for number := 1; ; number++ {
		result, failure := forward.admitAndAttempt(ctx, pool, exchange, listed, number, tried)
		tried = result.tried
		if failure != nil {
			return retry.FinalFailure(failure, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || result.ending.Evidence == retry.Uncertain
		situation := forward.situation(pool, exchange, number)
		situation.Suspected = result.unanswered && listed.IsSuspected()
		verdict := retry.Decide(result.ending, situation)
		if verdict.Forward {
			return forward.pass(exchange, result)
		}
		if !verdict.Retry {
			return retry.FinalFailure(verdict.Failure, mayHaveRun)
		}
		if exchange.Request.Context().Err() != nil {
			return retry.FinalFailure(cherrykeel.Refuse(statusGone, "caller-gone", "the caller went away"), mayHaveRun)
		}
		pool.charge(verdict.Cost)
		pause(ctx, verdict.Wait)
	}
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (forward *forward) situation(pool *pool, exchange *cherrykeel.Exchange, number int) retry.Conditions {
	pool.mutex.Lock()
	left := pool.budget.CanRetry()
	pool.mutex.Unlock()
	return retry.Conditions{
		Now:        forward.clock.Now(),
		Deadline:   exchange.Deadline,
		Attempt:    number,
		Repeatable: exchange.Repeatable,
		Keyed:      exchange.Service.Keyed,
		BudgetLeft: left,
		Random:     rand.Float64(),
	}
}

func (pool *pool) arrived(exchange *cherrykeel.Exchange) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.budget.Deposit(exchange.Service.RetryShare)
	pool.counter.Count(exchange.Partition, exchange.Key)
	pool.usedAt = exchange.Arrived
}

func (pool *pool) charge(cost float64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.budget.Withdraw(cost)
}

// admitAndAttempt waits for a place on an upstream and makes one attempt there.
func (forward *forward) admitAndAttempt(ctx context.Context, pool *pool, exchange *cherrykeel.Exchange, listed *deny.Request, number int, tried string) (result, *cherrykeel.Failure) {
	place, failure := forward.admit(ctx, pool, exchange, listed, tried)
	if failure != nil {
		return result{}, failure
	}
	if place.upstream == nil {
		ending := retry.Result{Evidence: retry.Refused, Refusal: retry.RefusedNotOwner, Detail: "no upstream can take the request now"}
		return result{ending: ending}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, place.deadline.Sub(place.begun))
	result := forward.attempt(ctx, exchange, place, number)
	result.tried = place.upstream.server.Name
	if result.answer == nil {
		forward.tellOfUpstream(place, exchange, listed, result)
		cancel()
		place.leave(result.finished)
		return result, nil
	}
	result.streamed = func(err error) {
		result.own = result.answer.IsComplete()
		result.unanswered = err != nil && ctx.Err() == nil
		result.reset = errors.Is(err, conns.ErrReset)
		forward.tellOfUpstream(place, exchange, listed, result)
	}
	// A large answer keeps its place until it has been passed on; pass closes it.
	result.answer.OnClose(func() {
		cancel()
		result.finished.abandoned = !result.answer.IsComplete()
		place.leave(result.finished)
	})
	return result, nil
}

// place is an admitted request's place on an upstream; upstream is nil if there is none after all.
type place struct {
	pool     *pool
	queue    *admit.Queue
	upstream *upstream
	clock    cherrykeel.Clock
	begun    cherrykeel.Instant
	// deadline is the exchange's, or an earlier one that the host's lease asks for.
	deadline cherrykeel.Instant
	// viewed is the request that the host's view counts, or nil.
	viewed *cherrykeel.Exchange
}

// ready reports whether the request may be written now, and tells the upstream what time is left. Where it checks
// no fences, a host that was paused since it chose the upstream must not write after its lease has ended.
func (place *place) ready(exchange *cherrykeel.Exchange, request *http.Request) bool {
	now := place.clock.Now()
	left := place.deadline.Sub(now)
	request.Header.Set(cherrykeel.HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	if place.viewed == nil {
		return left > 0
	}
	place.pool.mutex.Lock()
	defer place.pool.mutex.Unlock()
	owner, allowed := place.pool.view.Owner(exchange.Partition, exchange.Key, now)
	return left > 0 && allowed && owner == place.upstream.server.Name
}

func (place *place) leave(finished finished) {
	pool := place.pool
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := place.clock.Now()
	place.queue.Done(now.Sub(place.begun), now)
	if place.upstream == nil {
		return
	}
	place.upstream.inFlight--
	place.unview(finished.abandoned)
	pool.note(place.upstream, finished, now)
}

// unview ends the count of the host's view, where the upstream checks no fences. An upstream that may not have
// heard that nobody waits any more, as in a cut of the network, works on until the deadline that it was told.
func (place *place) unview(abandoned bool) {
	if place.viewed == nil {
		return
	}
	view, upstream := place.pool.view, place.upstream.server.Name
	if !abandoned {
		view.FinishRequest(upstream, place.viewed.Partition, place.viewed.Key)
		return
	}
	told := place.deadline.Sub(place.begun)
	view.AbandonRequest(upstream, place.viewed.Partition, place.viewed.Key, place.begun.Add(lease.MaxProcessingTime(told)))
}

// pass writes the answer to the caller.
func (forward *forward) pass(exchange *cherrykeel.Exchange, result result) *cherrykeel.Failure {
	header := exchange.Writer.Header()
	dropHopHeaders(result.header)
	for name, values := range result.header {
		header[name] = values
	}
	header.Del(cherrykeel.HeaderLoad)
	// Only the router's own answers may speak of outcomes.
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
	forward.stream(exchange, result)
	return nil
}

// stream passes on what has not been read yet; when that breaks off, the caller's connection
// is broken too, since nothing else can tell the caller that the answer is not whole.
func (forward *forward) stream(exchange *cherrykeel.Exchange, result result) {
	err := copyAnswer(exchange.Writer, result.answer)
	result.streamed(err)
	if err == nil {
		return
	}
	result.answer.Close()
	events.Log(forward.logger, events.AnswerTruncated, zap.String("Request", exchange.ID), zap.Error(err))
	panic(http.ErrAbortHandler)
}

func (forward *forward) foreign(exchange *cherrykeel.Exchange, echoed string) {
	events.Log(forward.logger, events.AnswerMismatched,
		zap.String("Request", exchange.ID),
		zap.String("Answered", echoed),
		zap.String("Service", exchange.Service.Path))
}
