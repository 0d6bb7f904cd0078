package spans

import (
	"sort"

	"cherrykeel"
)

// Candidate is an upstream that may own spans.
type Candidate struct {
	ID      string
	Address string
	// StartedAt distinguishes the upstream's incarnations: its process's start in Unix milliseconds on its own clock,
	// or 0 if it is not reported.
	StartedAt int64
	// Capacity is the load that the upstream can process, in requests a second.
	Capacity float64
	// Cold upstreams, and Limited ones, which name a limit, get no more keys while any other candidate is neither.
	Cold    bool
	Limited bool
}

// isAvoided reports whether the candidate gets no more keys while any other one is not avoided.
func (candidate Candidate) isAvoided() bool {
	return candidate.Cold || candidate.Limited
}

// Move transfers one span to another upstream.
type Move struct {
	Span cherrykeel.KeySpan
	From string
	To   string
}

const (
	// maxImbalance is the utilization of an upstream, as a multiple of the mean, above which keys are moved from it,
	// provided that enough requests are counted for random variation to be smaller.
	maxImbalance = 1.2
	// noiseFactor scales the first term of the excess over the mean that random variation alone causes at the most
	// utilized of n upstreams with c counted requests each: about sqrt(2 ln(n) / c), plus 2 ln(n) / 3c for the longer tail
	// of low counts. With this factor 8 upstreams with 55 requests each stay at maxImbalance, and 111 upstreams with 6
	// each may reach 2.4 times the mean. A limit of 1.2 for those too would write 20 tables a second under steady load.
	noiseFactor = 0.72
	// minUtilization is the utilization below which no keys are moved from an upstream, however uneven the load is.
	minUtilization = 0.35
	// maxSpansPerUpstream limits the spans of one upstream: each one costs a grant at every renewal.
	maxSpansPerUpstream = 6
	// overloadUtilization is the utilization at which keys are moved from an upstream even if random variation may be
	// the cause, since its callers already wait.
	overloadUtilization = 1.2
	// minGain is the smallest reduction of an upstream's utilization that justifies a move, as a share of that
	// utilization or, above a utilization of 1, of its capacity. A share of a utilization of 4 would rule out every
	// move of keys beside a key that is too hot.
	minGain = 0.1
	// keyMoveCost is the cost of moving all keys, in utilization: a key has no owner while it is in transfer.
	keyMoveCost = 0.3
	// loadMoveCost is the cost of moving all load, in utilization: callers wait some 0.2 s for keys in transfer. It
	// keeps a key that is too hot for every upstream from being moved from one to the next.
	loadMoveCost = 0.5
	// dominantShare is the share of an upstream's load above which a span moves only to an upstream with at least
	// minCapacityRatio times the capacity. Any other upstream would be overloaded as much, and callers would wait for
	// the transfer without any benefit.
	dominantShare    = 0.6
	minCapacityRatio = 1.3
	// maxTargets limits the upstreams that are considered as targets of a move, lowest utilization first.
	// maxFastTargets limits the others that are considered for their high capacity: a key that is too hot for one
	// upstream may not be for them.
	maxTargets     = 6
	maxFastTargets = 3
	// maxSources limits the upstreams from which a move is tried, highest utilization first. With only one, a key
	// that is too hot for every upstream would keep all others from being relieved for as long as it is hot.
	maxSources = 6
)

// Divide distributes the whole key space over the candidates in proportion to their capacity, weighing keys by their
// load.
func Divide(candidates []Candidate, demand *Demand) []Owned {
	var list []Owned
	total := 0.0
	for _, candidate := range candidates {
		total += candidate.Capacity
	}
	if total == 0 {
		return nil
	}
	first := 0
	share := 0.0
	for i, candidate := range candidates {
		share += candidate.Capacity / total
		last := demand.quantile(share)
		if i == len(candidates)-1 {
			last = cherrykeel.MaxKey
		}
		if last < first {
			continue
		}
		list = append(list, Owned{First: first, Last: last, Owner: candidate.ID, Address: candidate.Address, StartedAt: candidate.StartedAt})
		first = last + 1
	}
	return list
}

// PlanMoves returns up to limit moves of spans from the upstreams with the highest utilization to those with the
// lowest.
func PlanMoves(list []Owned, candidates []Candidate, demand *Demand, limit int) []Move {
	planner := newPlanner(list, candidates, demand)
	var moves []Move
	for len(moves) < limit {
		move, found := planner.nextMove()
		if !found {
			return moves
		}
		moves = append(moves, move)
		planner.apply(move)
	}
	return moves
}

// planner plans moves between the upstreams whose IDs are in its field order; nextMove sorts these by utilization.
type planner struct {
	list            []Owned
	candidates      map[string]Candidate
	order           []string
	demand          *Demand
	loads           map[string]float64
	spanCount       map[string]int
	meanUtilization float64
	totalLoad       float64
}

func newPlanner(list []Owned, candidates []Candidate, demand *Demand) *planner {
	planner := &planner{
		list: append([]Owned(nil), list...), demand: demand,
		candidates: map[string]Candidate{}, loads: map[string]float64{}, spanCount: map[string]int{},
	}
	capacity := 0.0
	for _, candidate := range candidates {
		planner.candidates[candidate.ID] = candidate
		planner.order = append(planner.order, candidate.ID)
		capacity += candidate.Capacity
	}
	sort.Strings(planner.order)
	for _, owned := range list {
		load := demand.Load(owned.Span())
		planner.totalLoad += load
		if !owned.InTransfer {
			planner.loads[owned.Owner] += load
			planner.spanCount[owned.Owner]++
		}
	}
	planner.excludeAvoided()
	if capacity > 0 {
		planner.meanUtilization = planner.totalLoad / capacity
	}
	planner.assignLoadInTransfer()
	return planner
}

// excludeAvoided removes avoided upstreams that own no spans from those that could get keys.
func (planner *planner) excludeAvoided() {
	var order []string
	for _, id := range planner.order {
		if !planner.candidates[id].isAvoided() || planner.spanCount[id] > 0 {
			order = append(order, id)
		}
	}
	planner.order = order
}

// assignLoadInTransfer counts the load of each span in transfer at its likely new owner, the upstream with the lowest
// utilization. Counted with the old owner, the same load would be moved away twice.
func (planner *planner) assignLoadInTransfer() {
	for _, owned := range planner.list {
		if !owned.InTransfer || len(planner.order) == 0 {
			continue
		}
		load := planner.demand.Load(owned.Span())
		to := planner.order[0]
		for _, id := range planner.order {
			if planner.utilizationWith(id, load) < planner.utilizationWith(to, load) {
				to = id
			}
		}
		planner.loads[to] += load
		planner.spanCount[to]++
	}
}

func (planner *planner) utilization(id string) float64 {
	return planner.utilizationWith(id, 0)
}

// utilizationWith returns an upstream's utilization with some more load. Utilization is the load divided by the
// capacity.
func (planner *planner) utilizationWith(id string, more float64) float64 {
	capacity := planner.candidates[id].Capacity
	if capacity <= 0 {
		return 0
	}
	return (planner.loads[id] + more) / capacity
}

// nextMove returns the best move away from the most utilized upstream, or from the next one if no move from that one
// helps.
func (planner *planner) nextMove() (Move, bool) {
	if len(planner.order) < 2 {
		return Move{}, false
	}
	sort.SliceStable(planner.order, func(i, j int) bool {
		return planner.utilization(planner.order[i]) < planner.utilization(planner.order[j])
	})
	highest := len(planner.order) - 1
	for i := highest; i > max(0, highest-maxSources); i-- {
		from := planner.order[i]
		hasIdleUpstream := i == highest && planner.spanCount[planner.order[0]] == 0 && planner.loads[from] > 0
		overLimit := planner.utilization(from) >= min(overloadUtilization, planner.imbalanceLimit()*planner.meanUtilization) && planner.utilization(from) >= minUtilization
		if !hasIdleUpstream && !overLimit {
			return Move{}, false
		}
		move, found := planner.bestMoveFrom(from, planner.targets(i))
		if found {
			return move, true
		}
	}
	return Move{}, false
}

// targets returns the upstreams that may take keys from the one at index source of the order by utilization.
func (planner *planner) targets(source int) []string {
	var warm []string
	for _, id := range planner.order[:source] {
		if !planner.candidates[id].isAvoided() {
			warm = append(warm, id)
		}
	}
	least := min(maxTargets, len(warm))
	targets := append([]string(nil), warm[:least]...)
	rest := append([]string(nil), warm[least:]...)
	sort.SliceStable(rest, func(i, j int) bool {
		return planner.candidates[rest[i]].Capacity > planner.candidates[rest[j]].Capacity
	})
	return append(targets, rest[:min(maxFastTargets, len(rest))]...)
}

// apply counts the load of a move at its target, so that the next move takes it into account.
func (planner *planner) apply(move Move) {
	load := planner.demand.Load(move.Span)
	planner.loads[move.From] -= load
	planner.loads[move.To] += load
	planner.spanCount[move.To]++
	table := Table{Services: map[string][]Owned{"": planner.list}}
	table.Split("", move.Span)
	list := table.Services[""]
	for i := range list {
		if list[i].Span() == move.Span {
			list[i].Owner = move.To
		}
	}
	planner.list = list
}
