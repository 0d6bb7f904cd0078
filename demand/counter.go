package demand

import (
	"cherrykeel"
)

const (
	// maxTrackedKeys is how many keys a counter tells apart; a key with more than 1/maxTrackedKeys of the requests is always among them.
	maxTrackedKeys = 256
	// maxReportedKeys is how many keys a report names.
	maxReportedKeys = 32
	// minReportedCount keeps keys out of reports that were seen a few times by chance.
	minReportedCount = 16
)

type keyCount struct {
	count float64
	// maxError is how much of the count may belong to keys that were tracked before in the same place.
	maxError float64
}

// Counter counts one service's requests on one host. It is not safe for use by several goroutines.
type Counter struct {
	partitions []float64
	keys       map[string]keyCount
}

// NewCounter returns a counter of zero.
func NewCounter(partitions int) *Counter {
	return &Counter{partitions: make([]float64, partitions), keys: make(map[string]keyCount, maxTrackedKeys)}
}

// Count adds one request.
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

// replaceLeast puts a new key in the place of the rarest one, as the space-saving algorithm does.
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

// Report returns the counts since the last report and starts anew; a hot key's requests are not in its partition's.
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
