package edge

import (
	"math"
	"time"

	"cherrykeel"
	"cherrykeel/admit"
)

// slotRequestWindow is how long after a service's last request its slots are still requested.
const slotRequestWindow = 10 * time.Second

// slotLimit returns how many requests this host may have on an upstream now: the slots that the allocator granted or,
// while no allocator answers, an even share of at least one. Where there are more hosts than slots, the even shares
// together exceed the slots.
func (pool *pool) slotLimit(upstream *upstream, now cherrykeel.Instant) int {
	if now < upstream.grantedUntil {
		return upstream.grantedSlots
	}
	return max(1, pool.service.Slots/max(1, pool.hostCount))
}

// resizeQueues adapts the queues to the current slot limits.
func (pool *pool) resizeQueues(now cherrykeel.Instant) {
	total := 0
	length := pool.service.QueueLength
	for name, upstream := range pool.upstreams {
		limit := pool.slotLimit(upstream, now)
		upstream.queue.Pause(upstream.health.RestUntil())
		upstream.queue.Resize(limit, length, now)
		if !pool.fleet.owners.IsDraining(pool.service, name) && !upstream.health.IsResting(now) {
			total += limit
		}
	}
	pool.queue.Pause(pool.restUntil(now))
	pool.queue.Resize(total, length*len(pool.upstreams), now)
}

// restUntil returns when the first of the service's upstreams accepts requests again, which may be in the past.
func (pool *pool) restUntil(now cherrykeel.Instant) cherrykeel.Instant {
	first := cherrykeel.Instant(math.MaxInt64)
	for name, upstream := range pool.upstreams {
		if !pool.fleet.owners.IsDraining(pool.service, name) && !upstream.health.IsDraining(now) {
			first = min(first, upstream.health.RestUntil())
		}
	}
	if first == math.MaxInt64 {
		return 0
	}
	return first
}

// SlotRequests returns the slots that this host requests, by service and upstream, for the services that it used
// recently.
func (fleet *Fleet) SlotRequests() map[string]map[string]admit.SlotRequest {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	now := fleet.clock.Now()
	requests := map[string]map[string]admit.SlotRequest{}
	for path, pool := range fleet.pools {
		pool.mutex.Lock()
		if pool.usedAt != 0 && now.Sub(pool.usedAt) < slotRequestWindow {
			requests[path] = pool.slotRequests()
		}
		pool.mutex.Unlock()
	}
	return requests
}

func (pool *pool) slotRequests() map[string]admit.SlotRequest {
	requests := map[string]admit.SlotRequest{}
	spread := (pool.queue.Waiting() + len(pool.upstreams) - 1) / max(1, len(pool.upstreams))
	for name, upstream := range pool.upstreams {
		requests[name] = admit.SlotRequest{InFlight: upstream.inFlight, Waiting: upstream.queue.Waiting()}
		if !pool.service.Keyed {
			requests[name] = admit.SlotRequest{InFlight: upstream.inFlight, Waiting: spread}
		}
	}
	return requests
}

// ApplySlotGrants records the slots that an allocator granted this host until an instant, by service and upstream.
func (fleet *Fleet) ApplySlotGrants(granted map[string]map[string]int, until cherrykeel.Instant) {
	for path, counts := range granted {
		pool := fleet.pool(path)
		if pool != nil {
			pool.applySlotGrants(counts, until)
		}
	}
}

func (pool *pool) applySlotGrants(counts map[string]int, until cherrykeel.Instant) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for name, count := range counts {
		if upstream := pool.upstreams[name]; upstream != nil {
			upstream.grantedSlots = count
			upstream.grantedUntil = until
		}
	}
	pool.resizeQueues(pool.fleet.clock.Now())
}

// ResizeQueues adapts the queues of all services to grants that have expired.
func (fleet *Fleet) ResizeQueues() {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	for _, pool := range fleet.pools {
		pool.mutex.Lock()
		pool.resizeQueues(fleet.clock.Now())
		pool.mutex.Unlock()
	}
}
