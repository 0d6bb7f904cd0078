package trial

import (
	"strconv"
	"time"
)

const (
	minTimeout = 300 * time.Millisecond
	maxTimeout = 4 * time.Second
)

// Adversary injects faults into a world. It uses the world's random source.
type Adversary struct {
	world   *World
	blocked map[[2]string]time.Duration
	// LossRate and DelayRate are the shares of messages that are lost, or that take up to MaxDelay longer.
	LossRate  float64
	DelayRate float64
	MaxDelay  time.Duration
	// MeanFaultInterval is the mean time between two faults, and MaxFaultDuration the longest time that one lasts.
	MeanFaultInterval time.Duration
	MaxFaultDuration  time.Duration
	addedHosts        int
	faults            []func()
	stopped           bool
}

// NewAdversary returns an adversary and sets the world's network to it.
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

// OnlyDrain limits the faults to upstreams that drain and come back in quick succession, over a network in which many
// messages are delayed by up to the lease duration.
func (adversary *Adversary) OnlyDrain() {
	adversary.LossRate = 0.1
	adversary.DelayRate = 0.3
	adversary.MaxDelay = adversary.world.Options.LeaseLength
	adversary.MeanFaultInterval = 100 * time.Millisecond
	adversary.MaxFaultDuration = 600 * time.Millisecond
	adversary.faults = []func(){adversary.drainUpstream}
}

// OnlyIsolateKeepers limits the faults to isolated keepers, each of which is the only host that reaches an upstream.
func (adversary *Adversary) OnlyIsolateKeepers() {
	adversary.MeanFaultInterval = 3 * time.Second
	adversary.faults = []func(){adversary.isolateKeeper}
}

// AddTraffic makes hosts send requests, over the same blocked links and with some further loss. If upstreams check no
// fences, the service's timeout is changed at random times too.
func (adversary *Adversary) AddTraffic(partitionOf func(key string) int) {
	blocked := func(from, to string) bool { return adversary.world.Now() < adversary.blocked[[2]string{from, to}] }
	traffic := NewTraffic(adversary.world, partitionOf, blocked)
	traffic.Start()
	if adversary.world.Options.NoFences {
		adversary.changeTimeouts(traffic)
	}
}

// changeTimeouts changes the service's timeout at random times, to at least minTimeout and less than maxTimeout.
func (adversary *Adversary) changeTimeouts(traffic *Traffic) {
	adversary.world.Schedule(adversary.world.Now()+traffic.randomDuration(2*adversary.MaxFaultDuration), func() {
		timeout := minTimeout + traffic.randomDuration(maxTimeout-minTimeout)
		adversary.world.SetTimeout(timeout, func(*Host) time.Duration { return traffic.randomDuration(time.Second) })
		adversary.changeTimeouts(traffic)
	})
}

// Start starts to inject faults after a delay.
func (adversary *Adversary) Start(delay time.Duration) {
	adversary.world.Schedule(delay, adversary.causeFault)
}

// transmit is the world's Network.
func (adversary *Adversary) transmit(from, to string) (time.Duration, bool) {
	random := adversary.world.Random
	if adversary.world.Now() < adversary.blocked[[2]string{from, to}] || random.Float64() < adversary.LossRate {
		return 0, true
	}
	if random.Float64() < adversary.DelayRate {
		// Half of the delayed messages arrive within about the lease duration, where they can do the most harm.
		maxDelay := adversary.MaxDelay
		if random.Intn(2) == 0 {
			maxDelay = adversary.world.Options.LeaseLength
		}
		return time.Duration(random.Int63n(int64(maxDelay))), false
	}
	return time.Duration(random.Int63n(int64(5 * time.Millisecond))), false
}

// Stop stops injecting faults, and losing or delaying messages at random. Faults in progress end after their own duration.
func (adversary *Adversary) Stop() {
	adversary.stopped = true
	adversary.LossRate = 0
	adversary.DelayRate = 0
}

// causeFault injects one random fault and schedules the next one.
func (adversary *Adversary) causeFault() {
	if adversary.stopped {
		return
	}
	adversary.faults[adversary.world.Random.Intn(len(adversary.faults))]()
	interval := adversary.randomDuration(2 * adversary.MeanFaultInterval)
	adversary.world.Schedule(adversary.world.Now()+interval, adversary.causeFault)
}

func (adversary *Adversary) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(adversary.world.Random.Int63n(int64(limit)))
}

// scheduleRecovery schedules the end of a fault that starts now, at a random time within MaxFaultDuration.
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

// cutLinks blocks messages between a host and an upstream and between two hosts, one way or both.
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

// cutKeeperFromHosts blocks messages between the keeper and the other hosts, so that it reaches only upstreams.
func (adversary *Adversary) cutKeeperFromHosts() {
	keeper := adversary.world.KeeperHost()
	if keeper == nil {
		return
	}
	for _, host := range adversary.world.Hosts {
		adversary.blockLink(host.Name, keeper.Name)
	}
}

// isolateKeeper makes the keeper the only host that reaches one of the upstreams, and cuts it off from the log, both for
// MaxFaultDuration. For a random time of up to 3 s it also cuts the keeper off from the other hosts.
func (adversary *Adversary) isolateKeeper() {
	keeper := adversary.world.KeeperHost()
	if keeper == nil {
		return
	}
	now := adversary.world.Now()
	upstream := adversary.randomUpstream()
	keeper.LogUnreachable = true
	adversary.world.Schedule(now+adversary.MaxFaultDuration, func() { keeper.LogUnreachable = false })
	isolatedUntil := now + adversary.randomDuration(3*time.Second)
	for _, host := range adversary.world.Hosts {
		if host == keeper {
			continue
		}
		adversary.blocked[[2]string{host.Name, keeper.Name}] = isolatedUntil
		adversary.blocked[[2]string{keeper.Name, host.Name}] = isolatedUntil
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

// changeDemand gives partitions a random demand, and makes random keys hot.
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
