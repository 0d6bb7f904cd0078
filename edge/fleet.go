package edge

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"cherrykeel"
	"cherrykeel/admit"
	"cherrykeel/demand"
	"cherrykeel/member"
	"cherrykeel/retry"
	"cherrykeel/views"
)

// maxReportAge is how long a report of an upstream's load counts. An upstream that reported a high one may get no request
// that would bring a new one.
const maxReportAge = 10 * time.Second

// Owners returns the owners of the keys of services whose upstreams check fences, and which upstreams are draining.
type Owners interface {
	// Owner returns the name of the upstream that should own the key now, or an empty string.
	Owner(service string, partition int, key string) string
	// IsDraining reports whether an upstream must get no new requests.
	IsDraining(service *cherrykeel.Service, upstream string) bool
}

// Fleet holds this host's state of the upstreams of every service. It is safe for concurrent use.
type Fleet struct {
	zone        string
	incarnation string
	clock       cherrykeel.Clock
	picker      cherrykeel.Picker
	owners      Owners
	mutex       sync.RWMutex
	pools       map[string]*pool
	// removedPools are the pools of services that were removed from the settings. A service that is added again gets
	// its pool back: a new view would report no requests in flight while upstreams still run earlier ones.
	removedPools map[string]*pool
	setConnLimit func(address string, connections int)
	slotsNeeded  chan struct{}
	stop         *stop
}

// pool is the state of one service and its upstreams.
type pool struct {
	fleet     *Fleet
	mutex     sync.Mutex
	service   *cherrykeel.Service
	upstreams map[string]*upstream
	// queue admits the requests of a service without keys, for all its upstreams.
	queue   *admit.Queue
	budget  *retry.Budget
	counter *demand.Counter
	view    *views.View
	// countedSince is when the counter was last reset.
	countedSince cherrykeel.Instant
	// usedAt is when the last request arrived.
	usedAt    cherrykeel.Instant
	hostCount int
}

type upstream struct {
	server       cherrykeel.UpstreamServer
	queue        *admit.Queue
	health       *member.Health
	reportedLoad float64
	// reportedAt is when the upstream reported its load.
	reportedAt cherrykeel.Instant
	inFlight   int
	// grantedSlots is the number of slots that the slot allocator granted until grantedUntil. After that the host uses
	// its even share.
	grantedSlots int
	grantedUntil cherrykeel.Instant
}

// NewFleet returns a fleet without services. incarnation identifies this start of the host's process; setConnLimit is
// called with the maximum number of connections to an address.
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
		stop:         &stop{begun: make(chan struct{})},
	}
}

// SlotsNeeded returns a channel that receives a value when a request starts to wait for a slot.
func (fleet *Fleet) SlotsNeeded() chan struct{} {
	return fleet.slotsNeeded
}

// Update applies the services in force and the number of hosts that share the upstreams.
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

// restoreOrNewPool returns the pool that the service had before it was removed, or else a new one.
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

// Demands returns the requests per second of each keyed service since the previous call.
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

// roundToTenth rounds to one decimal, so that reports stay short.
func roundToTenth(load float64) float64 {
	return math.Round(load*10) / 10
}

// UnavailableUpstreams returns the upstreams that this host's requests cannot reach, and those that refused requests
// since they are draining, each as the service's path and the upstream's name, separated by a space.
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

// GrantOrQueryView applies a keeper's grant to this host's lease on sending to a service, or, if query is true, only
// reads it. It returns the resulting holding, and false if the service is unknown.
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

// choose returns the upstream for a request without a key, or nil. It skips the upstream of the previous attempt and
// those that fail this host's requests. If that leaves none, it chooses among all that are neither draining nor resting,
// since an attempt is better than a refusal.
func (pool *pool) choose(now cherrykeel.Instant, previous string) *upstream {
	choices := pool.eligibleChoices(now, func(upstream *upstream) bool {
		return upstream.health.IsUsable(now) && upstream.server.Name != previous
	})
	if len(choices) == 0 {
		choices = pool.eligibleChoices(now, func(upstream *upstream) bool {
			return !upstream.health.IsDraining(now) && !upstream.health.IsResting(now)
		})
	}
	index := pool.fleet.picker.Pick(pool.fleet.zone, choices, rand.Float64())
	if index < 0 {
		return nil
	}
	return pool.upstreams[choices[index].Name]
}

// currentLoad returns the load that the upstream reported, or 0 if that was too long ago.
func (upstream *upstream) currentLoad(now cherrykeel.Instant) float64 {
	if now.Sub(upstream.reportedAt) >= maxReportAge {
		return 0
	}
	return upstream.reportedLoad
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
			ReportedLoad: upstream.currentLoad(now),
			Weight:       upstream.health.Weight(now),
		})
	}
	return choices
}
