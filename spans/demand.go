package spans

import (
	"math"
	"sort"
	"time"

	"cherrykeel"
)

const (
	// demandHalfLife is how fast counted requests are forgotten. Hot keys come and go within
	// 4 to 5 s; with a shorter life chance alone would move keys at 30 requests a second an upstream.
	demandHalfLife = 1500 * time.Millisecond
	// forgetBelow drops keys whose remaining weight says nothing.
	minWeight = 0.02
	// priorRate is a request a second, spread evenly over all keys at anchors of their own. Without it
	// nothing would tell spans apart while nobody asks, and the first upstream to register would keep all
	// keys until the callers come.
	priorRate   = 1.0
	anchorCount = 256
)

const anchorStep = (cherrykeel.MaxKey + 1) / anchorCount

const (
	// shortestCount is the least time over which a rate is taken from what was counted.
	minCountingTime = 300 * time.Millisecond
	// settledCount is the time after which a count is taken for what it would be in the end; it lacks 6% then.
	fullCountingTime = 4 * demandHalfLife
)

// Demand counts requests by key, older ones for less.
type Demand struct {
	weights map[int]float64
	// begun is when the first request was counted.
	countingSince cherrykeel.Instant
	hasRequests   bool
	keys          []int
	sums          []float64
	decayedAt     cherrykeel.Instant
	sorted        bool
}

// NewDemand returns a count that has seen nothing.
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

// Decay forgets with time.
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

// perSecond turns a decayed count into a rate: a steady rate r has the count r * halfLife / ln 2 in the end,
// and less while requests have been counted for a short time. Taken for the end's, the first second's counts
// show a third of the load, and a keeper that has just begun leaves owners overrun that it could relieve.
func (demand *Demand) ratePerSecond(weight float64) float64 {
	return weight * math.Ln2 / demandHalfLife.Seconds() / demand.countedShare()
}

// counted is the part that has been counted of what a steady load would have in the end.
func (demand *Demand) countedShare() float64 {
	since := max(demand.decayedAt.Sub(demand.countingSince), minCountingTime)
	if !demand.hasRequests || since >= fullCountingTime {
		return 1
	}
	return shareCountedIn(since) / shareCountedIn(fullCountingTime)
}

// kept is the part of a steady count that comes from the given time.
func shareCountedIn(since time.Duration) float64 {
	return 1 - math.Exp2(-since.Seconds()/demandHalfLife.Seconds())
}

// requests returns how many requests a rate has been taken from.
func (demand *Demand) requestCount(perSecond float64) float64 {
	return perSecond * demandHalfLife.Seconds() / math.Ln2 * demand.countedShare()
}

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

func isAnchor(key int) bool {
	return key%anchorStep == anchorStep-1
}

// below returns the weight of all keys lower than the given one.
func (demand *Demand) weightBelow(key int) float64 {
	i := sort.SearchInts(demand.keys, key)
	if i == 0 {
		return 0
	}
	return demand.sums[i-1]
}

// Load returns the requests a second for a span.
func (demand *Demand) Load(span cherrykeel.KeySpan) float64 {
	demand.sortKeys()
	return demand.ratePerSecond(demand.weightBelow(span.Last+1) - demand.weightBelow(span.First))
}

// quantile returns the key below which a share of the load lies.
func (demand *Demand) quantile(share float64) int {
	demand.sortKeys()
	wanted := share * demand.sums[len(demand.sums)-1]
	i := sort.SearchFloat64s(demand.sums, wanted)
	if i >= len(demand.keys) {
		return cherrykeel.MaxKey
	}
	return demand.keys[i]
}

// hottest returns the key of a span that is asked for most, and how often in a second.
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

// prefix returns the start of a span that has about the wanted load and leaves a rest.
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

// suffix is prefix from the other end.
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
