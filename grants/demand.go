package grants

import (
	"time"

	"cherrykeel"
	"cherrykeel/share"
	"cherrykeel/spans"
)

// speedReport is what one host says of an upstream's speed.
type speedReport struct {
	processingTime time.Duration
	receivedAt     cherrykeel.Instant
}

// RecordDemand takes the keys that a host was asked for.
func (keeper *Keeper) RecordDemand(demand share.Demand) {
	select {
	case keeper.demands <- demand:
	default:
		// The next one is 100 ms away; a lost count only delays a move.
	}
}

func (keeper *Keeper) addDemand(demand share.Demand) {
	counted := keeper.demandFor(demand.Service)
	for _, key := range demand.Keys {
		counted.Add(key, 1)
	}
	now := keeper.clock.Now()
	for id, work := range demand.ProcessingTimes {
		words, known := keeper.speedReports[id]
		if !known {
			words = map[string]speedReport{}
			keeper.speedReports[id] = words
		}
		words[demand.Host] = speedReport{processingTime: work, receivedAt: now}
	}
}

// processingTime is the mean over what the hosts have said lately, or 0. Each host sees but a part of an
// upstream's answers; together they notice within a second or two that it has turned slow.
func (keeper *Keeper) processingTime(id string, now cherrykeel.Instant) time.Duration {
	var total time.Duration
	count := 0
	for host, word := range keeper.speedReports[id] {
		if now.Sub(word.receivedAt) > maxSpeedReportAge {
			delete(keeper.speedReports[id], host)
			continue
		}
		total += word.processingTime
		count++
	}
	if count == 0 {
		return 0
	}
	return total / time.Duration(count)
}

func (keeper *Keeper) demandFor(service string) *spans.Demand {
	counted, known := keeper.demand[service]
	if !known {
		counted = spans.NewDemand(keeper.clock.Now())
		keeper.demand[service] = counted
	}
	return counted
}
