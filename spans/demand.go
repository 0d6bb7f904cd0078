package spans

import (
	"math"
	"sort"
	"time"

	"cherrykeel"
)

const (
	// demandHalfLife is the time in which the weight of a counted request halves. Hot keys come and go within some
	// seconds (4 to 5 s); with a shorter half-life, random variation alone would move keys at 30 requests a second
	// per upstream.
	demandHalfLife = 1500 * time.Millisecond
	// minWeight is the weight below which a key is dropped, since it no longer affects the rates.
	minWeight = 0.02
	// priorRate is an assumed load of one request a second, spread evenly over anchorCount keys. It makes spans
	// comparable by their width before any request arrives; without it the first upstream that registers would keep
	// all keys until callers come.
	priorRate   = 1.0
	anchorCount = 256
)

const anchorStep = (cherrykeel.MaxKey + 1) / anchorCount

const (
	// minCountingTime is the shortest time over which a rate is computed from counts.
	minCountingTime = 300 * time.Millisecond
	// fullCountingTime is the time after which a decayed count is treated as complete; under a steady load it is then
	// 6% below its final value.
	fullCountingTime = 4 * demandHalfLife
)

// Demand counts requests by key with exponential decay, so that recent requests count more.
type Demand struct {
	weights map[int]float64
	// countingSince is when the first request was counted.
	countingSince cherrykeel.Instant
	hasRequests   bool
	keys          []int
	sums          []float64
	decayedAt     cherrykeel.Instant
	sorted        bool
}

// NewDemand returns a Demand without any counted requests.
func NewDemand(now cherrykeel.Instant) *Demand {
	return &Demand{weights: map[int]float64{}, decayedAt: now}
}

// Add counts requests for a key.
func (demand *Demand) Add(key int, requests float64) {
	if !demand.hasRequests {
		demand.hasRequests = true
		demand.countingSince = demand.decayedAt
	}
	demand.weights[key] += requests
	demand.sorted = false
}

// Decay reduces all counts by the time since the last call.
func (demand *Demand) Decay(now cherrykeel.Instant) {
	elapsed := now.Sub(demand.decayedAt)
	demand.decayedAt = now
	factor := math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	for key, weight := range demand.weights {
		weight *= factor
		if weight < minWeight {
			delete(demand.weights, key)
			continue
		}
		demand.weights[key] = weight
	}
	demand.sorted = false
}

// ratePerSecond converts a decayed count into requests a second. Under a steady rate r the count grows towards r *
// demandHalfLife / ln 2; it is lower while requests have been counted for a short time, which countedShare corrects.
// Uncorrected, the counts of the first second show a third of the load, and a new keeper would not relieve overloaded
// owners.
func (demand *Demand) ratePerSecond(weight float64) float64 {
	return weight * math.Ln2 / demandHalfLife.Seconds() / demand.countedShare()
}

// countedShare returns the share of its final value that the count of a steady load has reached so far.
func (demand *Demand) countedShare() float64 {
	since := max(demand.decayedAt.Sub(demand.countingSince), minCountingTime)
	if !demand.hasRequests || since >= fullCountingTime {
		return 1
	}
	return shareCountedIn(since) / shareCountedIn(fullCountingTime)
}

// shareCountedIn returns the share of the final count of a steady load that comes from the last given time.
func shareCountedIn(since time.Duration) float64 {
	return 1 - math.Exp2(-since.Seconds()/demandHalfLife.Seconds())
}

// requestCount returns the number of counted requests, after decay, behind a rate.
func (demand *Demand) requestCount(perSecond float64) float64 {
	return perSecond * demandHalfLife.Seconds() / math.Ln2 * demand.countedShare()
}

// sortKeys updates the sorted keys and their cumulative weights.
func (demand *Demand) sortKeys() {
	if demand.sorted {
		return
	}
	demand.keys = demand.keys[:0]
	for key := range demand.weights {
		if !isAnchor(key) {
			demand.keys = append(demand.keys, key)
		}
	}
	for key := anchorStep - 1; key <= cherrykeel.MaxKey; key += anchorStep {
		demand.keys = append(demand.keys, key)
	}
	sort.Ints(demand.keys)
	demand.sums = demand.sums[:0]
	sum := 0.0
	for _, key := range demand.keys {
		sum += demand.weights[key]
		if isAnchor(key) {
			sum += priorRate / anchorCount * demandHalfLife.Seconds() / math.Ln2
		}
		demand.sums = append(demand.sums, sum)
	}
	demand.sorted = true
}

// isAnchor reports whether a key is one of those that carry the assumed load priorRate.
func isAnchor(key int) bool {
	return key%anchorStep == anchorStep-1
}

// weightBelow returns the total weight of all keys lower than the given one.
func (demand *Demand) weightBelow(key int) float64 {
	i := sort.SearchInts(demand.keys, key)
	if i == 0 {
		return 0
	}
	return demand.sums[i-1]
}

// Load returns the load of a span in requests a second.
func (demand *Demand) Load(span cherrykeel.KeySpan) float64 {
	demand.sortKeys()
	return demand.ratePerSecond(demand.weightBelow(span.Last+1) - demand.weightBelow(span.First))
}

// quantile returns the lowest key such that the given share of the load is at or below it.
func (demand *Demand) quantile(share float64) int {
	demand.sortKeys()
	wanted := share * demand.sums[len(demand.sums)-1]
	i := sort.SearchFloat64s(demand.sums, wanted)
	if i >= len(demand.keys) {
		return cherrykeel.MaxKey
	}
	return demand.keys[i]
}

// hottestKey returns the key of a span with the highest load, and that load in requests a second.
func (demand *Demand) hottestKey(span cherrykeel.KeySpan) (int, float64) {
	demand.sortKeys()
	hottest, most := span.First, 0.0
	for i := sort.SearchInts(demand.keys, span.First); i < len(demand.keys) && demand.keys[i] <= span.Last; i++ {
		weight := demand.weights[demand.keys[i]]
		if weight > most {
			hottest = demand.keys[i]
			most = weight
		}
	}
	return hottest, demand.ratePerSecond(most)
}

// prefixWithLoad returns the shortest prefix of a span with at least the wanted load, in requests a second. It
// returns false if only the whole span has that much.
func (demand *Demand) prefixWithLoad(span cherrykeel.KeySpan, wanted float64) (cherrykeel.KeySpan, bool) {
	demand.sortKeys()
	base := demand.weightBelow(span.First)
	for i := sort.SearchInts(demand.keys, span.First); i < len(demand.keys); i++ {
		key := demand.keys[i]
		if key >= span.Last {
			break
		}
		if demand.ratePerSecond(demand.sums[i]-base) >= wanted {
			return cherrykeel.KeySpan{First: span.First, Last: key}, true
		}
	}
	return cherrykeel.KeySpan{}, false
}

// suffixWithLoad returns the shortest suffix of a span with at least the wanted load, as prefixWithLoad does for
// prefixes.
func (demand *Demand) suffixWithLoad(span cherrykeel.KeySpan, wanted float64) (cherrykeel.KeySpan, bool) {
	demand.sortKeys()
	top := demand.weightBelow(span.Last + 1)
	for i := sort.SearchInts(demand.keys, span.Last+1) - 1; i >= 0; i-- {
		key := demand.keys[i]
		if key <= span.First {
			break
		}
		if demand.ratePerSecond(top-demand.weightBelow(key)) >= wanted {
			return cherrykeel.KeySpan{First: key, Last: span.Last}, true
		}
	}
	return cherrykeel.KeySpan{}, false
}
