package edge

import (
	"context"
	"io"
	"net/http"
	"time"

	"cherrykeel"
	"cherrykeel/admit"
	"cherrykeel/deny"
)

const (
	statusBusy    = http.StatusServiceUnavailable
	minRetryAfter = time.Second
)

// admit waits until the request gets a slot on an upstream, and fails if it is refused, its queue is full or its deadline
// is too near. tracked is the request as the deny list tracks it. previous names the upstream of the previous
// attempt, which is avoided while there are others.
func (forward *forward) admit(ctx context.Context, pool *pool, exchange *cherrykeel.Exchange, tracked *deny.Request, previous string) (*slot, *cherrykeel.Failure) {
	denials := forward.denied.DenialAdded()
	if failure := forward.refusal(exchange, tracked); failure != nil {
		return nil, failure
	}
	notified := make(chan bool, 1)
	ticket := &admit.Ticket{
		Priority: exchange.Priority,
		Arrived:  exchange.Arrived,
		Deadline: exchange.Deadline,
		Notify:   func(admitted bool) { notified <- admitted },
	}
	pool.mutex.Lock()
	now := forward.clock.Now()
	queue := pool.queueFor(exchange, now)
	if queue == nil {
		pool.mutex.Unlock()
		return &slot{}, nil
	}
	decision := queue.Submit(ticket, now)
	wait := queue.EstimateWait(ticket)
	resting := queue.PauseRemaining(now)
	pool.mutex.Unlock()
	if resting > 0 && decision != admit.Queued {
		return nil, upstreamResting(exchange, resting)
	}
	switch decision {
	case admit.QueueFull:
		return nil, overloaded("queue-full", exchange, wait)
	case admit.TooLate:
		return nil, overloaded("deadline-too-near", exchange, wait)
	case admit.Queued:
		forward.fleet.signalSlotsNeeded()
		waiter := &waiter{pool: pool, queue: queue, ticket: ticket, notified: notified, exchange: exchange}
		failure := forward.awaitTurn(ctx, waiter, tracked, denials)
		if failure != nil {
			return nil, failure
		}
	}
	return forward.acquireSlot(pool, queue, exchange, previous), nil
}

// refusal returns the failure of a request that is denied or for which this host has no time before it stops, or nil.
func (forward *forward) refusal(exchange *cherrykeel.Exchange, tracked *deny.Request) *cherrykeel.Failure {
	failure := denialFailure(tracked)
	if failure != nil {
		return failure
	}
	return forward.fleet.stop.failure(exchange)
}

// upstreamResting returns the failure of a request that can't be served in the time left, since the upstreams that could
// serve it asked for a rest.
func upstreamResting(exchange *cherrykeel.Exchange, remaining time.Duration) *cherrykeel.Failure {
	failure := cherrykeel.Refuse(statusBusy, "upstream-resting", "the upstreams of %s asked for no requests for the next %v", exchange.Service.Path, remaining.Round(time.Millisecond))
	failure.RetryAfter = remaining
	return failure
}

// waiter is a request that waits in an admission queue. notified receives whether it was admitted.
type waiter struct {
	pool     *pool
	queue    *admit.Queue
	ticket   *admit.Ticket
	notified chan bool
	exchange *cherrykeel.Exchange
}

func overloaded(code string, exchange *cherrykeel.Exchange, wait time.Duration) *cherrykeel.Failure {
	failure := cherrykeel.Refuse(statusBusy, code, "the upstreams of %s are busy; the wait would be %v", exchange.Service.Path, wait.Round(time.Millisecond))
	failure.RetryAfter = max(minRetryAfter, wait)
	return failure
}

// awaitTurn waits until the request is admitted. It fails if the queue sheds the request, its deadline passes, or it
// becomes denied or the host stops meanwhile.
func (forward *forward) awaitTurn(ctx context.Context, waiter *waiter, tracked *deny.Request, denials <-chan struct{}) *cherrykeel.Failure {
	stopBegun := forward.fleet.stop.begun
	for {
		select {
		case admitted := <-waiter.notified:
			if admitted {
				return forward.confirmAdmission(waiter, tracked)
			}
			return waiter.failureOfShed()
		case <-denials:
			denials = forward.denied.DenialAdded()
		case <-stopBegun:
			stopBegun = nil
		case <-ctx.Done():
			waiter.cancel()
			return overloaded("deadline-passed", waiter.exchange, 0)
		}
		failure := forward.refusal(waiter.exchange, tracked)
		if failure != nil {
			waiter.cancel()
			return failure
		}
	}
}

// confirmAdmission checks once more whether the request is refused: select may take the admission although a denial
// arrived, or a stop began, at the same time.
func (forward *forward) confirmAdmission(waiter *waiter, tracked *deny.Request) *cherrykeel.Failure {
	failure := forward.refusal(waiter.exchange, tracked)
	if failure != nil {
		waiter.release()
	}
	return failure
}

// failureOfShed returns the failure of a request that its queue has refused while it waited.
func (waiter *waiter) failureOfShed() *cherrykeel.Failure {
	waiter.pool.mutex.Lock()
	resting := waiter.queue.PauseRemaining(waiter.pool.fleet.clock.Now())
	waiter.pool.mutex.Unlock()
	if resting > 0 {
		return upstreamResting(waiter.exchange, resting)
	}
	return overloaded("queue-left", waiter.exchange, 0)
}

// cancel removes the request from its queue. If it was admitted at the same moment, its slot is released for the next
// request.
func (waiter *waiter) cancel() {
	waiter.pool.mutex.Lock()
	canceled := waiter.queue.Cancel(waiter.ticket)
	waiter.pool.mutex.Unlock()
	if !canceled && <-waiter.notified {
		waiter.release()
	}
}

func (waiter *waiter) release() {
	waiter.pool.mutex.Lock()
	defer waiter.pool.mutex.Unlock()
	waiter.queue.Done(0, waiter.pool.fleet.clock.Now())
}

// queueFor returns the queue that the request waits in: the owner's queue for a keyed request, else the service's. It
// is nil if the key has no owner.
func (pool *pool) queueFor(exchange *cherrykeel.Exchange, now cherrykeel.Instant) *admit.Queue {
	if !exchange.Service.Keyed {
		return pool.queue
	}
	owner := pool.owner(exchange, now)
	if owner == nil {
		return nil
	}
	return owner.queue
}

// owner returns the upstream that owns the request's key in this host's placement, or, where the upstreams check no
// fences, in this host's lease. It is nil if there is none.
func (pool *pool) owner(exchange *cherrykeel.Exchange, now cherrykeel.Instant) *upstream {
	if pool.service.ChecksFences {
		return pool.upstreams[pool.fleet.owners.Owner(pool.service.Path, exchange.Partition, exchange.Key)]
	}
	name, allowed := pool.view.Owner(exchange.Partition, exchange.Key, now)
	if !allowed {
		return nil
	}
	return pool.upstreams[name]
}

// acquireSlot assigns an upstream to an admitted request. The slot has no upstream if the key's owner changed while the
// request waited in the earlier owner's queue, if the owner has just asked for a rest, or if no upstream is eligible.
func (forward *forward) acquireSlot(pool *pool, queue *admit.Queue, exchange *cherrykeel.Exchange, previous string) *slot {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := forward.clock.Now()
	slot := &slot{pool: pool, queue: queue, clock: forward.clock, acquiredAt: now, deadline: exchange.Deadline}
	if exchange.Service.Keyed {
		slot.upstream = pool.owner(exchange, now)
	} else {
		slot.upstream = pool.choose(now, previous)
	}
	if slot.upstream == nil || exchange.Service.Keyed && (slot.upstream.queue != queue || slot.upstream.health.IsResting(now)) {
		queue.Done(0, now)
		slot.upstream = nil
		return slot
	}
	if exchange.Service.Keyed && !pool.service.ChecksFences {
		_, _ = pool.view.StartRequest(exchange.Partition, exchange.Key, now)
		slot.countedInView = exchange
		slot.deadline = pool.view.LimitDeadline(exchange.Deadline, now)
	}
	slot.upstream.inFlight++
	slot.upstream.health.RecordAttempt()
	return slot
}

// copyAnswer copies what is left of a large answer to the caller. It returns the upstream's read errors only: a failed
// write to the caller says nothing about the upstream.
func copyAnswer(writer io.Writer, answer io.Reader) error {
	buffer := make([]byte, 32<<10)
	for {
		count, err := answer.Read(buffer)
		if count > 0 {
			if _, writeErr := writer.Write(buffer[:count]); writeErr != nil {
				return nil
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (fleet *Fleet) signalSlotsNeeded() {
	select {
	case fleet.slotsNeeded <- struct{}{}:
	default:
	}
}
