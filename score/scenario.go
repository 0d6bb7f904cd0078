package score

import (
	"time"

	"cherrykeel"
	"cherrykeel/trial"
)

const (
	calm = 20 * time.Second
	// watched is how long after the event gaps are measured, to the millisecond.
	watched = 12 * time.Second
	// settled is when churn and imbalance are read, after the event.
	settled = 90 * time.Second
)

// Scenario is one event, or a few, in a world that was calm before.
type Scenario struct {
	Name string
	// MinMoved is how many partitions must change owner because of it.
	MinMoved      func(world *trial.World) int
	Inject        func(world *trial.World)
	AdjustOptions func(options *trial.Options)
	// gone names the upstreams that are not there afterwards.
	gone func(world *trial.World) []string
}

func none(*trial.World) int { return 0 }

func owned(world *trial.World, names ...string) int {
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

// zoneOf returns the names of the upstreams in the zone of the first.
func zoneOf(world *trial.World) []string {
	var names []string
	for _, upstream := range world.Upstreams {
		if upstream.Zone == world.Upstreams[0].Zone {
			names = append(names, upstream.Name)
		}
	}
	return names
}

func lose(world *trial.World) { world.Kill(&world.Upstreams[0].Process) }

func loseKeeper(world *trial.World) { world.Kill(&world.KeeperHost().Process) }

func first(world *trial.World) []string { return []string{world.Upstreams[0].Name} }

func nobody(*trial.World) []string { return nil }

// Scenarios lists all in the order in which they are printed.
var Scenarios = []Scenario{
	{
		Name: "join", Inject: func(world *trial.World) { world.AddUpstream("up-new", 0) }, gone: nobody,
		MinMoved: func(world *trial.World) int { return world.Options.Partitions / (len(world.Upstreams) + 1) },
	},
	{
		Name: "planned leave", Inject: func(world *trial.World) { world.Upstreams[0].Draining = true }, gone: first,
		MinMoved: func(world *trial.World) int { return owned(world, first(world)...) },
	},
	{
		Name: "upstream lost", Inject: lose, gone: first,
		MinMoved: func(world *trial.World) int { return owned(world, first(world)...) },
	},
	{
		Name: "upstream frozen 8s", Inject: func(world *trial.World) { world.Upstreams[0].SuspendedUntil = world.Now() + 8*time.Second }, gone: nobody,
		// Its partitions must go elsewhere, and as many come back to it.
		MinMoved: func(world *trial.World) int { return 2 * owned(world, first(world)...) },
	},
	{
		Name: "zone lost", Inject: loseZone, gone: zoneOf,
		MinMoved: func(world *trial.World) int { return owned(world, zoneOf(world)...) },
	},
	{Name: "keeper lost", Inject: loseKeeper, MinMoved: none, gone: nobody},
	{
		Name: "keeper and upstream lost", Inject: func(world *trial.World) { loseKeeper(world); lose(world) }, gone: first,
		MinMoved: func(world *trial.World) int { return owned(world, first(world)...) },
	},
	{Name: "keeper stopped as planned", Inject: func(world *trial.World) { world.StartShutdown(world.KeeperHost()) }, MinMoved: none, gone: nobody},
	{Name: "all hosts restarted in turn", Inject: restartHosts, MinMoved: none, gone: nobody},
	{
		Name: "log out, upstream lost", Inject: func(world *trial.World) { outage(world, 30*time.Second); lose(world) }, gone: first,
		MinMoved: func(world *trial.World) int { return owned(world, first(world)...) },
	},
	{Name: "log out 60s", Inject: func(world *trial.World) { outage(world, 60*time.Second) }, MinMoved: none, gone: nobody},
	{
		Name: "no fences: planned leave", AdjustOptions: withoutFences, Inject: func(world *trial.World) { world.Upstreams[0].Draining = true }, gone: first,
		MinMoved: func(world *trial.World) int { return owned(world, first(world)...) },
	},
	{
		Name: "no fences: upstream lost", AdjustOptions: withoutFences, Inject: lose, gone: first,
		MinMoved: func(world *trial.World) int { return owned(world, first(world)...) },
	},
	{Name: "no fences: keeper lost", AdjustOptions: withoutFences, Inject: loseKeeper, MinMoved: none, gone: nobody},
}

func withoutFences(options *trial.Options) { options.NoFences = true }

func outage(world *trial.World, length time.Duration) {
	world.LogUnavailable = true
	world.Schedule(world.Now()+length, func() { world.LogUnavailable = false })
}

// loseZone takes the first availability zone away, entry hosts and upstreams alike.
func loseZone(world *trial.World) {
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

// restartHosts replaces every entry host by a new one, a second and a half apart.
func restartHosts(world *trial.World) {
	for i, host := range world.Hosts {
		world.Schedule(world.Now()+time.Duration(i)*1500*time.Millisecond, func() {
			world.AddHost("new-"+host.Name, i%world.Options.Zones)
			world.StartShutdown(host)
		})
	}
}
