package trial

import (
	"strconv"
	"time"
)

const (
	minTimeout = 300 * time.Millisecond
	maxTimeout = 4 * time.Second
)

// Adversary makes things go wrong in a world, from the world's own randomness.
type Adversary struct {
	world   *World
	blocked map[[2]string]time.Duration
	// LossRate and Late are the shares of messages that are lost, or take up to MaxDelay longer.
	LossRate  float64
	DelayRate float64
	MaxDelay  time.Duration
	// MeanFaultInterval is the mean time between two faults, MaxFault the longest that one lasts.
	MeanFaultInterval time.Duration
	MaxFaultDuration  time.Duration
	addedHosts        int
	faults            []func()
	stopped           bool
}

// NewAdversary returns an adversary that has taken over the world's network.
func NewAdversary(world *World) *Adversary {
	adversary := &Adversary{
		world:             world,
		blocked:           map[[2]string]time.Duration{},
		LossRate:          0.02,
		DelayRate:         0.02,
		MaxDelay:          30 * time.Second,
		MeanFaultInterval: 400 * time.Millisecond,
		MaxFaultDuration:  6 * time.Second,
	}
	adversary.faults = []func(){
		adversary.suspendHost, adversary.suspendKeeper, adversary.suspendUpstream,
		adversary.cutLinks, adversary.cutKeeperFromHosts, adversary.isolateKeeper, adversary.stopLog, adversary.cutHostFromLog,
		adversary.replaceHost, adversary.restartUpstream, adversary.shutDownHost,
		adversary.drainUpstream, adversary.changeDemand,
	}
	world.Network = adversary.transmit
	return adversary
}

// OnlyDrain makes the adversary drain and bring back upstreams in quick succession, over a network
// on which many messages take up to a lease's length, and do nothing else.
func (adversary *Adversary) OnlyDrain() {
	adversary.LossRate = 0.1
	adversary.DelayRate = 0.3
	adversary.MaxDelay = adversary.world.Options.LeaseLength
	adversary.MeanFaultInterval = 100 * time.Millisecond
	adversary.MaxFaultDuration = 600 * time.Millisecond
	adversary.faults = []func(){adversary.drainUpstream}
}

// OnlyIsolateKeepers makes the adversary do nothing but leave keepers alone with one upstream.
func (adversary *Adversary) OnlyIsolateKeepers() {
	adversary.MeanFaultInterval = 3 * time.Second
	adversary.faults = []func(){adversary.isolateKeeper}
}

// AddTraffic makes hosts send requests, over a network that loses some of their messages besides, and where upstreams
// check no fences, operators change the time that a request may take.
func (adversary *Adversary) AddTraffic(partitionOf func(key string) int) {
	blocked := func(from, to string) bool { return adversary.world.Now() < adversary.blocked[[2]string{from, to}] }
	traffic := NewTraffic(adversary.world, partitionOf, blocked)
	traffic.Start()
	if adversary.world.Options.NoFences {
		adversary.changeTimeouts(traffic)
	}
}

func (adversary *Adversary) changeTimeouts(traffic *Traffic) {
	adversary.world.Schedule(adversary.world.Now()+traffic.randomDuration(2*adversary.MaxFaultDuration), func() {
		timeout := minTimeout + traffic.randomDuration(maxTimeout-minTimeout)
		adversary.world.SetTimeout(timeout, func(*Host) time.Duration { return traffic.randomDuration(time.Second) })
		adversary.changeTimeouts(traffic)
	})
}

// Start begins to cause faults after a calm time.
func (adversary *Adversary) Start(calm time.Duration) {
	adversary.world.Schedule(calm, adversary.causeFault)
}

func (adversary *Adversary) transmit(from, to string) (time.Duration, bool) {
	random := adversary.world.Random
	if adversary.world.Now() < adversary.blocked[[2]string{from, to}] || random.Float64() < adversary.LossRate {
		return 0, true
	}
	if random.Float64() < adversary.DelayRate {
		// Half of the late messages come within about a lease, where they can do most harm.
		most := adversary.MaxDelay
		if random.Intn(2) == 0 {
			most = adversary.world.Options.LeaseLength
		}
		return time.Duration(random.Int63n(int64(most))), false
	}
	return time.Duration(random.Int63n(int64(5 * time.Millisecond))), false
}

// Stop ends all faults that the adversary would still cause; those that last end by themselves.
func (adversary *Adversary) Stop() {
	adversary.stopped = true
	adversary.LossRate = 0
	adversary.DelayRate = 0
}

func (adversary *Adversary) causeFault() {
	if adversary.stopped {
		return
	}
	adversary.faults[adversary.world.Random.Intn(len(adversary.faults))]()
	pause := adversary.randomDuration(2 * adversary.MeanFaultInterval)
	adversary.world.Schedule(adversary.world.Now()+pause, adversary.causeFault)
}

func (adversary *Adversary) randomDuration(most time.Duration) time.Duration {
	return time.Duration(adversary.world.Random.Int63n(int64(most)))
}

func (adversary *Adversary) scheduleRecovery(call func()) {
	adversary.world.Schedule(adversary.world.Now()+adversary.randomDuration(adversary.MaxFaultDuration), call)
}

func (adversary *Adversary) randomHost() *Host {
	hosts := adversary.world.Hosts
	return hosts[adversary.world.Random.Intn(len(hosts))]
}

func (adversary *Adversary) randomUpstream() *Upstream {
	upstreams := adversary.world.Upstreams
	return upstreams[adversary.world.Random.Intn(len(upstreams))]
}

func (adversary *Adversary) suspend(process *Process) {
	process.SuspendedUntil = adversary.world.Now() + adversary.randomDuration(adversary.MaxFaultDuration)
}

func (adversary *Adversary) suspendHost() { adversary.suspend(&adversary.randomHost().Process) }

func (adversary *Adversary) suspendKeeper() {
	if keeper := adversary.world.KeeperHost(); keeper != nil {
		adversary.suspend(&keeper.Process)
	}
}

func (adversary *Adversary) suspendUpstream() { adversary.suspend(&adversary.randomUpstream().Process) }

// cutLinks blocks messages between two processes, one way or both.
func (adversary *Adversary) cutLinks() {
	adversary.blockLink(adversary.randomHost().Name, adversary.randomUpstream().Name)
	adversary.blockLink(adversary.randomHost().Name, adversary.randomHost().Name)
}

func (adversary *Adversary) blockLink(one, other string) {
	until := adversary.world.Now() + adversary.randomDuration(adversary.MaxFaultDuration)
	adversary.blocked[[2]string{one, other}] = until
	if adversary.world.Random.Intn(2) == 0 {
		adversary.blocked[[2]string{other, one}] = until
	}
}

// cutKeeperFromHosts leaves the keeper with the upstreams and takes the other hosts away from it.
func (adversary *Adversary) cutKeeperFromHosts() {
	keeper := adversary.world.KeeperHost()
	if keeper == nil {
		return
	}
	for _, host := range adversary.world.Hosts {
		adversary.blockLink(host.Name, keeper.Name)
	}
}

// isolateKeeper leaves the keeper alone with one upstream for a long time, without the log,
// and lets the other hosts reach the keeper, but not the upstream, again after a while.
func (adversary *Adversary) isolateKeeper() {
	keeper := adversary.world.KeeperHost()
	if keeper == nil {
		return
	}
	now := adversary.world.Now()
	upstream := adversary.randomUpstream()
	keeper.LogUnreachable = true
	adversary.world.Schedule(now+adversary.MaxFaultDuration, func() { keeper.LogUnreachable = false })
	apart := now + adversary.randomDuration(3*time.Second)
	for _, host := range adversary.world.Hosts {
		if host == keeper {
			continue
		}
		adversary.blocked[[2]string{host.Name, keeper.Name}] = apart
		adversary.blocked[[2]string{keeper.Name, host.Name}] = apart
		adversary.blocked[[2]string{host.Name, upstream.Name}] = now + adversary.MaxFaultDuration
	}
}

func (adversary *Adversary) stopLog() {
	adversary.world.LogUnavailable = true
	adversary.scheduleRecovery(func() { adversary.world.LogUnavailable = false })
}

func (adversary *Adversary) cutHostFromLog() {
	host := adversary.randomHost()
	host.LogUnreachable = true
	adversary.scheduleRecovery(func() { host.LogUnreachable = false })
}

func (adversary *Adversary) replaceHost() {
	host := adversary.randomHost()
	if host.Dead {
		return
	}
	adversary.world.Kill(&host.Process)
	adversary.scheduleRecovery(adversary.addHost)
}

func (adversary *Adversary) addHost() {
	adversary.addedHosts++
	adversary.world.AddHost("new-"+strconv.Itoa(adversary.addedHosts), adversary.addedHosts%adversary.world.Options.Zones)
}

func (adversary *Adversary) restartUpstream() {
	upstream := adversary.randomUpstream()
	if upstream.Dead {
		return
	}
	adversary.world.Kill(&upstream.Process)
	adversary.scheduleRecovery(func() { adversary.world.RestartUpstream(upstream) })
}

func (adversary *Adversary) shutDownHost() {
	host := adversary.randomHost()
	if host.Dead || host.Leaving {
		return
	}
	adversary.world.StartShutdown(host)
	adversary.addHost()
}

func (adversary *Adversary) drainUpstream() {
	upstream := adversary.randomUpstream()
	upstream.Draining = true
	adversary.scheduleRecovery(func() { upstream.Draining = false })
}

// changeDemand makes some keys hot and lets others cool.
func (adversary *Adversary) changeDemand() {
	demand := &adversary.world.Demand
	demand.Partitions = make([]float64, adversary.world.Options.Partitions)
	demand.HotKeys = map[string]float64{}
	for partition := range demand.Partitions {
		demand.Partitions[partition] = adversary.world.Random.Float64() * 10
	}
	for key := range 4 {
		if adversary.world.Random.Intn(2) == 0 {
			demand.HotKeys["key-"+strconv.Itoa(key)] = adversary.world.Random.Float64() * 100
		}
	}
}
