package spans

import (
	"math"

	"cherrykeel"
)

// bestMoveFrom returns the best move from one upstream to any of the targets.
func (planner *planner) bestMoveFrom(from string, targets []string) (Move, bool) {
	var best Move
	bestScore := 0.0
	for _, to := range targets {
		move, score := planner.bestMove(from, to)
		if score > bestScore {
			best = move
			bestScore = score
		}
	}
	return best, bestScore > 0
}

// imbalanceLimit returns the highest utilization of an upstream, as a multiple of the mean, at which no keys are
// moved from it. It allows for random variation, which is larger when few requests are counted for each upstream.
func (planner *planner) imbalanceLimit() float64 {
	upstreams := float64(len(planner.order))
	counted := planner.demand.requestCount(planner.totalLoad / upstreams)
	if counted <= 0 {
		return maxImbalance
	}
	noise := 2 * math.Log(upstreams) / counted
	return max(maxImbalance, 1+noiseFactor*math.Sqrt(noise)+noise/3)
}

// keyShare returns a span's share of all keys.
func keyShare(span cherrykeel.KeySpan) float64 {
	return float64(span.Last-span.First+1) / (cherrykeel.MaxKey + 1)
}

// bestMove returns the span of one upstream whose move to the other lowers the higher utilization of the two most,
// and the move's score; the score is 0 if no move is worthwhile. Moving keys has a cost, so of two spans with the
// same effect the narrower one wins, which favours hot keys that lie close together.
func (planner *planner) bestMove(from, to string) (Move, float64) {
	source, target := planner.candidates[from], planner.candidates[to]
	balanced := (planner.loads[from] + planner.loads[to]) / (source.Capacity + target.Capacity)
	wanted := planner.loads[from] - balanced*source.Capacity
	before := planner.utilization(from)
	best := Move{From: from, To: to}
	bestScore := 0.0
	for i, owned := range planner.list {
		if owned.Owner != from || owned.InTransfer {
			continue
		}
		for _, span := range planner.movableSpans(i, wanted, to) {
			load := planner.demand.Load(span)
			if load > dominantShare*planner.loads[from] && target.Capacity < minCapacityRatio*source.Capacity {
				continue
			}
			after := max((planner.loads[from]-load)/source.Capacity, (planner.loads[to]+load)/target.Capacity)
			gain := before - after
			score := gain
			if planner.spanCount[to] > 0 {
				score -= keyMoveCost*keyShare(span) + loadMoveCost*load/max(planner.totalLoad, load)
			}
			if gain >= minGain*min(before, 1) && score > bestScore {
				best.Span = span
				bestScore = score
			}
		}
	}
	return best, bestScore
}

// movableSpans returns the parts of a span that could be moved: all of it, a prefix or suffix with the wanted load, and
// its hottest key alone. To an upstream that has maxSpansPerUpstream spans, none of them adjacent, only all of it can
// be moved.
func (planner *planner) movableSpans(i int, wanted float64, to string) []cherrykeel.KeySpan {
	owned := planner.list[i]
	span := owned.Span()
	pieces := []cherrykeel.KeySpan{span}
	isAdjacent := i > 0 && planner.list[i-1].Owner == to || i+1 < len(planner.list) && planner.list[i+1].Owner == to
	if planner.spanCount[to] >= maxSpansPerUpstream && !isAdjacent {
		return pieces
	}
	left, found := planner.demand.prefixWithLoad(span, wanted)
	if found {
		pieces = append(pieces, left)
	}
	right, found := planner.demand.suffixWithLoad(span, wanted)
	if found {
		pieces = append(pieces, right)
	}
	key, load := planner.demand.hottestKey(span)
	if load > wanted/2 {
		pieces = append(pieces, cherrykeel.KeySpan{First: key, Last: key})
	}
	return pieces
}
