package score

import (
	"math"
	"math/rand"
	"strconv"

	"cherrykeel"
	"cherrykeel/route"
)

const (
	loadKeys = 200_000
	// zipfExponent is the exponent of the load's Zipf distribution over the keys.
	zipfExponent      = 0.9
	hotKeyCount       = 32
	requestsPerSecond = 10_000.0
)

// load is a Zipf-distributed load: the requests per second and the name of each key.
type load struct {
	weights []float64
	names   []string
}

func newLoad(seed int64) load {
	random := rand.New(rand.NewSource(seed))
	order := random.Perm(loadKeys)
	load := load{weights: make([]float64, loadKeys), names: make([]string, loadKeys)}
	total := 0.0
	for rank := range loadKeys {
		weight := math.Pow(float64(rank+1), -zipfExponent)
		load.weights[order[rank]] = weight
		total += weight
	}
	for key := range loadKeys {
		load.weights[key] *= requestsPerSecond / total
		load.names[key] = "key-" + strconv.Itoa(key)
	}
	return load
}

// demand returns the demand as hosts report it: requests per second by partition, and apart from those by key for the
// heaviest keys.
func (load load) demand(partitions int) cherrykeel.Demand {
	demand := cherrykeel.Demand{Partitions: make([]float64, partitions), HotKeys: map[string]float64{}}
	least := load.nthWeight(hotKeyCount)
	for key, weight := range load.weights {
		if weight >= least {
			demand.HotKeys[load.names[key]] = weight
			continue
		}
		demand.Partitions[route.Partition(load.names[key], partitions)] += weight
	}
	return demand
}

// nthWeight returns slightly less than the weight of the key at a rank, counted from 1. It follows from the heaviest
// key's weight, since weights are proportional to rank to the power of -zipfExponent.
func (load load) nthWeight(rank int) float64 {
	top := 0.0
	for _, weight := range load.weights {
		top = max(top, weight)
	}
	return top * math.Pow(float64(rank), -zipfExponent) * 0.999
}

// imbalance returns the maximum divided by the mean, over the upstreams, of the number of keys and of the load that a
// placement gives them.
func (load load) imbalance(placement cherrykeel.Placement, upstreams []string) (keys, loads float64) {
	keyCounts := map[string]float64{}
	loadSums := map[string]float64{}
	for key, weight := range load.weights {
		owner, hot := placement.HotKeys[load.names[key]]
		if !hot {
			owner = placement.Owners[route.Partition(load.names[key], len(placement.Owners))]
		}
		keyCounts[owner]++
		loadSums[owner] += weight
	}
	return maxOverMean(keyCounts, upstreams), maxOverMean(loadSums, upstreams)
}

func maxOverMean(values map[string]float64, names []string) float64 {
	most, sum := 0.0, 0.0
	for _, name := range names {
		most = max(most, values[name])
		sum += values[name]
	}
	return most * float64(len(names)) / sum
}
