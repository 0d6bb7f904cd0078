package edge

import (
	"math"
	"math/rand/v2"
	"sync"

	"cherrykeel"
	"cherrykeel/admit"
	"cherrykeel/demand"
	"cherrykeel/member"
	"cherrykeel/retry"
	"cherrykeel/views"
)

// Owners tells who owns a key of a service whose upstreams check fences.
type Owners interface {
	// Owner returns the upstream that should hold the key now, or an empty string.
	Owner(service string, partition int, key string) string
	// IsDraining reports whether an upstream must get no new work.
	IsDraining(service *cherrykeel.Service, upstream string) bool
}

// Fleet holds what this host knows of the upstreams of every service.
type Fleet struct {
	zone        string
	incarnation string
	clock       cherrykeel.Clock
	picker      cherrykeel.Picker
	owners      Owners
	mutex       sync.RWMutex
	pools       map[string]*pool
	// removedPools are the pools of services that were removed. One that is added again goes on with its view: a new
	// one would say that the host has sent nothing, while upstreams work on what it sent before.
	removedPools map[string]*pool
	setConnLimit func(address string, connections int)
	slotsNeeded  chan struct{}
}

// pool is one service's upstreams.
type pool struct {
	fleet     *Fleet
	mutex     sync.Mutex
	service   *cherrykeel.Service
	upstreams map[string]*upstream
	// queue admits to a service without keys as a whole.
	queue        *admit.Queue
	budget       *retry.Budget
	counter      *demand.Counter
	view         *views.View
	countedSince cherrykeel.Instant
	// usedAt is when a request last came.
	usedAt    cherrykeel.Instant
	hostCount int
}

type upstream struct {
	server       cherrykeel.UpstreamServer
	queue        *admit.Queue
	health       *member.Health
	reportedLoad float64
	inFlight     int
	// grantedSlots slots may be used until granted at the steward's word; after that, the host's even share.
	grantedSlots int
	grantedUntil cherrykeel.Instant
}

// NewFleet returns a fleet without services; limit is told how many connections an address may have.
func NewFleet(zone, incarnation string, clock cherrykeel.Clock, picker cherrykeel.Picker, owners Owners, setConnLimit func(address string, connections int)) *Fleet {
	return &Fleet{
		zone:         zone,
		incarnation:  incarnation,
		clock:        clock,
		picker:       picker,
		owners:       owners,
		pools:        map[string]*pool{},
		removedPools: map[string]*pool{},
		setConnLimit: setConnLimit,
		slotsNeeded:  make(chan struct{}, 1),
	}
}

// SlotsNeeded tells when a request waits for a slot that this host has not been given.
func (fleet *Fleet) SlotsNeeded() chan struct{} {
	return fleet.slotsNeeded
}

// Update takes in the services in force and the number of hosts that share the upstreams.
func (fleet *Fleet) Update(services map[string]*cherrykeel.Service, hosts int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for path, pool := range fleet.pools {
		if services[path] == nil {
			fleet.removedPools[path] = pool
			delete(fleet.pools, path)
		}
	}
	for path, service := range services {
		known, exists := fleet.pools[path]
		if !exists {
			known = fleet.restoreOrNewPool(service)
			fleet.pools[path] = known
		}
		known.update(service, hosts, !exists)
	}
}

// restoreOrNewPool returns the pool that the service had before it was removed, or a new one.
func (fleet *Fleet) restoreOrNewPool(service *cherrykeel.Service) *pool {
	known, exists := fleet.removedPools[service.Path]
	if !exists {
		return newPool(fleet, service)
	}
	delete(fleet.removedPools, service.Path)
	return known
}

func newPool(fleet *Fleet, service *cherrykeel.Service) *pool {
	return &pool{
		fleet:        fleet,
		service:      service,
		upstreams:    map[string]*upstream{},
		queue:        admit.NewQueue(1, 0),
		budget:       retry.NewBudget(),
		counter:      demand.NewCounter(service.Partitions),
		view:         views.New(fleet.incarnation, service.Path, service.Partitions),
		countedSince: fleet.clock.Now(),
	}
}

func (pool *pool) update(service *cherrykeel.Service, hosts int, first bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.fleet.clock.Now()
	if service.Partitions != pool.service.Partitions {
		pool.counter = demand.NewCounter(service.Partitions)
		pool.view.ClearGrant(service.Partitions)
	}
	pool.service = service
	pool.hostCount = hosts
	listed := map[string]bool{}
	for _, server := range service.Upstreams {
		listed[server.Name] = true
		known, exists := pool.upstreams[server.Name]
		if !exists {
			known = &upstream{health: member.NewHealth(now, first), queue: admit.NewQueue(0, service.QueueLength)}
			pool.upstreams[server.Name] = known
		}
		known.server = server
		pool.fleet.setConnLimit(server.Address, max(service.Slots, service.Connections/max(1, hosts)))
	}
	for name := range pool.upstreams {
		if !listed[name] {
			delete(pool.upstreams, name)
		}
	}
	pool.resizeQueues(now)
}

func (fleet *Fleet) pool(service string) *pool {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	return fleet.pools[service]
}

// Demands returns the requests a second of each keyed service since the last call.
func (fleet *Fleet) Demands(partitionOf func(service *cherrykeel.Service) func(string) int) map[string]cherrykeel.Demand {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	demands := map[string]cherrykeel.Demand{}
	for path, pool := range fleet.pools {
		pool.mutex.Lock()
		if pool.service.Keyed {
			demands[path] = pool.demand(partitionOf(pool.service))
		}
		pool.mutex.Unlock()
	}
	return demands
}

func (pool *pool) demand(partitionOf func(string) int) cherrykeel.Demand {
	now := pool.fleet.clock.Now()
	seconds := now.Sub(pool.countedSince).Seconds()
	pool.countedSince = now
	demand := pool.counter.Report(partitionOf)
	for partition := range demand.Partitions {
		demand.Partitions[partition] = roundToTenth(demand.Partitions[partition] / seconds)
	}
	for key := range demand.HotKeys {
		demand.HotKeys[key] = roundToTenth(demand.HotKeys[key] / seconds)
	}
	return demand
}

// roundToTenth keeps one decimal, so that reports stay short.
func roundToTenth(load float64) float64 {
	return math.Round(load*10) / 10
}

// UnavailableUpstreams names the upstreams, as service and name, that this host's requests cannot reach,
// and those that have told it that they take no new work.
func (fleet *Fleet) UnavailableUpstreams() (unreachable, refusing []string) {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	now := fleet.clock.Now()
	for path, pool := range fleet.pools {
		pool.mutex.Lock()
		for name, upstream := range pool.upstreams {
			if upstream.health.IsUnreachable() {
				unreachable = append(unreachable, path+" "+name)
			}
			if upstream.health.IsDraining(now) {
				refusing = append(refusing, path+" "+name)
			}
		}
		pool.mutex.Unlock()
	}
	return unreachable, refusing
}

// GrantOrQueryView passes a keeper's grant, or question, to this host's view of a service.
func (fleet *Fleet) GrantOrQueryView(query bool, grant cherrykeel.Grant) (cherrykeel.Holding, bool) {
	pool := fleet.pool(grant.Service)
	if pool == nil {
		return cherrykeel.Holding{}, false
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.fleet.clock.Now()
	if query {
		return pool.view.Holding(now), true
	}
	return pool.view.ApplyGrant(grant, now), true
}

// choose returns the upstream that a request without a key goes to, or nil. If this host's
// traffic shows all of them as failing, it passes over that: to try one is better than to refuse.
// The one that was tried last is passed over while there are others.
func (pool *pool) choose(now cherrykeel.Instant, previous string) *upstream {
	choices := pool.eligibleChoices(now, func(upstream *upstream) bool {
		return upstream.health.IsUsable(now) && upstream.server.Name != previous
	})
	if len(choices) == 0 {
		choices = pool.eligibleChoices(now, func(upstream *upstream) bool { return !upstream.health.IsDraining(now) })
	}
	index := pool.fleet.picker.Pick(pool.fleet.zone, choices, rand.Float64())
	if index < 0 {
		return nil
	}
	return pool.upstreams[choices[index].Name]
}

func (pool *pool) eligibleChoices(now cherrykeel.Instant, usable func(upstream *upstream) bool) []cherrykeel.Choice {
	choices := make([]cherrykeel.Choice, 0, len(pool.upstreams))
	for _, server := range pool.service.Upstreams {
		upstream := pool.upstreams[server.Name]
		if !usable(upstream) || pool.fleet.owners.IsDraining(pool.service, server.Name) {
			continue
		}
		choices = append(choices, cherrykeel.Choice{
			Name:         server.Name,
			Zone:         server.Zone,
			InFlight:     upstream.inFlight,
			Limit:        pool.slotLimit(upstream, now),
			ReportedLoad: upstream.reportedLoad,
			Weight:       upstream.health.Weight(now),
		})
	}
	return choices
}
