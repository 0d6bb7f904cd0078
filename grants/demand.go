package grants

import (
	"time"

	"cherrykeel"
	"cherrykeel/share"
	"cherrykeel/spans"
)

// workWord is what one host says of an upstream's speed.
type workWord struct {
	work time.Duration
	at   cherrykeel.Instant
}

// RecordDemand takes the keys that a host was asked for.
func (keeper *Keeper) RecordDemand(demand share.Demand) {
	select {
	case keeper.demands <- demand:
	default:
		// The next one is 100 ms away; a lost count only delays a move.
	}
}

func (keeper *Keeper) count(demand share.Demand) {
	counted := keeper.demandOf(demand.Service)
	for _, key := range demand.Keys {
		counted.Add(key, 1)
	}
	now := keeper.clock.Now()
	for id, work := range demand.ProcessingTimes {
		words, known := keeper.work[id]
		if !known {
			words = map[string]workWord{}
			keeper.work[id] = words
		}
		words[demand.Host] = workWord{work: work, at: now}
	}
}

// workTime is the mean over what the hosts have said lately, or 0. Each host sees but a part of an
// upstream's answers; together they notice within a second or two that it has turned slow.
func (keeper *Keeper) workTime(id string, now cherrykeel.Instant) time.Duration {
	var total time.Duration
	count := 0
	for host, word := range keeper.work[id] {
		if now.Sub(word.at) > wordAge {
			delete(keeper.work[id], host)
			continue
		}
		total += word.work
		count++
	}
	if count == 0 {
		return 0
	}
	return total / time.Duration(count)
}

func (keeper *Keeper) demandOf(service string) *spans.Demand {
	counted, known := keeper.demand[service]
	if !known {
		counted = spans.NewDemand(keeper.clock.Now())
		keeper.demand[service] = counted
	}
	return counted
}
