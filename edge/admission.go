package edge

import (
	"context"
	"io"
	"net/http"
	"time"

	"cherrykeel"
	"cherrykeel/admit"
)

const (
	statusBusy    = http.StatusServiceUnavailable
	minRetryAfter = time.Second
)

// admit waits until the request may go to an upstream, or refuses it.
func (forward *forward) admit(ctx context.Context, pool *pool, exchange *cherrykeel.Exchange, tried string) (*place, *cherrykeel.Failure) {
	woken := make(chan bool, 1)
	ticket := &admit.Ticket{
		Priority: exchange.Priority,
		Arrived:  exchange.Arrived,
		Deadline: exchange.Deadline,
		Wake:     func(admitted bool) { woken <- admitted },
	}
	pool.mutex.Lock()
	now := forward.clock.Now()
	queue := pool.queueFor(exchange, now)
	if queue == nil {
		pool.mutex.Unlock()
		return &place{}, nil
	}
	decision := queue.Offer(ticket, now)
	wait := queue.Wait(ticket)
	pool.mutex.Unlock()
	switch decision {
	case admit.TooLong:
		return nil, overloaded("queue-full", exchange, wait)
	case admit.TooLate:
		return nil, overloaded("deadline-too-near", exchange, wait)
	case admit.Queued:
		forward.fleet.signal()
		failure := await(ctx, pool, queue, ticket, woken, exchange)
		if failure != nil {
			return nil, failure
		}
	}
	return forward.take(pool, queue, exchange, tried), nil
}

func overloaded(code string, exchange *cherrykeel.Exchange, wait time.Duration) *cherrykeel.Failure {
	failure := cherrykeel.Refuse(statusBusy, code, "the upstreams of %s are busy; the wait would be %v", exchange.Service.Path, wait.Round(time.Millisecond))
	failure.RetryAfter = max(minRetryAfter, wait)
	return failure
}

func await(ctx context.Context, pool *pool, queue *admit.Queue, ticket *admit.Ticket, woken chan bool, exchange *cherrykeel.Exchange) *cherrykeel.Failure {
	select {
	case admitted := <-woken:
		if admitted {
			return nil
		}
		return overloaded("queue-left", exchange, 0)
	case <-ctx.Done():
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if !queue.Cancel(ticket) && <-woken {
		// Admitted in the same moment: the place goes to the next one.
		now := pool.fleet.clock.Now()
		queue.Done(0, now)
	}
	return overloaded("deadline-passed", exchange, 0)
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
		_, _ = pool.view.Enter(exchange.Partition, exchange.Key, now)
		place.viewed = exchange
		place.deadline = pool.view.Limit(exchange.Deadline, now)
	}
	place.upstream.inFlight++
	place.upstream.health.Chosen()
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
