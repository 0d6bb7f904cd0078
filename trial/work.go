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
	// requestInterval is the mean time between two requests of a busy world.
	requestInterval = 60 * time.Millisecond
	// MaxTransitTime is the longest that a request of a busy world is on its way.
	MaxTransitTime = 200 * time.Millisecond
	// abandonRate is the share of callers that go away before they are answered.
	abandonRate = 0.3
	// defaultLossRate is the share of requests, answers and ends of connections that are lost.
	defaultLossRate = 0.1
)

// execution is a request that an upstream has begun. Where fences are checked it counts while its lease runs, else
// until the deadline that the upstream was told: one that was frozen drops it when it wakes.
type execution struct {
	upstream  *Upstream
	ownership *fakes.Ownership
	work      fakes.Work
	deadline  time.Duration
	partition int
	key       string
	finished  bool
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
		LossRate:    defaultLossRate,
	}
}

// Start begins to send, and goes on for as long as the world runs.
func (traffic *Traffic) Start() {
	traffic.world.Schedule(traffic.world.Now()+traffic.randomDuration(2*requestInterval), func() {
		traffic.sendRandom()
		traffic.Start()
	})
}

func (traffic *Traffic) randomDuration(most time.Duration) time.Duration {
	return time.Duration(traffic.random.Int63n(int64(most)))
}

// sendRandom is one caller's, for a key that may be hot or for another one.
func (traffic *Traffic) sendRandom() {
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
	if traffic.random.Float64() < abandonRate {
		waits = traffic.randomDuration(host.timeout)
	}
	traffic.Send(host, partition, key, traffic.randomDuration(2*host.timeout), waits)
}

// Send has a host pass on a request that takes an upstream a time, if its deadline leaves it that, and whose
// caller waits for a time. It returns the upstream, or nil if the host may not send it now.
func (traffic *Traffic) Send(host *Host, partition int, key string, takes, waits time.Duration) *Upstream {
	request := &request{
		traffic:        traffic,
		host:           host,
		startedAt:      traffic.world.local(&host.Process),
		sentAt:         traffic.world.Now(),
		timeout:        traffic.upstreamTimeout(host),
		processingTime: takes,
		execution:      &execution{partition: partition, key: key},
	}
	request.send(waits)
	return request.execution.upstream
}

// upstreamTimeout is what a host may tell an upstream.
func (traffic *Traffic) upstreamTimeout(host *Host) time.Duration {
	if !traffic.world.Options.NoFences {
		return host.timeout
	}
	now := traffic.world.local(&host.Process)
	return host.View.LimitDeadline(now.Add(host.timeout), now).Sub(now)
}

// request is one that a host passes on to an upstream.
type request struct {
	traffic        *Traffic
	host           *Host
	startedAt      cherrykeel.Instant
	sentAt         time.Duration
	timeout        time.Duration
	processingTime time.Duration
	execution      *execution
	// closed says that the host waits no more.
	closed bool
}

func (request *request) send(waits time.Duration) {
	world := request.traffic.world
	request.execution.upstream = request.target()
	if request.execution.upstream == nil {
		return
	}
	if world.Options.NoFences {
		world.scheduleOn(&request.host.Process, min(waits, request.timeout), request.abandon)
	}
	request.transmit(request.host.Name, request.execution.upstream.Name, &request.execution.upstream.Process, request.onArrival)
}

// target returns the upstream that the host sends to; the host's view counts the request.
func (request *request) target() *Upstream {
	world := request.traffic.world
	if !world.Options.NoFences {
		return world.Upstreams[request.traffic.random.Intn(len(world.Upstreams))]
	}
	name, allowed := request.host.View.StartRequest(request.execution.partition, request.execution.key, request.startedAt)
	if !allowed {
		return nil
	}
	return world.upstreamByName(name)
}

// transmit takes a message to a process, unless it is lost.
func (request *request) transmit(from, to string, process *Process, arrive func()) {
	traffic := request.traffic
	transit := traffic.randomDuration(MaxTransitTime)
	if traffic.random.Float64() >= traffic.LossRate && !traffic.blocked(from, to) {
		traffic.world.scheduleOn(process, transit, arrive)
	}
}

// onArrival begins the work, if the host still waits: else the end of its connection arrives with the request.
// An upstream that was frozen reads late what waited in its sockets; if it checks no fences, the design asks
// it to drop that, since it alone can tell.
func (request *request) onArrival() {
	world, work := request.traffic.world, request.execution
	late := world.now > request.sentAt+MaxTransitTime
	if request.closed || late && world.Options.NoFences {
		return
	}
	work.ownership = work.upstream.Ownership
	if !world.Options.NoFences && !work.ownership.Owns(world.LocalTime(work.upstream), work.partition, work.key) {
		return
	}
	work.work = work.ownership.Begin(work.partition, work.key)
	world.removeFinished()
	world.executions = append(world.executions, work)
	// The upstream ends by its own clock what has not been done in the time that it was told.
	told := time.Duration(float64(request.timeout) / work.upstream.clockRate)
	work.deadline = world.LocalTime(work.upstream) + request.timeout
	world.scheduleOn(&work.upstream.Process, min(told, request.processingTime), request.finish)
}

// finish ends the work and answers.
func (request *request) finish() {
	if request.execution.finished {
		return
	}
	request.endExecution()
	request.transmit(request.execution.upstream.Name, request.host.Name, &request.host.Process, request.onAnswer)
}

func (request *request) endExecution() {
	request.execution.finished = true
	request.execution.ownership.End(request.execution.work)
}

func (request *request) onAnswer() {
	if request.closed || !request.traffic.world.Options.NoFences {
		return
	}
	request.closed = true
	request.host.View.FinishRequest(request.execution.upstream.Name, request.execution.partition, request.execution.key)
}

// abandon is the end of the host's wait: it closes the connection, which the upstream may hear of late or never.
func (request *request) abandon() {
	if request.closed {
		return
	}
	request.closed = true
	work := request.execution
	until := request.startedAt.Add(lease.MaxProcessingTime(request.timeout))
	request.host.View.AbandonRequest(work.upstream.Name, work.partition, work.key, until)
	request.transmit(request.host.Name, work.upstream.Name, &work.upstream.Process, func() {
		if work.ownership != nil && !work.finished {
			request.endExecution()
		}
	})
}

// isProcessing reports whether an upstream works on a key, and may still bring that to effect.
func (world *World) isProcessing(upstream *Upstream, partition int, key string) bool {
	for _, work := range world.executions {
		if work.upstream == upstream && work.partition == partition && work.key == key && world.mayTakeEffect(work) {
			return true
		}
	}
	return false
}

func (world *World) mayTakeEffect(work *execution) bool {
	if work.finished || work.upstream.Dead || work.ownership != work.upstream.Ownership {
		return false
	}
	now := world.LocalTime(work.upstream)
	if world.Options.NoFences {
		return now < work.deadline
	}
	return !work.ownership.Lapsed(work.work, now)
}

// removeFinished drops what has ended.
func (world *World) removeFinished() {
	world.executions = slices.DeleteFunc(world.executions, func(work *execution) bool { return !world.mayTakeEffect(work) })
}
