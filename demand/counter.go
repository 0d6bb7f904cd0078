package demand

import (
	"cherrykeel"
)

const (
	// maxTrackedKeys is how many keys a counter tracks; a key with more than 1/maxTrackedKeys of the requests is always
	// among them.
	maxTrackedKeys = 256
	// maxReportedKeys is how many keys a report contains.
	maxReportedKeys = 32
	// minReportedCount is the count below which a key is not reported, so that keys requested a few times by chance are
	// left out.
	minReportedCount = 16
)

// keyCount is the estimated number of requests for a key.
type keyCount struct {
	count float64
	// maxError is how much of the count may belong to other keys that this entry counted before.
	maxError float64
}

// Counter counts one service's requests on one host. It is not safe for concurrent use.
type Counter struct {
	partitions []float64
	keys       map[string]keyCount
}

// NewCounter returns an empty counter.
func NewCounter(partitions int) *Counter {
	return &Counter{partitions: make([]float64, partitions), keys: make(map[string]keyCount, maxTrackedKeys)}
}

// Count adds one request. Requests for a partition that does not exist are ignored.
func (counter *Counter) Count(partition int, key string) {
	if partition < 0 || partition >= len(counter.partitions) {
		return
	}
	counter.partitions[partition]++
	current, known := counter.keys[key]
	if known {
		current.count++
		counter.keys[key] = current
		return
	}
	if len(counter.keys) < maxTrackedKeys {
		counter.keys[key] = keyCount{count: 1}
		return
	}
	counter.replaceLeast(key)
}

// replaceLeast replaces the key with the lowest count by a new key, which inherits that count as its possible error, as
// in the space-saving algorithm.
func (counter *Counter) replaceLeast(key string) {
	least := ""
	lowest := keyCount{}
	for candidate, current := range counter.keys {
		if least == "" || current.count < lowest.count {
			least = candidate
			lowest = current
		}
	}
	delete(counter.keys, least)
	counter.keys[key] = keyCount{count: lowest.count + 1, maxError: lowest.count}
}

// Report returns the counts since the last report and resets the counter. The requests of a hot key are not included in
// its partition's count.
func (counter *Counter) Report(partitionOf func(string) int) cherrykeel.Demand {
	demand := cherrykeel.Demand{Partitions: counter.partitions, HotKeys: map[string]float64{}}
	for len(demand.HotKeys) < maxReportedKeys {
		key, count := counter.heaviest(demand.HotKeys)
		if count < minReportedCount {
			break
		}
		demand.HotKeys[key] = count
		demand.Partitions[partitionOf(key)] -= count
	}
	counter.partitions = make([]float64, len(counter.partitions))
	counter.keys = make(map[string]keyCount, maxTrackedKeys)
	return demand
}

// heaviest returns the key that has the highest certain count, without those excluded, and that count.
func (counter *Counter) heaviest(excluded map[string]float64) (string, float64) {
	best := ""
	highest := 0.0
	for key, current := range counter.keys {
		lowerBound := current.count - current.maxError
		_, isExcluded := excluded[key]
		if !isExcluded && (lowerBound > highest || lowerBound == highest && key < best) {
			best = key
			highest = lowerBound
		}
	}
	return best, highest
}
