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
	// tickInterval is the time between two steps of a host's keeper.
	tickInterval = 20 * time.Millisecond
	// listDelay is the time after which hosts see that another host leaves or has ended.
	listDelay = time.Second
)

// Options configures a World.
type Options struct {
	// Seed seeds the random sources of the world and of its traffic.
	Seed int64
	// Hosts, Upstreams and Zones are the numbers at the start of the run; hosts and upstreams are spread over the zones.
	Hosts     int
	Upstreams int
	Zones     int
	// Partitions is the service's number of partitions.
	Partitions int
	// Latency is the transit time of a message.
	Latency time.Duration
	// MaxClockDrift is the largest deviation of a clock's rate from true time, as a fraction.
	MaxClockDrift float64
	// LeaseLength is the service's lease duration.
	LeaseLength time.Duration
	// NoFences means that upstreams do not check the fences of grants.
	NoFences bool
	// Disabled is the safeguard to disable, if any.
	Disabled Safeguard
}

// Safeguard is a safeguard that a world can disable, to show that a test detects its absence.
type Safeguard string

// The safeguards that can be disabled.
const (
	// DisableNothing keeps all safeguards.
	DisableNothing Safeguard = ""
	// DisableDeadline counts a lease from the arrival of its grant instead of using the grant's deadline.
	DisableDeadline Safeguard = "deadline"
	// DisableFences lets upstreams accept grants of older terms.
	DisableFences Safeguard = "fences"
	// DisableWitnesses lets witnesses confirm any term.
	DisableWitnesses Safeguard = "witnesses"
)

// Network returns how much longer than usual a message between two processes takes, or that it is lost.
type Network func(from, to string) (delay time.Duration, lost bool)

// World is the state of one run.
type World struct {
	Options Options
	// Random is the random source of the world and its adversary.
	Random *rand.Rand
	// Settings has the service's current settings; hosts read changes of the timeout later.
	Settings *cherrykeel.Service
	// Hosts and Upstreams contain dead ones too.
	Hosts     []*Host
	Upstreams []*Upstream
	// Network is called for each message; by default, it neither delays nor loses any.
	Network Network
	// LogUnavailable makes every append to the log and every read of it fail.
	LogUnavailable bool
	// Demand is the demand that every keeper sees.
	Demand cherrykeel.Demand
	// Placer is used by the keepers of hosts that are added later.
	Placer cherrykeel.Placer
	// Steps counts the events so far. Check is called after each of them.
	Steps      int
	Check      func(world *World)
	logRecords [][]byte
	now        time.Duration
	events     eventQueue
	lastSerial int
	executions []*execution
}

// Process is the common part of a Host and an Upstream.
type Process struct {
	Name string
	Zone string
	// Dead means that the process has ended; its pending events are dropped.
	Dead bool
	// SuspendedUntil is the time until which the process is suspended. Its events before that are deferred.
	SuspendedUntil time.Duration
	clockRate      float64
	clockOffset    time.Duration
}

// Host is an entry host, as far as it takes part in ownership.
type Host struct {
	Process
	// Leaving means that the host is shutting down gracefully.
	Leaving bool
	// LogUnreachable makes the log unreachable for this host alone.
	LogUnreachable bool
	Keeper         *keeper.Keeper
	Witness        *lease.Witness
	// State is folded from the records of the log that the host has read.
	State *fold.State
	// View is the host's lease on sending requests, which is used if upstreams check no fences.
	View *views.View
	// timeout is the service's timeout that the host has read.
	timeout time.Duration
	// claimIDs has the IDs of the claims that this host has sent to the log.
	claimIDs   map[string]bool
	diedAt     time.Duration
	shutdownAt time.Duration
}

// Upstream is a server that owns keys.
type Upstream struct {
	Process
	diedAt time.Duration
	// Ownership has the keys that the current process was granted.
	Ownership *fakes.Ownership
	// Draining means that the upstream gets no new keys.
	Draining bool
}

// event is a call that is due at a true time; events due at the same time run in the order of their serial numbers.
type event struct {
	dueAt  time.Duration
	serial int
	call   func()
}

// eventQueue is a heap of events by due time.
type eventQueue []event

func (eventQueue eventQueue) Len() int { return len(eventQueue) }

func (eventQueue eventQueue) Less(i, j int) bool {
	if eventQueue[i].dueAt != eventQueue[j].dueAt {
		return eventQueue[i].dueAt < eventQueue[j].dueAt
	}
	return eventQueue[i].serial < eventQueue[j].serial
}

func (eventQueue eventQueue) Swap(i, j int) {
	eventQueue[i], eventQueue[j] = eventQueue[j], eventQueue[i]
}

func (eventQueue *eventQueue) Push(value any) { *eventQueue = append(*eventQueue, value.(event)) }

func (eventQueue *eventQueue) Pop() any {
	last := len(*eventQueue) - 1
	popped := (*eventQueue)[last]
	*eventQueue = (*eventQueue)[:last]
	return popped
}

// New returns a world before its first event.
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

// AddHost adds an entry host, which then reads the log from its start.
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

// Now returns the true time since the start of the run.
func (world *World) Now() time.Duration {
	return world.now
}

// local returns a process's own monotonic time.
func (world *World) local(process *Process) cherrykeel.Instant {
	return cherrykeel.Instant(process.clockOffset + time.Duration(float64(world.now)*process.clockRate))
}

// LocalTime returns an upstream's own monotonic time.
func (world *World) LocalTime(upstream *Upstream) time.Duration {
	return time.Duration(world.local(&upstream.Process))
}

// scheduleOn schedules a call in a process after a delay. It is deferred while the process is suspended, and dropped if
// it is dead.
func (world *World) scheduleOn(process *Process, delay time.Duration, call func()) {
	world.lastSerial++
	heap.Push(&world.events, event{dueAt: world.now + delay, serial: world.lastSerial, call: func() {
		if process.Dead {
			return
		}
		if remaining := process.SuspendedUntil - world.now; remaining > 0 {
			world.scheduleOn(process, remaining, call)
			return
		}
		call()
	}})
}

// Schedule schedules a call at a true time, independently of any process.
func (world *World) Schedule(dueAt time.Duration, call func()) {
	world.lastSerial++
	heap.Push(&world.events, event{dueAt: dueAt, serial: world.lastSerial, call: call})
}

// send delivers a message to a process after the network's delay, unless the network loses it.
func (world *World) send(from, to *Process, call func()) {
	delay, lost := world.Network(from.Name, to.Name)
	if lost {
		return
	}
	world.scheduleOn(to, world.Options.Latency+delay, call)
}

// RunUntil runs all events up to a true time.
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

// Owners returns the upstreams that may act for a key now: those that own it by their own clocks or, if they check no
// fences, by the clocks of the hosts that send to them, and those that still process an earlier request for it.
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

// SendTarget returns the upstream to which a host may send a key's requests if upstreams check no fences, or "".
func (world *World) SendTarget(host *Host, partition int, key string) string {
	name, _ := host.View.Owner(partition, key, world.local(&host.Process))
	return name
}

// ServingUpstream returns the index of the upstream that answers a key's requests now if they come through a host, and -1
// if there is none. It checks the upstream at the index hint first, if that is not negative.
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

// KeeperHost returns the host that is the service's keeper, or nil.
func (world *World) KeeperHost() *Host {
	for _, host := range world.Hosts {
		if !host.Dead && host.Keeper.HoldsRole() && host.State.Ownership[Service].Keeper == host.Name {
			return host
		}
	}
	return nil
}
