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
func (forward *forward) admit(ctx context.Context, pool *pool, exchange *cherrykeel.Exchange, listed *deny.Request, tried string) (*place, *cherrykeel.Failure) {
	denials := forward.denied.DenialAdded()
	if failure := refusal(listed); failure != nil {
		return nil, failure
	}
	woken := make(chan bool, 1)
	ticket := &admit.Ticket{
		Priority: exchange.Priority,
		Arrived:  exchange.Arrived,
		Deadline: exchange.Deadline,
		Notify:   func(admitted bool) { woken <- admitted },
	}
	pool.mutex.Lock()
	now := forward.clock.Now()
	queue := pool.queueFor(exchange, now)
	if queue == nil {
		pool.mutex.Unlock()
		return &place{}, nil
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
		forward.fleet.signal()
		waiting := &waiting{pool: pool, queue: queue, ticket: ticket, woken: woken, exchange: exchange}
		failure := forward.await(ctx, waiting, listed, denials)
		if failure != nil {
			return nil, failure
		}
	}
	return forward.take(pool, queue, exchange, tried), nil
}

// waiting is a request in a queue.
type waiting struct {
	pool     *pool
	queue    *admit.Queue
	ticket   *admit.Ticket
	woken    chan bool
	exchange *cherrykeel.Exchange
}

func overloaded(code string, exchange *cherrykeel.Exchange, wait time.Duration) *cherrykeel.Failure {
	failure := cherrykeel.Refuse(statusBusy, code, "the upstreams of %s are busy; the wait would be %v", exchange.Service.Path, wait.Round(time.Millisecond))
	failure.RetryAfter = max(minRetryAfter, wait)
	return failure
}

// await waits for the request's turn, unless its time passes or it becomes known to end upstreams.
func (forward *forward) await(ctx context.Context, waiting *waiting, listed *deny.Request, denials <-chan struct{}) *cherrykeel.Failure {
	for {
		select {
		case admitted := <-waiting.woken:
			if admitted {
				return waiting.admitted(listed)
			}
			return overloaded("queue-left", waiting.exchange, 0)
		case <-denials:
			denials = forward.denied.DenialAdded()
			failure := refusal(listed)
			if failure != nil {
				waiting.cancel()
				return failure
			}
		case <-ctx.Done():
			waiting.cancel()
			return overloaded("deadline-passed", waiting.exchange, 0)
		}
	}
}

// admitted looks once more: the request's turn may have come together with what shows that it is not to be sent.
func (waiting *waiting) admitted(listed *deny.Request) *cherrykeel.Failure {
	failure := refusal(listed)
	if failure != nil {
		waiting.giveBack()
	}
	return failure
}

// cancel takes the request out of its queue; admitted in the same moment, it leaves the place to the next one.
func (waiting *waiting) cancel() {
	waiting.pool.mutex.Lock()
	canceled := waiting.queue.Cancel(waiting.ticket)
	waiting.pool.mutex.Unlock()
	if !canceled && <-waiting.woken {
		waiting.giveBack()
	}
}

func (waiting *waiting) giveBack() {
	waiting.pool.mutex.Lock()
	defer waiting.pool.mutex.Unlock()
	waiting.queue.Done(0, waiting.pool.fleet.clock.Now())
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

// take gives an admitted request its upstream; the owner may have changed while it waited.
func (forward *forward) take(pool *pool, queue *admit.Queue, exchange *cherrykeel.Exchange, tried string) *place {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := forward.clock.Now()
	place := &place{pool: pool, queue: queue, clock: forward.clock, begun: now, deadline: exchange.Deadline}
	if exchange.Service.Keyed {
		place.upstream = pool.owner(exchange, now)
	} else {
		place.upstream = pool.choose(now, tried)
	}
	if place.upstream == nil || exchange.Service.Keyed && place.upstream.queue != queue {
		queue.Done(0, now)
		place.upstream = nil
		return place
	}
	if exchange.Service.Keyed && !pool.service.ChecksFences {
		_, _ = pool.view.StartRequest(exchange.Partition, exchange.Key, now)
		place.viewed = exchange
		place.deadline = pool.view.LimitDeadline(exchange.Deadline, now)
	}
	place.upstream.inFlight++
	place.upstream.health.RecordAttempt()
	return place
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

func (fleet *Fleet) signal() {
	select {
	case fleet.hurry <- struct{}{}:
	default:
	}
}
