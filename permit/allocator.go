package permit

import (
	"time"

	"cherrykeel"
)

// Allocator hands out the permits of the upstreams that one host is the allocator of. It is not safe for concurrent use.
type Allocator struct {
	queues map[Incarnation]*queue
}

// HostReply is the reply to one host.
type HostReply struct {
	Host  string
	Reply Reply
}

// Usage is what was handed out for one upstream in some time.
type Usage struct {
	Upstream Incarnation
	// Given counts permits by host.
	Given map[string]int
	// Declined counts the wants that could not be met in time.
	Declined int
}

// NewAllocator returns an allocator of no upstream.
func NewAllocator() *Allocator {
	return &Allocator{queues: map[Incarnation]*queue{}}
}

// SetRates replaces the upstreams that permits are handed out for, with how many a second. A new one begins without any
// permit, since another host may have handed out the last ones a moment ago.
func (allocator *Allocator) SetRates(rates map[Incarnation]float64, now cherrykeel.Instant) {
	for upstream := range allocator.queues {
		if _, listed := rates[upstream]; !listed {
			delete(allocator.queues, upstream)
		}
	}
	for upstream, rate := range rates {
		known, exists := allocator.queues[upstream]
		if !exists {
			known = newQueue(now)
			allocator.queues[upstream] = known
		}
		if known.bucket.rate != rate {
			known.bucket.setRate(rate, now)
		}
	}
}

// Serves reports whether permits are handed out for an upstream.
func (allocator *Allocator) Serves(upstream Incarnation) bool {
	_, known := allocator.queues[upstream]
	return known
}

// Ask records what a host wants, and returns the replies that follow at once, one for this host in any case: without
// one it would not know whether it was heard. It returns none for an upstream that this host is not the allocator of.
func (allocator *Allocator) Ask(host string, ask Ask, now cherrykeel.Instant) []HostReply {
	queue, known := allocator.queues[ask.Upstream]
	if !known {
		return nil
	}
	queue.replace(host, ask.Wants, now)
	return queue.replies(ask.Upstream, host, now)
}

// Assign returns the replies that are due now.
func (allocator *Allocator) Assign(now cherrykeel.Instant) []HostReply {
	var replies []HostReply
	for upstream, queue := range allocator.queues {
		replies = append(replies, queue.replies(upstream, "", now)...)
	}
	return replies
}

// replies assigns permits, and returns the replies that say something, and the one to the host that asked.
func (queue *queue) replies(upstream Incarnation, asking string, now cherrykeel.Instant) []HostReply {
	byHost := map[string]*Reply{}
	for host := range queue.hosts() {
		byHost[host] = &Reply{Upstream: upstream}
	}
	if asking != "" {
		byHost[asking] = &Reply{Upstream: upstream}
	}
	queue.assign(byHost, now)
	var replies []HostReply
	for host, reply := range byHost {
		if host == asking || !reply.IsEmpty() {
			replies = append(replies, HostReply{Host: host, Reply: *reply})
		}
	}
	return replies
}

// TimeToNext returns the time until Assign has something to hand out, and false if nobody waits.
func (allocator *Allocator) TimeToNext(now cherrykeel.Instant) (time.Duration, bool) {
	next, waiting := time.Duration(0), false
	for _, queue := range allocator.queues {
		if len(queue.wants) == 0 {
			continue
		}
		queue.bucket.fill(now)
		left := queue.bucket.timeUntil(1)
		if !waiting || left < next {
			next, waiting = left, true
		}
	}
	return next, waiting
}

// TakeUsage returns what was handed out and declined since the last call, for the upstreams that anything was.
func (allocator *Allocator) TakeUsage() []Usage {
	var usage []Usage
	for upstream, queue := range allocator.queues {
		if len(queue.given) == 0 && queue.declined == 0 {
			continue
		}
		usage = append(usage, Usage{Upstream: upstream, Given: queue.given, Declined: queue.declined})
		queue.given, queue.declined = map[string]int{}, 0
	}
	return usage
}
