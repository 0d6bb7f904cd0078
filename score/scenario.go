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
	// Least is how many partitions must change owner because of it.
	Least   func(world *trial.World) int
	Strike  func(world *trial.World)
	Options func(options *trial.Options)
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
		if !host.Dead && !host.CutFromLog {
			return host.State.Blocks[trial.Service].Placement
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
		Name: "join", Strike: func(world *trial.World) { world.AddUpstream("up-new", 0) }, gone: nobody,
		Least: func(world *trial.World) int { return world.Options.Partitions / (len(world.Upstreams) + 1) },
	},
	{
		Name: "planned leave", Strike: func(world *trial.World) { world.Upstreams[0].Draining = true }, gone: first,
		Least: func(world *trial.World) int { return owned(world, first(world)...) },
	},
	{
		Name: "upstream lost", Strike: lose, gone: first,
		Least: func(world *trial.World) int { return owned(world, first(world)...) },
	},
	{
		Name: "upstream frozen 8s", Strike: func(world *trial.World) { world.Upstreams[0].PausedUntil = world.Now() + 8*time.Second }, gone: nobody,
		// Its partitions must go elsewhere, and as many come back to it.
		Least: func(world *trial.World) int { return 2 * owned(world, first(world)...) },
	},
	{
		Name: "zone lost", Strike: loseZone, gone: zoneOf,
		Least: func(world *trial.World) int { return owned(world, zoneOf(world)...) },
	},
	{Name: "keeper lost", Strike: loseKeeper, Least: none, gone: nobody},
	{
		Name: "keeper and upstream lost", Strike: func(world *trial.World) { loseKeeper(world); lose(world) }, gone: first,
		Least: func(world *trial.World) int { return owned(world, first(world)...) },
	},
	{Name: "keeper stopped as planned", Strike: func(world *trial.World) { world.Leave(world.KeeperHost()) }, Least: none, gone: nobody},
	{Name: "all hosts restarted in turn", Strike: restartHosts, Least: none, gone: nobody},
	{
		Name: "log out, upstream lost", Strike: func(world *trial.World) { outage(world, 30*time.Second); lose(world) }, gone: first,
		Least: func(world *trial.World) int { return owned(world, first(world)...) },
	},
	{Name: "log out 60s", Strike: func(world *trial.World) { outage(world, 60*time.Second) }, Least: none, gone: nobody},
	{
		Name: "no fences: planned leave", Options: withoutFences, Strike: func(world *trial.World) { world.Upstreams[0].Draining = true }, gone: first,
		Least: func(world *trial.World) int { return owned(world, first(world)...) },
	},
	{
		Name: "no fences: upstream lost", Options: withoutFences, Strike: lose, gone: first,
		Least: func(world *trial.World) int { return owned(world, first(world)...) },
	},
	{Name: "no fences: keeper lost", Options: withoutFences, Strike: loseKeeper, Least: none, gone: nobody},
}

func withoutFences(options *trial.Options) { options.NoFences = true }

func outage(world *trial.World, length time.Duration) {
	world.LogOut = true
	world.At(world.Now()+length, func() { world.LogOut = false })
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
		world.At(world.Now()+time.Duration(i)*1500*time.Millisecond, func() {
			world.AddHost("new-"+host.Name, i%world.Options.Zones)
			world.Leave(host)
		})
	}
}
