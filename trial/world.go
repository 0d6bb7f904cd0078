package trial

import (
	"container/heap"
	"math/rand"
	"strconv"
	"time"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/fold"
	"cherrykeel/keeper"
	"cherrykeel/lease"
	"cherrykeel/place"
	"cherrykeel/views"
)

// Service is the path of the one service in a world.
const Service = "trial/keys"

const (
	tickInterval = 20 * time.Millisecond
	listDelay    = time.Second
)

// Options describe a world.
type Options struct {
	Seed       int64
	Hosts      int
	Upstreams  int
	Zones      int
	Partitions int
	// Latency is one message's time on the way.
	Latency time.Duration
	// MaxClockDrift is how far clocks run from true time at the most, as a share.
	MaxClockDrift float64
	LeaseLength   time.Duration
	// NoFences stands for upstreams that do not check who gives them orders.
	NoFences bool
	Disabled Safeguard
}

// Safeguard takes a safeguard away, to show that its loss is found.
type Safeguard string

// The safeguards that can be taken away.
const (
	// DisableNothing is the real thing.
	DisableNothing Safeguard = ""
	// DisableDeadline counts a lease from the grant's arrival, as a naive lease does.
	DisableDeadline Safeguard = "deadline"
	// DisableFences lets upstreams take grants of older terms.
	DisableFences Safeguard = "fences"
	// DisableWitnesses lets witnesses confirm any term.
	DisableWitnesses Safeguard = "witnesses"
)

// Network says what becomes of a message: how much longer than usual it takes, or that it is lost.
type Network func(from, to string) (delay time.Duration, lost bool)

// World is one run.
type World struct {
	Options   Options
	Random    *rand.Rand
	Settings  *cherrykeel.Service
	Hosts     []*Host
	Upstreams []*Upstream
	Network   Network
	// LogUnavailable makes every append and every read of the log fail.
	LogUnavailable bool
	Demand         cherrykeel.Demand
	Placer         cherrykeel.Placer
	// Steps counts everything that has happened; Check is called after each of them.
	Steps      int
	Check      func(world *World)
	logRecords [][]byte
	now        time.Duration
	events     eventQueue
	lastSerial int
	executions []*execution
}

// Process is what hosts and upstreams have in common.
type Process struct {
	Name string
	Zone string
	Dead bool
	// SuspendedUntil is when the process wakes; what reaches it before waits.
	SuspendedUntil time.Duration
	clockRate      float64
	clockOffset    time.Duration
}

// Host is an entry host's part in ownership.
type Host struct {
	Process
	Leaving bool
	// LogUnreachable keeps the log from this host alone.
	LogUnreachable bool
	Keeper         *keeper.Keeper
	Witness        *lease.Witness
	State          *fold.State
	// View is the host's lease on sending, for upstreams that do not check fences.
	View *views.View
	// timeout is the longest that a request may take, by the settings that the host has read.
	timeout    time.Duration
	claimIDs   map[string]bool
	diedAt     time.Duration
	shutdownAt time.Duration
}

// Upstream is a server that holds keys.
type Upstream struct {
	Process
	diedAt    time.Duration
	Ownership *fakes.Ownership
	// Draining keeps new work away.
	Draining bool
}

type event struct {
	dueAt  time.Duration
	serial int
	call   func()
}

type eventQueue []event

func (events eventQueue) Len() int { return len(events) }

func (events eventQueue) Less(i, j int) bool {
	if events[i].dueAt != events[j].dueAt {
		return events[i].dueAt < events[j].dueAt
	}
	return events[i].serial < events[j].serial
}

func (events eventQueue) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

func (events *eventQueue) Push(value any) { *events = append(*events, value.(event)) }

func (events *eventQueue) Pop() any {
	last := len(*events) - 1
	popped := (*events)[last]
	*events = (*events)[:last]
	return popped
}

// New returns a world in which nothing has happened yet.
func New(options Options) *World {
	world := &World{
		Options: options,
		Random:  rand.New(rand.NewSource(options.Seed)),
		Network: func(string, string) (time.Duration, bool) { return 0, false },
		Placer:  place.New(),
		Check:   func(*World) {},
		Settings: &cherrykeel.Service{
			Path:         Service,
			Keyed:        true,
			Partitions:   options.Partitions,
			ChecksFences: !options.NoFences,
			LeaseLength:  options.LeaseLength,
			Timeout:      time.Second,
		},
	}
	for i := range options.Upstreams {
		world.AddUpstream("up-"+strconv.Itoa(i), i%options.Zones)
	}
	for i := range options.Hosts {
		world.AddHost("host-"+strconv.Itoa(i), i%options.Zones)
	}
	return world
}

func (world *World) newProcess(name string, zone int) Process {
	drift := world.Options.MaxClockDrift * (2*world.Random.Float64() - 1)
	offset := time.Duration(world.Random.Int63n(int64(time.Hour))) + time.Second
	return Process{Name: name, Zone: "zone-" + strconv.Itoa(zone), clockRate: 1 + drift, clockOffset: offset}
}

// AddUpstream adds an upstream that owns nothing.
func (world *World) AddUpstream(name string, zone int) *Upstream {
	upstream := &Upstream{Process: world.newProcess(name, zone)}
	upstream.Ownership = fakes.NewOwnership(name+" "+strconv.Itoa(world.Steps), Service)
	world.Upstreams = append(world.Upstreams, upstream)
	world.Settings.Upstreams = append(world.Settings.Upstreams, cherrykeel.UpstreamServer{Name: name, Zone: upstream.Zone})
	return upstream
}

// AddHost adds an entry host that has read the log so far.
func (world *World) AddHost(name string, zone int) *Host {
	host := &Host{Process: world.newProcess(name, zone), State: fold.NewState(), claimIDs: map[string]bool{}}
	host.Witness = lease.NewWitness(world.local(&host.Process))
	host.Keeper = keeper.New(name, Service, host.Witness, world.Placer)
	host.View = views.New(name+" "+strconv.Itoa(world.Steps), Service, world.Options.Partitions)
	host.timeout = world.Settings.Timeout
	world.Hosts = append(world.Hosts, host)
	world.scheduleTick(host)
	world.scheduleLogRead(host)
	return host
}

// Now returns the true time since the start.
func (world *World) Now() time.Duration {
	return world.now
}

// local is a process's own monotonic time.
func (world *World) local(process *Process) cherrykeel.Instant {
	return cherrykeel.Instant(process.clockOffset + time.Duration(float64(world.now)*process.clockRate))
}

// LocalTime is an upstream's own monotonic time.
func (world *World) LocalTime(upstream *Upstream) time.Duration {
	return time.Duration(world.local(&upstream.Process))
}

// scheduleOn runs a step on a process after a delay; it waits while the process is paused and falls away if it is dead.
func (world *World) scheduleOn(process *Process, delay time.Duration, call func()) {
	world.lastSerial++
	heap.Push(&world.events, event{dueAt: world.now + delay, serial: world.lastSerial, call: func() {
		if process.Dead {
			return
		}
		if left := process.SuspendedUntil - world.now; left > 0 {
			world.scheduleOn(process, left, call)
			return
		}
		call()
	}})
}

// Schedule runs a scenario's step at a time.
func (world *World) Schedule(at time.Duration, call func()) {
	world.lastSerial++
	heap.Push(&world.events, event{dueAt: at, serial: world.lastSerial, call: call})
}

// send carries a message; a lost one is never delivered.
func (world *World) send(from, to *Process, call func()) {
	delay, lost := world.Network(from.Name, to.Name)
	if lost {
		return
	}
	world.scheduleOn(to, world.Options.Latency+delay, call)
}

// RunUntil goes on until a time.
func (world *World) RunUntil(until time.Duration) {
	for len(world.events) > 0 && world.events[0].dueAt <= until {
		next := heap.Pop(&world.events).(event)
		world.now = next.dueAt
		next.call()
		world.Steps++
		world.Check(world)
	}
	world.now = until
}

// Owners returns the upstreams that may act for a partition's keys now, by the clocks that decide:
// their own, or those of the hosts that send to them; and those that work on what they began before.
func (world *World) Owners(partition int, key string) []*Upstream {
	var owners []*Upstream
	for _, upstream := range world.Upstreams {
		if !upstream.Dead && (world.mayAct(upstream, partition, key) || world.isProcessing(upstream, partition, key)) {
			owners = append(owners, upstream)
		}
	}
	return owners
}

func (world *World) mayAct(upstream *Upstream, partition int, key string) bool {
	if !world.Options.NoFences {
		return upstream.Ownership.Owns(world.LocalTime(upstream), partition, key)
	}
	for _, host := range world.Hosts {
		if !host.Dead && world.SendTarget(host, partition, key) == upstream.Name {
			return true
		}
	}
	return false
}

// SendTarget returns the upstream that a host may send a key's requests to, where upstreams check no fences.
func (world *World) SendTarget(host *Host, partition int, key string) string {
	name, _ := host.View.Owner(partition, key, world.local(&host.Process))
	return name
}

// ServingUpstream returns the index of the upstream that answers a key's requests now, when they come
// through a host, or -1; it looks at the hinted one first.
func (world *World) ServingUpstream(host *Host, partition int, key string, hint int) int {
	if hint >= 0 && world.isServing(host, world.Upstreams[hint], partition, key) {
		return hint
	}
	for i, upstream := range world.Upstreams {
		if world.isServing(host, upstream, partition, key) {
			return i
		}
	}
	return -1
}

func (world *World) isServing(host *Host, upstream *Upstream, partition int, key string) bool {
	if upstream.Dead || world.now < upstream.SuspendedUntil {
		return false
	}
	if world.Options.NoFences {
		return world.SendTarget(host, partition, key) == upstream.Name
	}
	return upstream.Ownership.Owns(world.LocalTime(upstream), partition, key)
}

// KeeperHost returns the host that holds the role, or nil.
func (world *World) KeeperHost() *Host {
	for _, host := range world.Hosts {
		if !host.Dead && host.Keeper.HoldsRole() && host.State.Ownership[Service].Keeper == host.Name {
			return host
		}
	}
	return nil
}
