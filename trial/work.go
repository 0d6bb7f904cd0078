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

// HotKeyCount is the number of keys that may be hot. HotKeyName returns their names.
const HotKeyCount = 4

// OtherKey represents all keys of a partition that are never hot.
const OtherKey = "other"

// HotKeyName returns the name of a key that may be hot.
func HotKeyName(key int) string {
	return "key-" + strconv.Itoa(key)
}

const (
	// requestInterval is the mean time between two requests.
	requestInterval = 60 * time.Millisecond
	// MaxTransitTime is the longest transit time of a request, an answer or the end of a connection.
	MaxTransitTime = 200 * time.Millisecond
	// abandonRate is the share of callers that may disconnect before they are answered.
	abandonRate = 0.3
	// defaultLossRate is the default of Traffic.LossRate.
	defaultLossRate = 0.1
)

// execution is a request that an upstream has started to process. If upstreams check fences, it may take effect until its
// lease ends. Otherwise it may until its deadline; an upstream that was suspended drops it after that when it resumes.
type execution struct {
	upstream  *Upstream
	ownership *fakes.Ownership
	work      fakes.Work
	deadline  time.Duration
	partition int
	key       string
	finished  bool
}

// Traffic sends requests through a world's hosts. It has a random source of its own, so that it changes nothing else in a
// run, except which requests upstreams and hosts report as running.
type Traffic struct {
	world       *World
	random      *rand.Rand
	partitionOf func(key string) int
	blocked     func(from, to string) bool
	// LossRate is the share of requests, answers and ends of connections that are lost.
	LossRate float64
}

// NewTraffic returns the traffic of a world. The function blocked reports whether all messages from one process to another
// are lost now.
func NewTraffic(world *World, partitionOf func(key string) int, blocked func(from, to string) bool) *Traffic {
	return &Traffic{
		world:       world,
		random:      rand.New(rand.NewSource(world.Options.Seed)),
		partitionOf: partitionOf,
		blocked:     blocked,
		LossRate:    defaultLossRate,
	}
}

// Start sends requests at random times for as long as the world runs.
func (traffic *Traffic) Start() {
	traffic.world.Schedule(traffic.world.Now()+traffic.randomDuration(2*requestInterval), func() {
		traffic.sendRandom()
		traffic.Start()
	})
}

func (traffic *Traffic) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(traffic.random.Int63n(int64(limit)))
}

// sendRandom sends one caller's request through a random host, for a key that may be hot or for another one.
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
	callerTimeout := host.timeout
	if traffic.random.Float64() < abandonRate {
		callerTimeout = traffic.randomDuration(host.timeout)
	}
	traffic.Send(host, partition, key, traffic.randomDuration(2*host.timeout), callerTimeout)
}

// Send has a host send a request to an upstream. The upstream needs processingTime for it, and stops earlier at the
// request's deadline; the caller waits for callerTimeout. Send returns the upstream, or nil if the host may not send the
// request now.
func (traffic *Traffic) Send(host *Host, partition int, key string, processingTime, callerTimeout time.Duration) *Upstream {
	request := &request{
		traffic:        traffic,
		host:           host,
		startedAt:      traffic.world.local(&host.Process),
		sentAt:         traffic.world.Now(),
		timeout:        traffic.upstreamTimeout(host),
		processingTime: processingTime,
		execution:      &execution{partition: partition, key: key},
	}
	request.send(callerTimeout)
	return request.execution.upstream
}

// upstreamTimeout returns the timeout that a host may send to an upstream with a request.
func (traffic *Traffic) upstreamTimeout(host *Host) time.Duration {
	if !traffic.world.Options.NoFences {
		return host.timeout
	}
	now := traffic.world.local(&host.Process)
	return host.View.LimitDeadline(now.Add(host.timeout), now).Sub(now)
}

// request is a request that a host sends to an upstream.
type request struct {
	traffic        *Traffic
	host           *Host
	startedAt      cherrykeel.Instant
	sentAt         time.Duration
	timeout        time.Duration
	processingTime time.Duration
	execution      *execution
	// closed means that the host no longer waits for the answer.
	closed bool
}

func (request *request) send(callerTimeout time.Duration) {
	world := request.traffic.world
	request.execution.upstream = request.target()
	if request.execution.upstream == nil {
		return
	}
	if world.Options.NoFences {
		world.scheduleOn(&request.host.Process, min(callerTimeout, request.timeout), request.abandon)
	}
	request.transmit(request.host.Name, request.execution.upstream.Name, &request.execution.upstream.Process, request.onArrival)
}

// target returns the upstream to which the host sends the request, or nil if it may not send it. The host's view counts
// the request if upstreams check no fences.
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

// transmit delivers a message to a process, unless it is lost.
func (request *request) transmit(from, to string, process *Process, onArrival func()) {
	traffic := request.traffic
	transit := traffic.randomDuration(MaxTransitTime)
	if traffic.random.Float64() >= traffic.LossRate && !traffic.blocked(from, to) {
		traffic.world.scheduleOn(process, transit, onArrival)
	}
}

// onArrival starts to process the request, unless the host no longer waits: then the end of its connection arrives with
// the request. An upstream that was suspended reads requests late that arrived in its sockets meanwhile. If it checks no
// fences, it must drop them, since no other process can detect that they are late.
func (request *request) onArrival() {
	world, execution := request.traffic.world, request.execution
	late := world.now > request.sentAt+MaxTransitTime
	if request.closed || late && world.Options.NoFences {
		return
	}
	execution.ownership = execution.upstream.Ownership
	if !world.Options.NoFences && !execution.ownership.Owns(world.LocalTime(execution.upstream), execution.partition, execution.key) {
		return
	}
	execution.work = execution.ownership.Begin(execution.partition, execution.key)
	world.removeFinished()
	world.executions = append(world.executions, execution)
	// The upstream stops processing the request at its timeout, by its own clock.
	timeout := time.Duration(float64(request.timeout) / execution.upstream.clockRate)
	execution.deadline = world.LocalTime(execution.upstream) + request.timeout
	world.scheduleOn(&execution.upstream.Process, min(timeout, request.processingTime), request.finish)
}

// finish ends the processing and sends the answer.
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

// onAnswer has the host's view release the request, if the host still waits for it and upstreams check no fences.
func (request *request) onAnswer() {
	if request.closed || !request.traffic.world.Options.NoFences {
		return
	}
	request.closed = true
	request.host.View.FinishRequest(request.execution.upstream.Name, request.execution.partition, request.execution.key)
}

// abandon has the host stop waiting and close the connection. The upstream may receive that late or never.
func (request *request) abandon() {
	if request.closed {
		return
	}
	request.closed = true
	execution := request.execution
	releaseAt := request.startedAt.Add(lease.MaxProcessingTime(request.timeout))
	request.host.View.AbandonRequest(execution.upstream.Name, execution.partition, execution.key, releaseAt)
	request.transmit(request.host.Name, execution.upstream.Name, &execution.upstream.Process, func() {
		if execution.ownership != nil && !execution.finished {
			request.endExecution()
		}
	})
}

// isProcessing reports whether an upstream is processing a request for a key that may still take effect.
func (world *World) isProcessing(upstream *Upstream, partition int, key string) bool {
	for _, execution := range world.executions {
		if execution.upstream == upstream && execution.partition == partition && execution.key == key && world.mayTakeEffect(execution) {
			return true
		}
	}
	return false
}

// mayTakeEffect reports whether an execution is still running and may take effect.
func (world *World) mayTakeEffect(execution *execution) bool {
	if execution.finished || execution.upstream.Dead || execution.ownership != execution.upstream.Ownership {
		return false
	}
	now := world.LocalTime(execution.upstream)
	if world.Options.NoFences {
		return now < execution.deadline
	}
	return !execution.ownership.Lapsed(execution.work, now)
}

// removeFinished removes the executions that can no longer take effect.
func (world *World) removeFinished() {
	world.executions = slices.DeleteFunc(world.executions, func(execution *execution) bool { return !world.mayTakeEffect(execution) })
}
