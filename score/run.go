package score

import (
	"time"

	"cherrykeel"
	"cherrykeel/naive"
	"cherrykeel/trial"
)

// Size is the size of a keyed service and its environment. Latency is the time that a message takes.
type Size struct {
	Name       string
	Hosts      int
	Upstreams  int
	Zones      int
	Partitions int
	Latency    time.Duration
}

// Sizes are the sizes that are scored, after the users' keyed services.
var Sizes = []Size{
	{Name: "hanbit", Hosts: 8, Upstreams: 8, Zones: 4, Partitions: 1024, Latency: 500 * time.Microsecond},
	{Name: "huon", Hosts: 11, Upstreams: 11, Zones: 3, Partitions: 1024, Latency: 1500 * time.Microsecond},
}

// Row is the result of one scenario for one version, "ours" or "naive".
type Row struct {
	Size     string
	Scenario string
	Version  string
	// KeyImbalance and LoadImbalance are the maximum divided by the mean over the upstreams, at the end.
	KeyImbalance  float64
	LoadImbalance float64
	// Moved is the number of partitions that changed owner, and MinMoved of those that had to.
	Moved    int
	MinMoved int `json:"Least"`
	// LongestGap is the longest time for which a partition had no owner able to serve, and MeanGap the mean of the total
	// times of the partitions that had such gaps.
	LongestGap time.Duration
	MeanGap    time.Duration
	// OwnerConflicts is how often a partition had two owners, sampled every 50 ms.
	OwnerConflicts int `json:"TwoOwners"`
}

// Run runs one scenario at one size and returns a row for this program and one for the naive version.
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
	world.RunUntil(settleTime)
	before := currentPlacement(world)
	minMoved := scenario.MinMoved(world)
	removed := scenario.removed(world)
	scenario.Inject(world)
	gaps := watchGaps(world)
	world.RunUntil(settleTime + finalDelay)
	after := currentPlacement(world)

	ours := Row{Size: size.Name, Scenario: scenario.Name, Version: "ours", MinMoved: minMoved}
	ours.Moved = countMoved(before, after)
	ours.KeyImbalance, ours.LoadImbalance = load.imbalance(after, remainingUpstreams(world, removed))
	gaps.fillRow(&ours)
	return []Row{ours, runNaive(size, scenario, load, owningUpstreams(world, before), remainingUpstreams(world, removed), minMoved)}
}

// runNaive scores hash modulo over the list of upstreams before and after the event. Its gaps are not recorded: a key of
// a lost upstream has no owner until the list shows the change. Owner conflicts are not counted either, since it is not
// modeled when hosts see different lists.
func runNaive(size Size, scenario Scenario, load load, before, after []string, minMoved int) Row {
	row := Row{Size: size.Name, Scenario: scenario.Name, Version: "naive", MinMoved: minMoved}
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

// owningUpstreams returns the names of the upstreams that own partitions in a placement, in the world's order.
func owningUpstreams(world *trial.World, placement cherrykeel.Placement) []string {
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

func remainingUpstreams(world *trial.World, removed []string) []string {
	isRemoved := map[string]bool{}
	for _, name := range removed {
		isRemoved[name] = true
	}
	var list []string
	for _, upstream := range world.Upstreams {
		if !isRemoved[upstream.Name] {
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

// gaps measures for how long each partition was not served: the current gap, the longest one and the total.
// lastUpstream is the index of the upstream that served each partition last, and conflicts counts owner conflicts.
type gaps struct {
	current      []time.Duration
	longest      []time.Duration
	total        []time.Duration
	lastUpstream []int
	conflicts    int
}

// watchGaps runs the world for watchDuration and checks each millisecond whether every partition is served. Each
// partition is checked through one of the running hosts.
func watchGaps(world *trial.World) *gaps {
	count := world.Options.Partitions
	gaps := &gaps{
		current:      make([]time.Duration, count),
		longest:      make([]time.Duration, count),
		total:        make([]time.Duration, count),
		lastUpstream: make([]int, count),
	}
	start := world.Now()
	for world.Now() < start+watchDuration {
		world.RunUntil(world.Now() + time.Millisecond)
		var hosts []*trial.Host
		for _, host := range world.Hosts {
			if !host.Dead && !host.Leaving {
				hosts = append(hosts, host)
			}
		}
		for partition := range count {
			gaps.lastUpstream[partition] = world.ServingUpstream(hosts[partition%len(hosts)], partition, "", gaps.lastUpstream[partition])
			gaps.record(partition, gaps.lastUpstream[partition] >= 0)
		}
		if world.Now()%(50*time.Millisecond) == 0 {
			gaps.countConflicts(world)
		}
	}
	return gaps
}

func (gaps *gaps) countConflicts(world *trial.World) {
	for partition := range gaps.current {
		if len(world.Owners(partition, "")) > 1 {
			gaps.conflicts++
		}
	}
}

func (gaps *gaps) record(partition int, served bool) {
	if served {
		gaps.current[partition] = 0
		return
	}
	gaps.current[partition] += time.Millisecond
	gaps.total[partition] += time.Millisecond
	gaps.longest[partition] = max(gaps.longest[partition], gaps.current[partition])
}

func (gaps *gaps) fillRow(row *Row) {
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
	row.OwnerConflicts = gaps.conflicts
}
