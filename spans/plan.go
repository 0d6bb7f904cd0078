package spans

import (
	"sort"

	"cherrykeel"
)

// Candidate is an upstream that may own spans.
type Candidate struct {
	ID      string
	Address string
	// StartedAt tells the upstream's lives apart.
	StartedAt int64
	// Capacity is what it can do in a second, in requests.
	Capacity float64
	// Cold upstreams get no keys while others may have them.
	Cold bool
}

// Move gives one span to another upstream.
type Move struct {
	Span cherrykeel.KeySpan
	From string
	To   string
}

const (
	// unevenness is by how much an upstream's use may exceed the mean before keys are taken from it, if so
	// many requests are counted that chance does not bring more.
	maxImbalance = 1.2
	// chanceShare is the part that counts of what chance brings the most used of n upstreams with c requests
	// counted each: about the root of 2 ln(n) / c above the mean, and 2 ln(n) / 3c for the longer tail of low
	// counts. It leaves 8 upstreams with 55 requests at unevenness, and lets 111 with 6 have 2.4 times the
	// mean; with 1.2 there too, 20 tables a second were written in steady load.
	noiseFactor = 0.72
	// spareUse is the use of its capacity below which an upstream is left alone however uneven.
	minUtilization = 0.35
	// maxSpans bounds the spans of one upstream: each costs a grant at each renewal.
	maxSpansPerUpstream = 6
	// overUse is the use at which an upstream is relieved whatever chance may have to do with it: its callers
	// wait now.
	overloadUtilization = 1.2
	// smallestGain is the least part of an upstream's use, or of all that it can do, that a move has to bring. A
	// share of a use of 4 would leave everything else beside the key that is too hot.
	minGain = 0.1
	// widthPrice is what the move of all keys would cost, in use: keys that change hands have a price, and
	// each has no owner while it moves.
	keyMoveCost = 0.3
	// busyPrice is the same for the move of all load: while its keys move, the callers wait some 0.2 s. It
	// keeps a key that is hot for every upstream from being handed round.
	loadMoveCost = 0.5
	// dominant is the part of an upstream's load that, in one piece, only an upstream muchFaster than it may
	// get: anywhere else it would be as much too hot, and the callers would wait for the move in vain.
	dominantShare    = 0.6
	minCapacityRatio = 1.3
	// maxTakers bounds the upstreams that are considered as takers, the least used first, and fastTakers those
	// besides that are considered for their capacity: a key that is hot for one upstream may be none for them.
	maxTargets     = 6
	maxFastTargets = 3
	// maxGivers bounds the upstreams that are considered for relief, the most used first. With one alone a key
	// that is too hot for every upstream kept all others from being relieved for as long as it was hot.
	maxSources = 6
)

// Divide deals the whole key space to the candidates, in shares by capacity, weighing keys by their load.
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

// PlanMoves returns up to limit moves that take keys from the most used upstreams to the least used.
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
		if !owned.Moving {
			planner.loads[owned.Owner] += load
			planner.spanCount[owned.Owner]++
		}
	}
	planner.excludeColdUpstreams()
	if capacity > 0 {
		planner.meanUtilization = planner.totalLoad / capacity
	}
	planner.assignMovingLoad()
	return planner
}

// leaveOutCold takes the cold upstreams that own nothing out of those that could get keys.
func (planner *planner) excludeColdUpstreams() {
	var order []string
	for _, id := range planner.order {
		if !planner.candidates[id].Cold || planner.spanCount[id] > 0 {
			order = append(order, id)
		}
	}
	planner.order = order
}

// foresee counts what is moving where it will go: to the least used. Counted with its owner still, the same
// load would be taken from there twice.
func (planner *planner) assignMovingLoad() {
	for _, owned := range planner.list {
		if !owned.Moving || len(planner.order) == 0 {
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

// useWith is an upstream's use with some more load.
func (planner *planner) utilizationWith(id string, more float64) float64 {
	capacity := planner.candidates[id].Capacity
	if capacity <= 0 {
		return 0
	}
	return (planner.loads[id] + more) / capacity
}

// next finds the move that helps the most used upstream most, or the next one if nothing helps that.
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

// takers returns who may take keys from the upstream at a place in the order of use.
func (planner *planner) targets(source int) []string {
	var warm []string
	for _, id := range planner.order[:source] {
		if !planner.candidates[id].Cold {
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
