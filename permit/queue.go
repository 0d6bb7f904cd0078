package permit

import (
	"sort"
	"time"

	"cherrykeel"
)

// repeatAfter is how long a want that was met is not met again: the ask that repeats it may have been sent before the
// permit arrived. After that the permit counts as lost.
const repeatAfter = 300 * time.Millisecond

// deliveryTime is how long a permit may take to its host. One that arrives when its request has been refused is lost.
const deliveryTime = 30 * time.Millisecond

// queuedWant is a want of a host in an upstream's queue.
type queuedWant struct {
	Want
	host string
	// latest is when its permit must be handed out at the latest.
	latest cherrykeel.Instant
}

// isBefore reports whether the want is met before another one: by priority, then by time left.
func (want queuedWant) isBefore(other queuedWant) bool {
	isSpare, isOtherSpare := want.ID == 0, other.ID == 0
	switch {
	case isSpare != isOtherSpare:
		return isOtherSpare
	case want.Priority != other.Priority:
		return want.Priority < other.Priority
	default:
		return want.latest < other.latest
	}
}

// metWant names a want that was met.
type metWant struct {
	host string
	id   uint64
}

// queue holds the wants for one upstream.
type queue struct {
	bucket bucket
	wants  []queuedWant
	met    map[metWant]cherrykeel.Instant
	// given counts the permits by host since they were last reported, declined the wants that were declined.
	given    map[string]int
	declined int
}

func newQueue(now cherrykeel.Instant) *queue {
	return &queue{bucket: bucket{filledAt: now}, met: map[metWant]cherrykeel.Instant{}, given: map[string]int{}}
}

// replace replaces the wants of a host.
func (queue *queue) replace(host string, wants []Want, now cherrykeel.Instant) {
	kept := queue.wants[:0]
	for _, want := range queue.wants {
		if want.host != host {
			kept = append(kept, want)
		}
	}
	for _, want := range wants {
		if !queue.wasMet(host, want.ID, now) {
			kept = append(kept, queuedWant{Want: want, host: host, latest: now.Add(want.Left - deliveryTime)})
		}
	}
	queue.wants = kept
	sort.SliceStable(queue.wants, func(i, j int) bool { return queue.wants[i].isBefore(queue.wants[j]) })
}

func (queue *queue) wasMet(host string, id uint64, now cherrykeel.Instant) bool {
	metAt, known := queue.met[metWant{host: host, id: id}]
	return known && now.Sub(metAt) < repeatAfter
}

// assign meets the wants that have a token, declines those that can't get one in time, and adds both to the replies by
// host.
func (queue *queue) assign(replies map[string]*Reply, now cherrykeel.Instant) {
	queue.bucket.fill(now)
	var kept []queuedWant
	for _, want := range queue.wants {
		turnAt := now.Add(queue.bucket.timeUntil(len(kept) + 1))
		switch {
		case len(kept) == 0 && want.latest >= now && queue.bucket.take():
			queue.meet(want, replies, now)
		case turnAt <= want.latest:
			kept = append(kept, want)
		case want.ID != 0:
			queue.declined++
			reply := replies[want.host]
			reply.Declined = append(reply.Declined, want.ID)
		}
	}
	queue.wants = kept
	queue.dropOldMet(now)
}

func (queue *queue) meet(want queuedWant, replies map[string]*Reply, now cherrykeel.Instant) {
	queue.met[metWant{host: want.host, id: want.ID}] = now
	queue.given[want.host]++
	replies[want.host].Permits++
}

func (queue *queue) dropOldMet(now cherrykeel.Instant) {
	for want, metAt := range queue.met {
		if now.Sub(metAt) >= repeatAfter {
			delete(queue.met, want)
		}
	}
}

// hosts returns the hosts with wants.
func (queue *queue) hosts() map[string]bool {
	hosts := map[string]bool{}
	for _, want := range queue.wants {
		hosts[want.host] = true
	}
	return hosts
}
