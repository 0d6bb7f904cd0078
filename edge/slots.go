package edge

import (
	"time"

	"cherrykeel"
	"cherrykeel/admit"
)

// slotRequestWindow is how long after its last request a service's slots are still asked for.
const slotRequestWindow = 10 * time.Second

// slotLimit is how many requests this host may have on an upstream now: what the steward gave it,
// or, while no steward answers, the even share, which may exceed the slots where hosts outnumber them.
func (pool *pool) slotLimit(upstream *upstream, now cherrykeel.Instant) int {
	if now < upstream.grantedUntil {
		return upstream.grantedSlots
	}
	return max(1, pool.service.Slots/max(1, pool.hostCount))
}

// resizeQueues brings the queues in step with the limits.
func (pool *pool) resizeQueues(now cherrykeel.Instant) {
	total := 0
	length := pool.service.QueueLength
	for name, upstream := range pool.upstreams {
		limit := pool.slotLimit(upstream, now)
		upstream.queue.Resize(limit, length, now)
		if !pool.fleet.owners.IsDraining(pool.service, name) {
			total += limit
		}
	}
	pool.queue.Resize(total, length*len(pool.upstreams), now)
}

// SlotRequests returns what this host asks of the slots of the services that it has used of late.
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

// ApplySlotGrants takes in the slots that a steward gave this host until an instant.
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

// ResizeQueues brings the queues of all services in step with grants that have ended.
func (fleet *Fleet) ResizeQueues() {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	for _, pool := range fleet.pools {
		pool.mutex.Lock()
		pool.resizeQueues(fleet.clock.Now())
		pool.mutex.Unlock()
	}
}
