package spans

import (
	"math"
	"sort"

	"cherrykeel"
)

const (
	// pieceShare is the largest part of an upstream's mean load that one taker gets of a lost owner's keys:
	// an eighth of all keys dumped on one upstream would double its load.
	maxPieceShare = 0.3
	maxPieces     = 4
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
func (table Table) NextSpans(service string, input Input) ([]Owned, bool) {
	list := table.Services[service]
	if len(input.Candidates) == 0 {
		return list, false
	}
	if len(list) == 0 {
		return divideAll(input), true
	}
	builder := newListBuilder(list, input)
	builder.replaceOwners()
	builder.markMoves()
	builder.mergeNeighbours()
	return builder.list, builder.changed
}

func divideAll(input Input) []Owned {
	list := Divide(input.Candidates, input.Demand)
	for i := range list {
		list[i].Fence = input.Offset
	}
	return list
}

type builder struct {
	input      Input
	list       []Owned
	candidates map[string]Candidate
	// known is the load by owner, once it was asked for: most looks change nothing and need none.
	loads   map[string]float64
	changed bool
}

func newListBuilder(list []Owned, input Input) *builder {
	builder := &builder{input: input, list: list, candidates: make(map[string]Candidate, len(input.Candidates))}
	for _, candidate := range input.Candidates {
		builder.candidates[candidate.ID] = candidate
	}
	return builder
}

// load returns the load by owner as the table was, with what was given since.
func (builder *builder) loadByOwner() map[string]float64 {
	if builder.loads == nil {
		builder.loads = make(map[string]float64, len(builder.input.Candidates))
		for _, owned := range builder.list {
			builder.loads[owned.Owner] += builder.input.Demand.Load(owned.Span())
		}
	}
	return builder.loads
}

// replaceOwners gives spans that nobody holds to new owners, and takes spans from owners that leave.
func (builder *builder) replaceOwners() {
	var list []Owned
	for _, owned := range builder.list {
		owner, isCandidate := builder.candidates[owned.Owner]
		if isCandidate && owner.StartedAt != owned.StartedAt {
			owned = builder.grantToNewIncarnation(owned, owner)
		}
		switch {
		case isCandidate && !owned.Moving:
			list = append(list, owned)
		case builder.input.IsFree(owned.Span()):
			list = append(list, builder.distribute(owned)...)
			builder.changed = true
		case !owned.Moving && !builder.input.IsUnavailable(owned.Owner):
			owned.Moving = true
			list = append(list, owned)
			builder.changed = true
		default:
			list = append(list, owned)
		}
	}
	builder.list = list
}

// reborn gives a span to the next life of its owner. That holds nothing and takes the span at once under a higher
// fence, whatever the earlier life may have held; another upstream would have to wait until that has surely ended.
func (builder *builder) grantToNewIncarnation(owned Owned, owner Candidate) Owned {
	owned.Address = owner.Address
	owned.StartedAt = owner.StartedAt
	owned.Moving = false
	owned.Fence = builder.input.Offset
	builder.changed = true
	return owned
}

// give deals a free span to the candidates that will be the least used with it, the heaviest piece first.
func (builder *builder) distribute(owned Owned) []Owned {
	pieces := builder.splitByLoad(owned.Span())
	order := make([]int, len(pieces))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		return builder.input.Demand.Load(pieces[order[i]]) > builder.input.Demand.Load(pieces[order[j]])
	})
	assigned := make([]Owned, len(pieces))
	for _, i := range order {
		load := builder.input.Demand.Load(pieces[i])
		target := builder.leastUtilized(owned, load)
		builder.loadByOwner()[target.ID] += load
		assigned[i] = Owned{First: pieces[i].First, Last: pieces[i].Last, Owner: target.ID, Address: target.Address, StartedAt: target.StartedAt, Fence: builder.input.Offset}
	}
	return assigned
}

// pieces cuts a span by its load, and around a key that has most of it: with its neighbours it would keep an
// upstream busy that could just serve it alone.
func (builder *builder) splitByLoad(span cherrykeel.KeySpan) []cherrykeel.KeySpan {
	wanted := maxPieceShare * builder.totalLoad() / float64(len(builder.input.Candidates))
	load := builder.input.Demand.Load(span)
	if wanted <= 0 || load <= wanted {
		return []cherrykeel.KeySpan{span}
	}
	key, keyLoad := builder.input.Demand.hottestKey(span)
	if keyLoad > load/2 {
		return isolateKey(span, key)
	}
	count := min(maxPieces, int(math.Ceil(load/wanted)))
	var pieces []cherrykeel.KeySpan
	for ; count > 1; count-- {
		piece, found := builder.input.Demand.prefixWithLoad(span, builder.input.Demand.Load(span)/float64(count))
		if !found {
			break
		}
		pieces = append(pieces, piece)
		span.First = piece.Last + 1
	}
	return append(pieces, span)
}

// around cuts a key out of a span.
func isolateKey(span cherrykeel.KeySpan, key int) []cherrykeel.KeySpan {
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

func (builder *builder) totalLoad() float64 {
	total := 0.0
	for _, load := range builder.loadByOwner() {
		total += load
	}
	return total
}

// leastUsed returns the candidate that will have the least use with some more load. By its use before, a key
// that is hot for all went to a slow one that happened to be idle, for the second that it had to stay there.
func (builder *builder) leastUtilized(owned Owned, more float64) Candidate {
	best := Candidate{}
	bestUtilization := math.Inf(1)
	for _, candidate := range builder.input.Candidates {
		if candidate.Cold && !builder.allCandidatesCold() {
			continue
		}
		utilization := (builder.loadByOwner()[candidate.ID] + more) / max(candidate.Capacity, math.SmallestNonzeroFloat64)
		if candidate.ID == owned.Owner && owned.Moving && len(builder.candidates) > 1 {
			// What was taken for balance does not go back in the same breath.
			utilization *= 1 + maxImbalance
		}
		if utilization < bestUtilization {
			best = candidate
			bestUtilization = utilization
		}
	}
	return best
}

func (builder *builder) allCandidatesCold() bool {
	for _, candidate := range builder.input.Candidates {
		if !candidate.Cold {
			return false
		}
	}
	return true
}

// balance marks spans of the most used upstreams as moving.
func (builder *builder) markMoves() {
	inTransfer := 0
	for _, owned := range builder.list {
		if owned.Moving {
			inTransfer++
		}
	}
	if builder.input.MaxMoves <= inTransfer {
		return
	}
	for _, move := range PlanMoves(builder.list, builder.input.Candidates, builder.input.Demand, builder.input.MaxMoves-inTransfer) {
		table := Table{Services: map[string][]Owned{"": builder.list}}
		table.Split("", move.Span)
		builder.list = table.Services[""]
		for i := range builder.list {
			owned := &builder.list[i]
			if owned.Span() == move.Span && owned.Owner == move.From && builder.input.IsSettled(*owned) {
				owned.Moving = true
				builder.changed = true
			}
		}
	}
}

// join makes one span of neighbours with one owner; it rides on changes and never causes one.
func (builder *builder) mergeNeighbours() {
	if !builder.changed {
		return
	}
	var merged []Owned
	for _, owned := range builder.list {
		last := len(merged) - 1
		if last < 0 || !builder.canMerge(merged[last], owned) {
			merged = append(merged, owned)
			continue
		}
		if merged[last].Fence != owned.Fence {
			merged[last].Fence = builder.input.Offset
		}
		merged[last].Last = owned.Last
	}
	builder.list = merged
}

func (builder *builder) canMerge(left, right Owned) bool {
	if left.Owner != right.Owner || left.Moving || right.Moving {
		return false
	}
	return left.Fence == right.Fence || builder.input.IsSettled(left) && builder.input.IsSettled(right)
}
