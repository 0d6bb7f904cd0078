package spans

import (
	"sort"

	"cherrykeel"
)

// Candidate is an upstream that may own spans.
type Candidate struct {
	ID      string
	Address string
	// Capacity is what it can do in a second, in requests.
	Capacity float64
}

// Move gives one span to another upstream.
type Move struct {
	Span cherrykeel.KeySpan
	From string
	To   string
}

const (
	// unevenness is by how much an upstream's use may exceed the mean before keys are taken from it.
	// With some 60 requests counted an upstream, chance alone brings 13%.
	unevenness = 1.2
	// spareUse is the use of its capacity below which an upstream is left alone however uneven.
	spareUse = 0.35
	// maxSpans bounds the spans of one upstream: each costs a grant at each renewal.
	maxSpans = 6
	// smallestGain is the least part of the mean use that a move has to bring.
	smallestGain = 0.1
	// mostOfWanted is by how much a piece may exceed what evens out the two upstreams.
	mostOfWanted = 1.2
	// wideness weighs load against width: a piece of this share of all keys is worth half as much as a
	// narrow one with the same load.
	wideness = 0.02
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
		list = append(list, Owned{First: first, Last: last, Owner: candidate.ID, Address: candidate.Address})
		first = last + 1
	}
	return list
}

// Plan returns up to limit moves that take keys from the most used upstreams to the least used.
func Plan(list []Owned, candidates []Candidate, demand *Demand, limit int) []Move {
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
	total := 0.0
	for _, owned := range list {
		load := demand.Load(owned.Span())
		total += load
		planner.load[owned.Owner] += load
		planner.count[owned.Owner]++
	}
	if capacity > 0 {
		planner.mean = total / capacity
	}
	return planner
}

func (planner *planner) use(id string) float64 {
	capacity := planner.candidates[id].Capacity
	if capacity <= 0 {
		return 0
	}
	return planner.load[id] / capacity
}

// next finds the move that helps the most used upstream.
func (planner *planner) next() (Move, bool) {
	if len(planner.order) < 2 {
		return Move{}, false
	}
	from, to := planner.order[0], planner.order[0]
	for _, id := range planner.order {
		if planner.use(id) > planner.use(from) {
			from = id
		}
		if planner.use(id) < planner.use(to) {
			to = id
		}
	}
	if from == to {
		return Move{}, false
	}
	newcomer := planner.count[to] == 0 && planner.load[from] > 0
	uneven := planner.use(from) >= unevenness*planner.mean && planner.use(from) >= spareUse
	if !newcomer && !uneven {
		return Move{}, false
	}
	return planner.between(from, to)
}

// between takes from one upstream what brings both to about the same use. Of pieces that do so it takes
// the one with the fewest keys, since keys that change hands have a price and hot ones lie close together.
func (planner *planner) between(from, to string) (Move, bool) {
	giver, taker := planner.candidates[from], planner.candidates[to]
	both := (planner.load[from] + planner.load[to]) / (giver.Capacity + taker.Capacity)
	wanted := planner.load[from] - both*giver.Capacity
	least := smallestGain * planner.mean * giver.Capacity
	best := Move{From: from, To: to}
	bestWorth := 0.0
	for i, owned := range planner.list {
		if owned.Owner != from || owned.Moving {
			continue
		}
		for _, span := range planner.pieces(i, wanted, to) {
			load := planner.demand.Load(span)
			if load > mostOfWanted*wanted || load < least {
				continue
			}
			worth := min(load, wanted) / wanted / (wideness + float64(span.Last-span.First+1)/(cherrykeel.MaxKey+1))
			if worth > bestWorth {
				best.Span = span
				bestWorth = worth
			}
		}
	}
	return best, bestWorth > 0
}

// pieces are the parts of a span that could be taken: its start or end, and all of it.
func (planner *planner) pieces(i int, wanted float64, to string) []cherrykeel.KeySpan {
	owned := planner.list[i]
	span := owned.Span()
	if planner.demand.Load(span) <= wanted {
		return []cherrykeel.KeySpan{span}
	}
	atLeft := i > 0 && planner.list[i-1].Owner == to
	atRight := i+1 < len(planner.list) && planner.list[i+1].Owner == to
	if planner.count[to] >= maxSpans && !atLeft && !atRight {
		return nil
	}
	var pieces []cherrykeel.KeySpan
	left, found := planner.demand.prefix(span, wanted)
	if found {
		pieces = append(pieces, left)
	}
	right, found := planner.demand.suffix(span, wanted)
	if found {
		pieces = append(pieces, right)
	}
	if atRight && len(pieces) > 1 {
		return pieces[1:]
	}
	return pieces
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
