package demand

import (
	"time"

	"cherrykeel"
)

const (
	// smoothingWindow is the time over which a keeper's view of the load is smoothed.
	smoothingWindow = 10 * time.Second
	// maxReportAge is how long a host's report counts after it came.
	maxReportAge = 15 * time.Second
	// minRounds keeps a keeper that has just begun from moving anything on a first glance.
	minRounds = 3
)

type report struct {
	receivedAt cherrykeel.Instant
	demand     cherrykeel.Demand
}

// Merger adds up the reports of all hosts at a service's keeper.
type Merger struct {
	partitionOf func(string) int
	latest      map[string]report
	smoothed    cherrykeel.Demand
	rounds      int
	mergedAt    cherrykeel.Instant
}

// NewMerger returns a merger that has heard nothing.
func NewMerger(partitions int, partitionOf func(string) int) *Merger {
	return &Merger{
		partitionOf: partitionOf,
		latest:      map[string]report{},
		smoothed:    cherrykeel.Demand{Partitions: make([]float64, partitions), HotKeys: map[string]float64{}},
	}
}

// Receive takes in a host's report of its requests a second.
func (merger *Merger) Receive(host string, demand cherrykeel.Demand, now cherrykeel.Instant) {
	if len(demand.Partitions) == len(merger.smoothed.Partitions) {
		merger.latest[host] = report{receivedAt: now, demand: demand}
	}
}

// Demand returns the smoothed load of all hosts, or nothing while too little is known.
func (merger *Merger) Demand(now cherrykeel.Instant) cherrykeel.Demand {
	if now.Sub(merger.mergedAt) >= time.Second {
		merger.merge(now)
	}
	if merger.rounds < minRounds {
		return cherrykeel.Demand{}
	}
	return merger.smoothed
}

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
	merger.fadeKeys(next, sum, weight)
	merger.smoothed = next
}

// fadeKeys lets keys fade that no host names any more; what is left of them counts for their partitions in the end.
func (merger *Merger) fadeKeys(next, sum cherrykeel.Demand, weight float64) {
	for key, old := range merger.smoothed.HotKeys {
		if _, reported := sum.HotKeys[key]; reported {
			continue
		}
		faded := old * (1 - weight)
		if faded >= 1 {
			next.HotKeys[key] = faded
		}
	}
}

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
