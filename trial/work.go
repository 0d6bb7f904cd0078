package trial

import (
	"math/rand"
	"slices"
	"strconv"
	"time"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/lease"
)

// HotKeyCount is how many keys may be hot; their names are those of KeyName.
const HotKeyCount = 4

// OtherKey stands for the keys of a partition that are never hot.
const OtherKey = "other"

// HotKeyName returns the name of a key that may be hot.
func HotKeyName(key int) string {
	return "key-" + strconv.Itoa(key)
}

const (
	// workPause is the mean time between two requests of a busy world.
	workPause = 60 * time.Millisecond
	// MaxTransitTime is the longest that a request of a busy world is on its way.
	MaxTransitTime = 200 * time.Millisecond
	// leaveShare is the share of callers that go away before they are answered.
	leaveShare = 0.3
	// lostShare is the share of requests, answers and ends of connections that are lost.
	lostShare = 0.1
)

// work is a request that an upstream has begun. Where fences are checked it counts while its lease runs, else
// until the deadline that the upstream was told: one that was frozen drops it when it wakes.
type work struct {
	upstream  *Upstream
	ownership *fakes.Ownership
	begun     fakes.Work
	deadline  time.Duration
	partition int
	key       string
	ended     bool
}

// Traffic sends requests through a world's hosts. It has randomness of its own, so that it changes nothing
// else in a run, but for what upstreams and hosts say that they work on.
type Traffic struct {
	world       *World
	random      *rand.Rand
	partitionOf func(key string) int
	blocked     func(from, to string) bool
	// LossRate is the share of requests, answers and ends of connections that are lost.
	LossRate float64
}

// NewTraffic returns the traffic of a world; blocked reports whether messages between two processes are lost now.
func NewTraffic(world *World, partitionOf func(key string) int, blocked func(from, to string) bool) *Traffic {
	return &Traffic{
		world:       world,
		random:      rand.New(rand.NewSource(world.Options.Seed)),
		partitionOf: partitionOf,
		blocked:     blocked,
		LossRate:    lostShare,
	}
}

// Start begins to send, and goes on for as long as the world runs.
func (traffic *Traffic) Start() {
	traffic.world.Schedule(traffic.world.Now()+traffic.within(2*workPause), func() {
		traffic.request()
		traffic.Start()
	})
}

func (traffic *Traffic) within(most time.Duration) time.Duration {
	return time.Duration(traffic.random.Int63n(int64(most)))
}

// request is one caller's, for a key that may be hot or for another one.
func (traffic *Traffic) request() {
	key := OtherKey
	partition := traffic.random.Intn(traffic.world.Options.Partitions)
	if traffic.random.Intn(2) == 0 {
		key = HotKeyName(traffic.random.Intn(HotKeyCount))
		partition = traffic.partitionOf(key)
	}
	host := traffic.world.Hosts[traffic.random.Intn(len(traffic.world.Hosts))]
	if host.Dead || traffic.world.Now() < host.SuspendedUntil {
		return
	}
	waits := host.timeout
	if traffic.random.Float64() < leaveShare {
		waits = traffic.within(host.timeout)
	}
	traffic.Send(host, partition, key, traffic.within(2*host.timeout), waits)
}

// Send has a host pass on a request that takes an upstream a time, if its deadline leaves it that, and whose
// caller waits for a time. It returns the upstream, or nil if the host may not send it now.
func (traffic *Traffic) Send(host *Host, partition int, key string, takes, waits time.Duration) *Upstream {
	request := &request{
		traffic: traffic,
		host:    host,
		begun:   traffic.world.local(&host.Process),
		sentAt:  traffic.world.Now(),
		timeout: traffic.timeout(host),
		takes:   takes,
		work:    &work{partition: partition, key: key},
	}
	request.send(waits)
	return request.work.upstream
}

// timeout is what a host may tell an upstream.
func (traffic *Traffic) timeout(host *Host) time.Duration {
	if !traffic.world.Options.NoFences {
		return host.timeout
	}
	now := traffic.world.local(&host.Process)
	return host.View.LimitDeadline(now.Add(host.timeout), now).Sub(now)
}

// request is one that a host passes on to an upstream.
type request struct {
	traffic *Traffic
	host    *Host
	begun   cherrykeel.Instant
	sentAt  time.Duration
	timeout time.Duration
	takes   time.Duration
	work    *work
	// left says that the host waits no more.
	left bool
}

func (request *request) send(waits time.Duration) {
	world := request.traffic.world
	request.work.upstream = request.target()
	if request.work.upstream == nil {
		return
	}
	if world.Options.NoFences {
		world.at(&request.host.Process, min(waits, request.timeout), request.abandon)
	}
	request.carry(request.host.Name, request.work.upstream.Name, &request.work.upstream.Process, request.arrive)
}

// target returns the upstream that the host sends to; the host's view counts the request.
func (request *request) target() *Upstream {
	world := request.traffic.world
	if !world.Options.NoFences {
		return world.Upstreams[request.traffic.random.Intn(len(world.Upstreams))]
	}
	name, allowed := request.host.View.StartRequest(request.work.partition, request.work.key, request.begun)
	if !allowed {
		return nil
	}
	return world.upstream(name)
}

// carry takes a message to a process, unless it is lost.
func (request *request) carry(from, to string, process *Process, arrive func()) {
	traffic := request.traffic
	transit := traffic.within(MaxTransitTime)
	if traffic.random.Float64() >= traffic.LossRate && !traffic.blocked(from, to) {
		traffic.world.at(process, transit, arrive)
	}
}

// arrive begins the work, if the host still waits: else the end of its connection arrives with the request.
// An upstream that was frozen reads late what waited in its sockets; if it checks no fences, the design asks
// it to drop that, since it alone can tell.
func (request *request) arrive() {
	world, work := request.traffic.world, request.work
	late := world.now > request.sentAt+MaxTransitTime
	if request.left || late && world.Options.NoFences {
		return
	}
	work.ownership = work.upstream.Ownership
	if !world.Options.NoFences && !work.ownership.Owns(world.LocalTime(work.upstream), work.partition, work.key) {
		return
	}
	work.begun = work.ownership.Begin(work.partition, work.key)
	world.forgetWork()
	world.work = append(world.work, work)
	// The upstream ends by its own clock what has not been done in the time that it was told.
	told := time.Duration(float64(request.timeout) / work.upstream.rate)
	work.deadline = world.LocalTime(work.upstream) + request.timeout
	world.at(&work.upstream.Process, min(told, request.takes), request.finish)
}

// finish ends the work and answers.
func (request *request) finish() {
	if request.work.ended {
		return
	}
	request.end()
	request.carry(request.work.upstream.Name, request.host.Name, &request.host.Process, request.answered)
}

func (request *request) end() {
	request.work.ended = true
	request.work.ownership.End(request.work.begun)
}

func (request *request) answered() {
	if request.left || !request.traffic.world.Options.NoFences {
		return
	}
	request.left = true
	request.host.View.FinishRequest(request.work.upstream.Name, request.work.partition, request.work.key)
}

// abandon is the end of the host's wait: it closes the connection, which the upstream may hear of late or never.
func (request *request) abandon() {
	if request.left {
		return
	}
	request.left = true
	work := request.work
	until := request.begun.Add(lease.MaxProcessingTime(request.timeout))
	request.host.View.AbandonRequest(work.upstream.Name, work.partition, work.key, until)
	request.carry(request.host.Name, work.upstream.Name, &work.upstream.Process, func() {
		if work.ownership != nil && !work.ended {
			request.end()
		}
	})
}

// atWork reports whether an upstream works on a key, and may still bring that to effect.
func (world *World) atWork(upstream *Upstream, partition int, key string) bool {
	for _, work := range world.work {
		if work.upstream == upstream && work.partition == partition && work.key == key && world.counts(work) {
			return true
		}
	}
	return false
}

func (world *World) counts(work *work) bool {
	if work.ended || work.upstream.Dead || work.ownership != work.upstream.Ownership {
		return false
	}
	now := world.LocalTime(work.upstream)
	if world.Options.NoFences {
		return now < work.deadline
	}
	return !work.ownership.Lapsed(work.begun, now)
}

// forgetWork drops what has ended.
func (world *World) forgetWork() {
	world.work = slices.DeleteFunc(world.work, func(work *work) bool { return !world.counts(work) })
}
