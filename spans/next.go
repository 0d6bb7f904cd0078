package spans

import (
	"math"
	"sort"

	"cherrykeel"
)

const (
	// maxPieceShare is the largest load, as a share of the mean load per upstream, that one upstream gets of a lost
	// owner's keys in one piece: an eighth of all keys assigned to one upstream would double its load.
	maxPieceShare = 0.3
	maxPieces     = 4
)

// Input is what the next list of spans of a service is computed from.
type Input struct {
	// Offset is the offset that the next table will have; it becomes the fence of the spans that it transfers.
	Offset int64
	// Candidates are the upstreams that may own spans.
	Candidates []Candidate
	// Demand is the recent load of the service's keys.
	Demand *Demand
	// IsUnavailable reports whether an upstream cannot be asked to release its spans.
	IsUnavailable func(owner string) bool
	// IsFree reports whether no upstream can hold any key of the span.
	IsFree func(span cherrykeel.KeySpan) bool
	// IsSettled reports whether a span has been with its owner long enough to be merged or moved again.
	IsSettled func(owned Owned) bool
	// MaxMoves limits the spans that may be in transfer at a time when more are marked for balance.
	MaxMoves int
}

// NextSpans returns the next list of spans for a service, and whether it differs from the current one.
//
// Owners that leave are asked to release their spans, spans that no upstream can hold any more go to new owners, and
// spans of the most utilized upstreams are marked for transfer.
func (table Table) NextSpans(service string, input Input) ([]Owned, bool) {
	list := table.Services[service]
	if len(input.Candidates) == 0 {
		return list, false
	}
	if len(list) == 0 {
		return divideAll(input), true
	}
	builder := newBuilder(list, input)
	builder.replaceOwners()
	builder.markMoves()
	builder.mergeNeighbours()
	return builder.list, builder.changed
}

// divideAll returns the first list of spans of a service.
func divideAll(input Input) []Owned {
	list := Divide(input.Candidates, input.Demand)
	for i := range list {
		list[i].Fence = input.Offset
	}
	return list
}

// builder builds the next list of spans of a service.
type builder struct {
	input      Input
	list       []Owned
	candidates map[string]Candidate
	// loads is the load by owner in requests a second; it is computed only when needed, since most decisions change
	// nothing and need no loads.
	loads   map[string]float64
	changed bool
}

func newBuilder(list []Owned, input Input) *builder {
	builder := &builder{input: input, list: list, candidates: make(map[string]Candidate, len(input.Candidates))}
	for _, candidate := range input.Candidates {
		builder.candidates[candidate.ID] = candidate
	}
	return builder
}

// loadByOwner returns the load by owner under the current table, plus what distribute has assigned since.
func (builder *builder) loadByOwner() map[string]float64 {
	if builder.loads == nil {
		builder.loads = make(map[string]float64, len(builder.input.Candidates))
		for _, owned := range builder.list {
			builder.loads[owned.Owner] += builder.input.Demand.Load(owned.Span())
		}
	}
	return builder.loads
}

// replaceOwners assigns free spans to new owners, and marks the spans of owners that leave for transfer.
func (builder *builder) replaceOwners() {
	var list []Owned
	for _, owned := range builder.list {
		owner, isCandidate := builder.candidates[owned.Owner]
		if isCandidate && owner.StartedAt != owned.StartedAt {
			owned = builder.grantToNewIncarnation(owned, owner)
		}
		switch {
		case isCandidate && !owned.InTransfer:
			list = append(list, owned)
		case builder.input.IsFree(owned.Span()):
			list = append(list, builder.distribute(owned)...)
			builder.changed = true
		case !owned.InTransfer && !builder.input.IsUnavailable(owned.Owner):
			owned.InTransfer = true
			list = append(list, owned)
			builder.changed = true
		default:
			list = append(list, owned)
		}
	}
	builder.list = list
}

// grantToNewIncarnation assigns a span to a new incarnation of its owner. The new process holds nothing and can take
// the span at once under a higher fence, whatever the old process held; another upstream would have to wait until the
// old lease has ended for certain.
func (builder *builder) grantToNewIncarnation(owned Owned, owner Candidate) Owned {
	owned.Address = owner.Address
	owned.StartedAt = owner.StartedAt
	owned.InTransfer = false
	owned.Fence = builder.input.Offset
	builder.changed = true
	return owned
}

// distribute splits a free span and assigns each piece, the one with the highest load first, to the candidate that
// will have the lowest utilization with it.
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

// splitByLoad splits a span into pieces of similar load. If one key has most of the load, it becomes a piece of its
// own: together with its neighbours it would keep an upstream busy that could just serve the key alone.
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

// isolateKey splits a span so that the key is a span of its own.
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

// leastUtilized returns the candidate that would have the lowest utilization with some more load. Comparing the
// utilization without that load would send a key that is too hot for every upstream to a slow one that happens to be
// idle, where it must stay for a second.
func (builder *builder) leastUtilized(owned Owned, more float64) Candidate {
	best := Candidate{}
	bestUtilization := math.Inf(1)
	for _, candidate := range builder.input.Candidates {
		if candidate.isAvoided() && !builder.areAllAvoided() {
			continue
		}
		utilization := (builder.loadByOwner()[candidate.ID] + more) / max(candidate.Capacity, math.SmallestNonzeroFloat64)
		if candidate.ID == owned.Owner && owned.InTransfer && len(builder.candidates) > 1 {
			// A span that was released for balance should not return to its owner at once.
			utilization *= 1 + maxImbalance
		}
		if utilization < bestUtilization {
			best = candidate
			bestUtilization = utilization
		}
	}
	return best
}

func (builder *builder) areAllAvoided() bool {
	for _, candidate := range builder.input.Candidates {
		if !candidate.isAvoided() {
			return false
		}
	}
	return true
}

// markMoves marks spans of the most utilized upstreams as in transfer.
func (builder *builder) markMoves() {
	inTransfer := 0
	for _, owned := range builder.list {
		if owned.InTransfer {
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
				owned.InTransfer = true
				builder.changed = true
			}
		}
	}
}

// mergeNeighbours merges adjacent spans of one owner. It only runs if the list changes anyway, so that merging alone
// never causes a new table.
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
	if left.Owner != right.Owner || left.InTransfer || right.InTransfer {
		return false
	}
	return left.Fence == right.Fence || builder.input.IsSettled(left) && builder.input.IsSettled(right)
}
