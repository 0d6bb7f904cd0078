package score

import (
	"time"

	"cherrykeel"
	"cherrykeel/naive"
	"cherrykeel/trial"
)

// Size is the size of a user's keyed service.
type Size struct {
	Name       string
	Hosts      int
	Upstreams  int
	Zones      int
	Partitions int
	Latency    time.Duration
}

// Sizes are those of the users' keyed services today.
var Sizes = []Size{
	{Name: "hanbit", Hosts: 8, Upstreams: 8, Zones: 4, Partitions: 1024, Latency: 500 * time.Microsecond},
	{Name: "huon", Hosts: 11, Upstreams: 11, Zones: 3, Partitions: 1024, Latency: 1500 * time.Microsecond},
}

// Row is what one scenario gave, ours and the naive version.
type Row struct {
	Size     string
	Scenario string
	Version  string
	// KeyImbalance and LoadImbalance are max over mean at the end.
	KeyImbalance  float64
	LoadImbalance float64
	// Moved counts partitions that changed owner, Least those that had to.
	Moved    int
	MinMoved int
	// LongestGap and MeanGap are times without an owner able to serve, by key.
	LongestGap time.Duration
	MeanGap    time.Duration
	// OwnerConflicts counts moments, a millisecond apart, at which a key had two owners.
	OwnerConflicts int
}

// Run measures one scenario at one size.
func Run(size Size, scenario Scenario, seed int64) []Row {
	options := trial.Options{
		Seed: seed, Hosts: size.Hosts, Upstreams: size.Upstreams, Zones: size.Zones, Partitions: size.Partitions,
		Latency: size.Latency, MaxClockDrift: 0.005, LeaseLength: 900 * time.Millisecond,
	}
	if scenario.AdjustOptions != nil {
		scenario.AdjustOptions(&options)
	}
	load := newLoad(seed)
	world := trial.New(options)
	world.Demand = load.demand(size.Partitions)
	world.RunUntil(calm)
	before := currentPlacement(world)
	least := scenario.MinMoved(world)
	gone := scenario.gone(world)
	scenario.Inject(world)
	gaps := watch(world)
	world.RunUntil(calm + settled)
	after := currentPlacement(world)

	ours := Row{Size: size.Name, Scenario: scenario.Name, Version: "ours", MinMoved: least}
	ours.Moved = countMoved(before, after)
	ours.KeyImbalance, ours.LoadImbalance = load.imbalance(after, live(world, gone))
	gaps.fill(&ours)
	return []Row{ours, runNaive(size, scenario, load, names(world, before), live(world, gone), least)}
}

// runNaive is hash modulo over a list that shows a change after its lag; a key of a server that is
// gone has no owner until then. Nothing tells when two hosts see different lists, so it is not counted.
func runNaive(size Size, scenario Scenario, load load, before, after []string, least int) Row {
	row := Row{Size: size.Name, Scenario: scenario.Name, Version: "naive", MinMoved: least}
	placer := naive.NewModulo()
	old := placer.Place(cherrykeel.Placement{}, size.Partitions, candidates(before), cherrykeel.Demand{}, 0)
	next := placer.Place(cherrykeel.Placement{}, size.Partitions, candidates(after), cherrykeel.Demand{}, 0)
	row.Moved = countMoved(old, next)
	row.KeyImbalance, row.LoadImbalance = load.imbalance(next, after)
	return row
}

func candidates(names []string) []cherrykeel.Candidate {
	var list []cherrykeel.Candidate
	for _, name := range names {
		list = append(list, cherrykeel.Candidate{Name: name})
	}
	return list
}

// names returns the upstreams that own something in a placement, in the world's order.
func names(world *trial.World, placement cherrykeel.Placement) []string {
	owning := map[string]bool{}
	for _, owner := range placement.Owners {
		owning[owner] = true
	}
	var list []string
	for _, upstream := range world.Upstreams {
		if owning[upstream.Name] {
			list = append(list, upstream.Name)
		}
	}
	return list
}

func live(world *trial.World, gone []string) []string {
	left := map[string]bool{}
	for _, name := range gone {
		left[name] = true
	}
	var list []string
	for _, upstream := range world.Upstreams {
		if !left[upstream.Name] {
			list = append(list, upstream.Name)
		}
	}
	return list
}

func countMoved(before, after cherrykeel.Placement) int {
	moved := 0
	for partition, owner := range after.Owners {
		if partition < len(before.Owners) && before.Owners[partition] != owner {
			moved++
		}
	}
	return moved
}

// gaps are the times for which each partition was not served.
type gaps struct {
	current []time.Duration
	longest []time.Duration
	total   []time.Duration
	server  []int
	double  int
}

// watch looks at every partition each millisecond, through one host each, for a while.
func watch(world *trial.World) *gaps {
	count := world.Options.Partitions
	gaps := &gaps{
		current: make([]time.Duration, count),
		longest: make([]time.Duration, count),
		total:   make([]time.Duration, count),
		server:  make([]int, count),
	}
	begun := world.Now()
	for world.Now() < begun+watched {
		world.RunUntil(world.Now() + time.Millisecond)
		var hosts []*trial.Host
		for _, host := range world.Hosts {
			if !host.Dead && !host.Leaving {
				hosts = append(hosts, host)
			}
		}
		for partition := range count {
			gaps.server[partition] = world.ServingUpstream(hosts[partition%len(hosts)], partition, "", gaps.server[partition])
			gaps.note(partition, gaps.server[partition] >= 0)
		}
		if world.Now()%(50*time.Millisecond) == 0 {
			gaps.countDouble(world)
		}
	}
	return gaps
}

func (gaps *gaps) countDouble(world *trial.World) {
	for partition := range gaps.current {
		if len(world.Owners(partition, "")) > 1 {
			gaps.double++
		}
	}
}

func (gaps *gaps) note(partition int, served bool) {
	if served {
		gaps.current[partition] = 0
		return
	}
	gaps.current[partition] += time.Millisecond
	gaps.total[partition] += time.Millisecond
	gaps.longest[partition] = max(gaps.longest[partition], gaps.current[partition])
}

func (gaps *gaps) fill(row *Row) {
	sum := time.Duration(0)
	affected := 0
	for partition, longest := range gaps.longest {
		row.LongestGap = max(row.LongestGap, longest)
		if gaps.total[partition] > 0 {
			affected++
			sum += gaps.total[partition]
		}
	}
	if affected > 0 {
		row.MeanGap = sum / time.Duration(affected)
	}
	row.OwnerConflicts = gaps.double
}
