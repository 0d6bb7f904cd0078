package spans

import (
	"math"
	"sort"

	"cherrykeel"
)

const (
	// pieceShare is the largest part of an upstream's mean load that one taker gets of a lost owner's keys:
	// an eighth of all keys dumped on one upstream would double its load.
	pieceShare = 0.3
	maxPieces  = 4
)

// Input is what the next table of a service rests on.
type Input struct {
	// Offset is where the next table will stand; it becomes the fence of what changes hands.
	Offset int64
	// Candidates are the upstreams that may own keys.
	Candidates []Candidate
	Demand     *Demand
	// IsUnavailable reports whether an upstream cannot be asked to give its keys back.
	IsUnavailable func(owner string) bool
	// IsFree reports whether no upstream may hold any key of the span.
	IsFree func(span cherrykeel.KeySpan) bool
	// IsSettled reports whether a span has been with its owner for long enough to be joined or moved again.
	IsSettled func(owned Owned) bool
	// MaxMoves bounds the spans that may be taken for balance now.
	MaxMoves int
}

// NextSpans returns the table's next list of spans for a service, and whether it differs.
//
// Owners that leave are asked to give back what they have; what nobody holds is given to new owners;
// and spans are taken from upstreams with more load than others.
func (table Table) NextSpans(service string, facts Input) ([]Owned, bool) {
	list := table.Services[service]
	if len(facts.Candidates) == 0 {
		return list, false
	}
	if len(list) == 0 {
		return dealt(facts), true
	}
	step := newStep(list, facts)
	step.replaceOwners()
	step.balance()
	step.join()
	return step.list, step.changed
}

func dealt(facts Input) []Owned {
	list := Divide(facts.Candidates, facts.Demand)
	for i := range list {
		list[i].Fence = facts.Offset
	}
	return list
}

type step struct {
	facts Input
	list  []Owned
	fit   map[string]Candidate
	// known is the load by owner, once it was asked for: most looks change nothing and need none.
	known   map[string]float64
	changed bool
}

func newStep(list []Owned, facts Input) *step {
	step := &step{facts: facts, list: list, fit: make(map[string]Candidate, len(facts.Candidates))}
	for _, candidate := range facts.Candidates {
		step.fit[candidate.ID] = candidate
	}
	return step
}

// load returns the load by owner as the table was, with what was given since.
func (step *step) load() map[string]float64 {
	if step.known == nil {
		step.known = make(map[string]float64, len(step.facts.Candidates))
		for _, owned := range step.list {
			step.known[owned.Owner] += step.facts.Demand.Load(owned.Span())
		}
	}
	return step.known
}

// replaceOwners gives spans that nobody holds to new owners, and takes spans from owners that leave.
func (step *step) replaceOwners() {
	var list []Owned
	for _, owned := range step.list {
		owner, fit := step.fit[owned.Owner]
		if fit && owner.StartedAt != owned.StartedAt {
			owned = step.reborn(owned, owner)
		}
		switch {
		case fit && !owned.Moving:
			list = append(list, owned)
		case step.facts.IsFree(owned.Span()):
			list = append(list, step.give(owned)...)
			step.changed = true
		case !owned.Moving && !step.facts.IsUnavailable(owned.Owner):
			owned.Moving = true
			list = append(list, owned)
			step.changed = true
		default:
			list = append(list, owned)
		}
	}
	step.list = list
}

// reborn gives a span to the next life of its owner. That holds nothing and takes the span at once under a higher
// fence, whatever the earlier life may have held; another upstream would have to wait until that has surely ended.
func (step *step) reborn(owned Owned, owner Candidate) Owned {
	owned.Address = owner.Address
	owned.StartedAt = owner.StartedAt
	owned.Moving = false
	owned.Fence = step.facts.Offset
	step.changed = true
	return owned
}

// give deals a free span to the candidates that will be the least used with it, the heaviest piece first.
func (step *step) give(owned Owned) []Owned {
	pieces := step.pieces(owned.Span())
	order := make([]int, len(pieces))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		return step.facts.Demand.Load(pieces[order[i]]) > step.facts.Demand.Load(pieces[order[j]])
	})
	given := make([]Owned, len(pieces))
	for _, i := range order {
		load := step.facts.Demand.Load(pieces[i])
		taker := step.leastUsed(owned, load)
		step.load()[taker.ID] += load
		given[i] = Owned{First: pieces[i].First, Last: pieces[i].Last, Owner: taker.ID, Address: taker.Address, StartedAt: taker.StartedAt, Fence: step.facts.Offset}
	}
	return given
}

// pieces cuts a span by its load, and around a key that has most of it: with its neighbours it would keep an
// upstream busy that could just serve it alone.
func (step *step) pieces(span cherrykeel.KeySpan) []cherrykeel.KeySpan {
	wanted := pieceShare * step.total() / float64(len(step.facts.Candidates))
	whole := step.facts.Demand.Load(span)
	if wanted <= 0 || whole <= wanted {
		return []cherrykeel.KeySpan{span}
	}
	key, load := step.facts.Demand.hottest(span)
	if load > whole/2 {
		return around(span, key)
	}
	count := min(maxPieces, int(math.Ceil(whole/wanted)))
	var pieces []cherrykeel.KeySpan
	for ; count > 1; count-- {
		piece, found := step.facts.Demand.prefix(span, step.facts.Demand.Load(span)/float64(count))
		if !found {
			break
		}
		pieces = append(pieces, piece)
		span.First = piece.Last + 1
	}
	return append(pieces, span)
}

// around cuts a key out of a span.
func around(span cherrykeel.KeySpan, key int) []cherrykeel.KeySpan {
	var pieces []cherrykeel.KeySpan
	if span.First < key {
		pieces = append(pieces, cherrykeel.KeySpan{First: span.First, Last: key - 1})
	}
	pieces = append(pieces, cherrykeel.KeySpan{First: key, Last: key})
	if span.Last > key {
		pieces = append(pieces, cherrykeel.KeySpan{First: key + 1, Last: span.Last})
	}
	return pieces
}

func (step *step) total() float64 {
	total := 0.0
	for _, load := range step.load() {
		total += load
	}
	return total
}

// leastUsed returns the candidate that will have the least use with some more load. By its use before, a key
// that is hot for all went to a slow one that happened to be idle, for the second that it had to stay there.
func (step *step) leastUsed(owned Owned, more float64) Candidate {
	best := Candidate{}
	bestUse := math.Inf(1)
	for _, candidate := range step.facts.Candidates {
		if candidate.Cold && !step.allCold() {
			continue
		}
		use := (step.load()[candidate.ID] + more) / max(candidate.Capacity, math.SmallestNonzeroFloat64)
		if candidate.ID == owned.Owner && owned.Moving && len(step.fit) > 1 {
			// What was taken for balance does not go back in the same breath.
			use *= 1 + unevenness
		}
		if use < bestUse {
			best = candidate
			bestUse = use
		}
	}
	return best
}

func (step *step) allCold() bool {
	for _, candidate := range step.facts.Candidates {
		if !candidate.Cold {
			return false
		}
	}
	return true
}

// balance marks spans of the most used upstreams as moving.
func (step *step) balance() {
	moving := 0
	for _, owned := range step.list {
		if owned.Moving {
			moving++
		}
	}
	if step.facts.MaxMoves <= moving {
		return
	}
	for _, move := range PlanMoves(step.list, step.facts.Candidates, step.facts.Demand, step.facts.MaxMoves-moving) {
		table := Table{Services: map[string][]Owned{"": step.list}}
		table.Split("", move.Span)
		step.list = table.Services[""]
		for i := range step.list {
			owned := &step.list[i]
			if owned.Span() == move.Span && owned.Owner == move.From && step.facts.IsSettled(*owned) {
				owned.Moving = true
				step.changed = true
			}
		}
	}
}

// join makes one span of neighbours with one owner; it rides on changes and never causes one.
func (step *step) join() {
	if !step.changed {
		return
	}
	var joined []Owned
	for _, owned := range step.list {
		last := len(joined) - 1
		if last < 0 || !step.mayJoin(joined[last], owned) {
			joined = append(joined, owned)
			continue
		}
		if joined[last].Fence != owned.Fence {
			joined[last].Fence = step.facts.Offset
		}
		joined[last].Last = owned.Last
	}
	step.list = joined
}

func (step *step) mayJoin(left, right Owned) bool {
	if left.Owner != right.Owner || left.Moving || right.Moving {
		return false
	}
	return left.Fence == right.Fence || step.facts.IsSettled(left) && step.facts.IsSettled(right)
}
