package demand

import (
	"cherrykeel"
)

const (
	// tracked is how many keys a counter tells apart; a key with more than 1/tracked of the requests is always among them.
	tracked = 256
	// reported is how many keys a report names.
	reported = 32
	// leastCount keeps keys out of reports that were seen a few times by chance.
	leastCount = 16
)

type entry struct {
	count float64
	// error is how much of the count may belong to keys that were tracked before in the same place.
	error float64
}

// Counter counts one service's requests on one host. It is not safe for use by several goroutines.
type Counter struct {
	partitions []float64
	keys       map[string]entry
}

// NewCounter returns a counter of zero.
func NewCounter(partitions int) *Counter {
	return &Counter{partitions: make([]float64, partitions), keys: make(map[string]entry, tracked)}
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
	if len(counter.keys) < tracked {
		counter.keys[key] = entry{count: 1}
		return
	}
	counter.replaceLeast(key)
}

// replaceLeast puts a new key in the place of the rarest one, as the space-saving algorithm does.
func (counter *Counter) replaceLeast(key string) {
	least := ""
	lowest := entry{}
	for candidate, current := range counter.keys {
		if least == "" || current.count < lowest.count {
			least = candidate
			lowest = current
		}
	}
	delete(counter.keys, least)
	counter.keys[key] = entry{count: lowest.count + 1, error: lowest.count}
}

// Report returns the counts since the last report and starts anew; a hot key's requests are not in its partition's.
func (counter *Counter) Report(partitionOf func(string) int) cherrykeel.Demand {
	demand := cherrykeel.Demand{Partitions: counter.partitions, HotKeys: map[string]float64{}}
	for len(demand.HotKeys) < reported {
		key, sure := counter.heaviest(demand.HotKeys)
		if sure < leastCount {
			break
		}
		demand.HotKeys[key] = sure
		demand.Partitions[partitionOf(key)] -= sure
	}
	counter.partitions = make([]float64, len(counter.partitions))
	counter.keys = make(map[string]entry, tracked)
	return demand
}

func (counter *Counter) heaviest(taken map[string]float64) (string, float64) {
	best := ""
	most := 0.0
	for key, current := range counter.keys {
		sure := current.count - current.error
		_, named := taken[key]
		if !named && (sure > most || sure == most && key < best) {
			best = key
			most = sure
		}
	}
	return best, most
}
