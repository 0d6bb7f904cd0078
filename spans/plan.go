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
	unevenness = 1.2
	// chanceShare is the part that counts of what chance brings the most used of n upstreams with c requests
	// counted each: about the root of 2 ln(n) / c above the mean, and 2 ln(n) / 3c for the longer tail of low
	// counts. It leaves 8 upstreams with 55 requests at unevenness, and lets 111 with 6 have 2.4 times the
	// mean; with 1.2 there too, 20 tables a second were written in steady load.
	chanceShare = 0.72
	// spareUse is the use of its capacity below which an upstream is left alone however uneven.
	spareUse = 0.35
	// maxSpans bounds the spans of one upstream: each costs a grant at each renewal.
	maxSpans = 6
	// overUse is the use at which an upstream is relieved whatever chance may have to do with it: its callers
	// wait now.
	overUse = 1.2
	// smallestGain is the least part of an upstream's use, or of all that it can do, that a move has to bring. A
	// share of a use of 4 would leave everything else beside the key that is too hot.
	smallestGain = 0.1
	// widthPrice is what the move of all keys would cost, in use: keys that change hands have a price, and
	// each has no owner while it moves.
	widthPrice = 0.3
	// busyPrice is the same for the move of all load: while its keys move, the callers wait some 0.2 s. It
	// keeps a key that is hot for every upstream from being handed round.
	busyPrice = 0.5
	// dominant is the part of an upstream's load that, in one piece, only an upstream muchFaster than it may
	// get: anywhere else it would be as much too hot, and the callers would wait for the move in vain.
	dominant   = 0.6
	muchFaster = 1.3
	// maxTakers bounds the upstreams that are considered as takers, the least used first, and fastTakers those
	// besides that are considered for their capacity: a key that is hot for one upstream may be none for them.
	maxTakers  = 6
	fastTakers = 3
	// maxGivers bounds the upstreams that are considered for relief, the most used first. With one alone a key
	// that is too hot for every upstream kept all others from being relieved for as long as it was hot.
	maxGivers = 6
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
		move, found := planner.next()
		if !found {
			return moves
		}
		moves = append(moves, move)
		planner.apply(move)
	}
	return moves
}

type planner struct {
	list       []Owned
	candidates map[string]Candidate
	order      []string
	demand     *Demand
	load       map[string]float64
	count      map[string]int
	mean       float64
	total      float64
}

func newPlanner(list []Owned, candidates []Candidate, demand *Demand) *planner {
	planner := &planner{
		list: append([]Owned(nil), list...), demand: demand,
		candidates: map[string]Candidate{}, load: map[string]float64{}, count: map[string]int{},
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
		planner.total += load
		if !owned.Moving {
			planner.load[owned.Owner] += load
			planner.count[owned.Owner]++
		}
	}
	planner.leaveOutCold()
	if capacity > 0 {
		planner.mean = planner.total / capacity
	}
	planner.foresee()
	return planner
}

// leaveOutCold takes the cold upstreams that own nothing out of those that could get keys.
func (planner *planner) leaveOutCold() {
	var order []string
	for _, id := range planner.order {
		if !planner.candidates[id].Cold || planner.count[id] > 0 {
			order = append(order, id)
		}
	}
	planner.order = order
}

// foresee counts what is moving where it will go: to the least used. Counted with its owner still, the same
// load would be taken from there twice.
func (planner *planner) foresee() {
	for _, owned := range planner.list {
		if !owned.Moving || len(planner.order) == 0 {
			continue
		}
		load := planner.demand.Load(owned.Span())
		to := planner.order[0]
		for _, id := range planner.order {
			if planner.useWith(id, load) < planner.useWith(to, load) {
				to = id
			}
		}
		planner.load[to] += load
		planner.count[to]++
	}
}

func (planner *planner) use(id string) float64 {
	return planner.useWith(id, 0)
}

// useWith is an upstream's use with some more load.
func (planner *planner) useWith(id string, more float64) float64 {
	capacity := planner.candidates[id].Capacity
	if capacity <= 0 {
		return 0
	}
	return (planner.load[id] + more) / capacity
}

// next finds the move that helps the most used upstream most, or the next one if nothing helps that.
func (planner *planner) next() (Move, bool) {
	if len(planner.order) < 2 {
		return Move{}, false
	}
	sort.SliceStable(planner.order, func(i, j int) bool { return planner.use(planner.order[i]) < planner.use(planner.order[j]) })
	last := len(planner.order) - 1
	for i := last; i > max(0, last-maxGivers); i-- {
		from := planner.order[i]
		newcomer := i == last && planner.count[planner.order[0]] == 0 && planner.load[from] > 0
		uneven := planner.use(from) >= min(overUse, planner.bound()*planner.mean) && planner.use(from) >= spareUse
		if !newcomer && !uneven {
			return Move{}, false
		}
		move, found := planner.relieve(from, planner.takers(i))
		if found {
			return move, true
		}
	}
	return Move{}, false
}

// takers returns who may take keys from the upstream at a place in the order of use.
func (planner *planner) takers(giver int) []string {
	var warm []string
	for _, id := range planner.order[:giver] {
		if !planner.candidates[id].Cold {
			warm = append(warm, id)
		}
	}
	least := min(maxTakers, len(warm))
	takers := append([]string(nil), warm[:least]...)
	rest := append([]string(nil), warm[least:]...)
	sort.SliceStable(rest, func(i, j int) bool {
		return planner.candidates[rest[i]].Capacity > planner.candidates[rest[j]].Capacity
	})
	return append(takers, rest[:min(fastTakers, len(rest))]...)
}

func (planner *planner) apply(move Move) {
	load := planner.demand.Load(move.Span)
	planner.load[move.From] -= load
	planner.load[move.To] += load
	planner.count[move.To]++
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
