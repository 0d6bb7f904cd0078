package score

import (
	"time"

	"cherrykeel"
	"cherrykeel/trial"
)

const (
	// settleTime is how long the world runs without events first.
	settleTime = 20 * time.Second
	// watchDuration is how long after the event gaps are recorded, to the millisecond.
	watchDuration = 12 * time.Second
	// finalDelay is how long after the event churn and imbalance are computed.
	finalDelay = 90 * time.Second
)

// Scenario injects one or more events into a world that has settled.
type Scenario struct {
	Name string
	// MinMoved returns how many partitions must change owner because of the events.
	MinMoved func(world *trial.World) int
	// Inject causes the events.
	Inject func(world *trial.World)
	// AdjustOptions changes the world's options beforehand; it may be nil.
	AdjustOptions func(options *trial.Options)
	// removed returns the names of the upstreams that are gone afterwards.
	removed func(world *trial.World) []string
}

func noMoves(*trial.World) int { return 0 }

func countOwned(world *trial.World, names ...string) int {
	count := 0
	for _, owner := range currentPlacement(world).Owners {
		for _, name := range names {
			if owner == name {
				count++
			}
		}
	}
	return count
}

func currentPlacement(world *trial.World) cherrykeel.Placement {
	for _, host := range world.Hosts {
		if !host.Dead && !host.LogUnreachable {
			return host.State.Ownership[trial.Service].Placement
		}
	}
	return cherrykeel.Placement{}
}

// upstreamsInFirstZone returns the names of the upstreams in the first upstream's availability zone.
func upstreamsInFirstZone(world *trial.World) []string {
	var names []string
	for _, upstream := range world.Upstreams {
		if upstream.Zone == world.Upstreams[0].Zone {
			names = append(names, upstream.Name)
		}
	}
	return names
}

func killUpstream(world *trial.World) { world.Kill(&world.Upstreams[0].Process) }

func killKeeper(world *trial.World) { world.Kill(&world.KeeperHost().Process) }

func firstUpstream(world *trial.World) []string { return []string{world.Upstreams[0].Name} }

func noUpstreams(*trial.World) []string { return nil }

// Scenarios lists all scenarios in the order in which they are printed.
var Scenarios = []Scenario{
	{
		Name: "join", Inject: func(world *trial.World) { world.AddUpstream("up-new", 0) }, removed: noUpstreams,
		MinMoved: func(world *trial.World) int { return world.Options.Partitions / (len(world.Upstreams) + 1) },
	},
	{
		Name: "planned leave", Inject: func(world *trial.World) { world.Upstreams[0].Draining = true }, removed: firstUpstream,
		MinMoved: func(world *trial.World) int { return countOwned(world, firstUpstream(world)...) },
	},
	{
		Name: "upstream lost", Inject: killUpstream, removed: firstUpstream,
		MinMoved: func(world *trial.World) int { return countOwned(world, firstUpstream(world)...) },
	},
	{
		Name: "upstream frozen 8s", Inject: func(world *trial.World) { world.Upstreams[0].SuspendedUntil = world.Now() + 8*time.Second }, removed: noUpstreams,
		// Its partitions must move to other upstreams, and as many must move back.
		MinMoved: func(world *trial.World) int { return 2 * countOwned(world, firstUpstream(world)...) },
	},
	{
		Name: "zone lost", Inject: killZone, removed: upstreamsInFirstZone,
		MinMoved: func(world *trial.World) int { return countOwned(world, upstreamsInFirstZone(world)...) },
	},
	{Name: "keeper lost", Inject: killKeeper, MinMoved: noMoves, removed: noUpstreams},
	{
		Name: "keeper and upstream lost", Inject: func(world *trial.World) { killKeeper(world); killUpstream(world) }, removed: firstUpstream,
		MinMoved: func(world *trial.World) int { return countOwned(world, firstUpstream(world)...) },
	},
	{Name: "keeper stopped as planned", Inject: func(world *trial.World) { world.StartShutdown(world.KeeperHost()) }, MinMoved: noMoves, removed: noUpstreams},
	{Name: "all hosts restarted in turn", Inject: restartHosts, MinMoved: noMoves, removed: noUpstreams},
	{
		Name: "log out, upstream lost", Inject: func(world *trial.World) { interruptLog(world, 30*time.Second); killUpstream(world) }, removed: firstUpstream,
		MinMoved: func(world *trial.World) int { return countOwned(world, firstUpstream(world)...) },
	},
	{Name: "log out 60s", Inject: func(world *trial.World) { interruptLog(world, 60*time.Second) }, MinMoved: noMoves, removed: noUpstreams},
	{
		Name: "no fences: planned leave", AdjustOptions: withoutFences, Inject: func(world *trial.World) { world.Upstreams[0].Draining = true }, removed: firstUpstream,
		MinMoved: func(world *trial.World) int { return countOwned(world, firstUpstream(world)...) },
	},
	{
		Name: "no fences: upstream lost", AdjustOptions: withoutFences, Inject: killUpstream, removed: firstUpstream,
		MinMoved: func(world *trial.World) int { return countOwned(world, firstUpstream(world)...) },
	},
	{Name: "no fences: keeper lost", AdjustOptions: withoutFences, Inject: killKeeper, MinMoved: noMoves, removed: noUpstreams},
}

func withoutFences(options *trial.Options) { options.NoFences = true }

func interruptLog(world *trial.World, length time.Duration) {
	world.LogUnavailable = true
	world.Schedule(world.Now()+length, func() { world.LogUnavailable = false })
}

// killZone kills all entry hosts and upstreams of the first upstream's availability zone.
func killZone(world *trial.World) {
	zone := world.Upstreams[0].Zone
	for _, upstream := range world.Upstreams {
		if upstream.Zone == zone {
			world.Kill(&upstream.Process)
		}
	}
	for _, host := range world.Hosts {
		if host.Zone == zone {
			world.Kill(&host.Process)
		}
	}
}

// restartHosts replaces every entry host by a new one, 1.5 s apart.
func restartHosts(world *trial.World) {
	for i, host := range world.Hosts {
		world.Schedule(world.Now()+time.Duration(i)*1500*time.Millisecond, func() {
			world.AddHost("new-"+host.Name, i%world.Options.Zones)
			world.StartShutdown(host)
		})
	}
}
