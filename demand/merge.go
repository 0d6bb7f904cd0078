package demand

import (
	"time"

	"cherrykeel"
)

const (
	// smoothingWindow is the time over which a keeper smooths the demand.
	smoothingWindow = 10 * time.Second
	// maxReportAge is how long a host's report counts after it was received.
	maxReportAge = 15 * time.Second
	// minRounds is the number of merges before a keeper gets any demand, so that a new keeper transfers nothing because
	// of a first, incomplete picture.
	minRounds = 3
)

// report is the last report of a host.
type report struct {
	receivedAt cherrykeel.Instant
	demand     cherrykeel.Demand
}

// Merger sums the reports of all hosts at a service's keeper. It is not safe for concurrent use.
type Merger struct {
	partitionOf func(string) int
	latest      map[string]report
	smoothed    cherrykeel.Demand
	rounds      int
	mergedAt    cherrykeel.Instant
}

// NewMerger returns a merger that has received nothing.
func NewMerger(partitions int, partitionOf func(string) int) *Merger {
	return &Merger{
		partitionOf: partitionOf,
		latest:      map[string]report{},
		smoothed:    cherrykeel.Demand{Partitions: make([]float64, partitions), HotKeys: map[string]float64{}},
	}
}

// Receive records a host's report of its requests a second. A report with a different number of partitions is ignored.
func (merger *Merger) Receive(host string, demand cherrykeel.Demand, now cherrykeel.Instant) {
	if len(demand.Partitions) == len(merger.smoothed.Partitions) {
		merger.latest[host] = report{receivedAt: now, demand: demand}
	}
}

// Demand returns the smoothed demand of all hosts, or the zero Demand while too few reports have been merged.
func (merger *Merger) Demand(now cherrykeel.Instant) cherrykeel.Demand {
	if now.Sub(merger.mergedAt) >= time.Second {
		merger.merge(now)
	}
	if merger.rounds < minRounds {
		return cherrykeel.Demand{}
	}
	return merger.smoothed
}

// merge updates the smoothed demand with the sum of the hosts' latest reports.
func (merger *Merger) merge(now cherrykeel.Instant) {
	weight := min(1, float64(now.Sub(merger.mergedAt))/float64(smoothingWindow))
	if merger.rounds == 0 {
		weight = 1
	}
	merger.mergedAt = now
	sum := merger.sum(now)
	if sum.Partitions == nil {
		return
	}
	merger.rounds++
	next := cherrykeel.Demand{Partitions: make([]float64, len(sum.Partitions)), HotKeys: map[string]float64{}}
	for partition, load := range sum.Partitions {
		old := merger.smoothed.Partitions[partition]
		next.Partitions[partition] = old + weight*(load-old)
	}
	for key, load := range sum.HotKeys {
		old := merger.smoothed.HotKeys[key]
		next.HotKeys[key] = old + weight*(load-old)
	}
	merger.decayUnreported(next, sum, weight)
	merger.smoothed = next
}

// decayUnreported decays the demand of keys that no host reports any more and drops it below one request a second. Hosts
// include the remaining requests for these keys in the counts of their partitions.
func (merger *Merger) decayUnreported(next, sum cherrykeel.Demand, weight float64) {
	for key, old := range merger.smoothed.HotKeys {
		if _, reported := sum.HotKeys[key]; reported {
			continue
		}
		decayed := old * (1 - weight)
		if decayed >= 1 {
			next.HotKeys[key] = decayed
		}
	}
}

// sum adds up the latest reports and drops the ones that are too old.
func (merger *Merger) sum(now cherrykeel.Instant) cherrykeel.Demand {
	var sum cherrykeel.Demand
	for host, report := range merger.latest {
		if now.Sub(report.receivedAt) > maxReportAge {
			delete(merger.latest, host)
			continue
		}
		if sum.Partitions == nil {
			sum = cherrykeel.Demand{Partitions: make([]float64, len(report.demand.Partitions)), HotKeys: map[string]float64{}}
		}
		for partition, load := range report.demand.Partitions {
			sum.Partitions[partition] += load
		}
		for key, load := range report.demand.HotKeys {
			sum.HotKeys[key] += load
		}
	}
	return sum
}
