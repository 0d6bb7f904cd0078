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

// admit waits until the request may go to an upstream, or refuses it.
func (forward *forward) admit(ctx context.Context, pool *pool, exchange *cherrykeel.Exchange, tracked *deny.Request, previous string) (*slot, *cherrykeel.Failure) {
	denials := forward.denied.DenialAdded()
	if failure := denialFailure(tracked); failure != nil {
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
	wait := queue.Wait(ticket)
	pool.mutex.Unlock()
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

// waiter is a request in a queue.
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

// awaitTurn waits for the request's turn, unless its time passes or it becomes known to end upstreams.
func (forward *forward) awaitTurn(ctx context.Context, waiter *waiter, tracked *deny.Request, denials <-chan struct{}) *cherrykeel.Failure {
	for {
		select {
		case admitted := <-waiter.notified:
			if admitted {
				return waiter.confirmAdmission(tracked)
			}
			return overloaded("queue-left", waiter.exchange, 0)
		case <-denials:
			denials = forward.denied.DenialAdded()
			failure := denialFailure(tracked)
			if failure != nil {
				waiter.cancel()
				return failure
			}
		case <-ctx.Done():
			waiter.cancel()
			return overloaded("deadline-passed", waiter.exchange, 0)
		}
	}
}

// confirmAdmission looks once more: the request's turn may have come together with what shows that it is not to be sent.
func (waiter *waiter) confirmAdmission(tracked *deny.Request) *cherrykeel.Failure {
	failure := denialFailure(tracked)
	if failure != nil {
		waiter.release()
	}
	return failure
}

// cancel takes the request out of its queue; admitted in the same moment, it leaves the place to the next one.
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

// queueFor returns the queue that the request waits in, or nil if a keyed request has no owner to wait for.
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

// owner returns the upstream that owns the request's key as far as this host knows, or nil.
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

// acquireSlot gives an admitted request its upstream; the owner may have changed while it waited.
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
	if slot.upstream == nil || exchange.Service.Keyed && slot.upstream.queue != queue {
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

// copyAnswer passes the rest of a large answer on and reports the upstream's failures only.
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
