package grants

import (
	"time"

	"cherrykeel"
	"cherrykeel/share"
	"cherrykeel/spans"
)

// speedReport is the processing time that one host has reported for an upstream.
type speedReport struct {
	processingTime time.Duration
	receivedAt     cherrykeel.Instant
}

// RecordDemand counts the keys for which a host has received requests; it drops them if too many wait to be counted.
func (keeper *Keeper) RecordDemand(demand share.Demand) {
	select {
	case keeper.demands <- demand:
	default:
		// The next report follows in 100 ms; a lost one only delays a transfer.
	}
}

func (keeper *Keeper) addDemand(demand share.Demand) {
	counted := keeper.demandFor(demand.Service)
	for _, key := range demand.Keys {
		counted.Add(key, 1)
	}
	now := keeper.clock.Now()
	for id, processingTime := range demand.ProcessingTimes {
		reports, known := keeper.speedReports[id]
		if !known {
			reports = map[string]speedReport{}
			keeper.speedReports[id] = reports
		}
		reports[demand.Host] = speedReport{processingTime: processingTime, receivedAt: now}
	}
}

// processingTime is the mean of the recent reports of all hosts on an upstream, or 0 if there are none. Each host sees
// only a part of an upstream's answers; together they detect within a second or two that it has become slow.
func (keeper *Keeper) processingTime(id string, now cherrykeel.Instant) time.Duration {
	var total time.Duration
	count := 0
	for host, report := range keeper.speedReports[id] {
		if now.Sub(report.receivedAt) > maxSpeedReportAge {
			delete(keeper.speedReports[id], host)
			continue
		}
		total += report.processingTime
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
