package grants

import (
	"time"

	"cherrykeel"
	"cherrykeel/spans"
)

const (
	// limitMoveDelay is how long an owner must have named a limit before keys are moved for its sake: they are served
	// slower at their next owner for some seconds, which a second of need is not worth.
	limitMoveDelay = 1500 * time.Millisecond
	// limitHold is how long after its end a limit still counts, so that keys don't move back and forth.
	limitHold = 5 * time.Second
	// fitShare is the share of its limit that an owner's load may be; above it keys are moved, until it is
	// movedShare at the most.
	fitShare   = 0.95
	movedShare = 0.8
	// minLimitCapacity is the capacity of an owner that takes nothing: one of 0 would count as unknown.
	minLimitCapacity = 0.05
)

// heldLimit is the limit of an upstream's incarnation that counts until a time.
type heldLimit struct {
	startedAt int64
	limit     float64
	until     cherrykeel.Instant
}

// limitOf returns the limit that an upstream has named for some time, or has named until a while ago.
func (keeper *Keeper) limitOf(upstream cherrykeel.Upstream, now cherrykeel.Instant) (float64, bool) {
	if upstream.HasRateLimit && now.Sub(upstream.RateLimitSince) >= limitMoveDelay {
		keeper.limits[upstream.ID] = heldLimit{startedAt: upstream.StartedAt, limit: upstream.RateLimit, until: now.Add(limitHold)}
	}
	held, known := keeper.limits[upstream.ID]
	if !known || held.startedAt != upstream.StartedAt || now >= held.until {
		delete(keeper.limits, upstream.ID)
		return 0, false
	}
	return held.limit, true
}

// applyLimits makes candidates that name a limit get no more keys, and lowers the capacity of those whose load is above
// it, so that keys are moved away.
func (keeper *Keeper) applyLimits(candidates []spans.Candidate, limits map[string]float64, list []spans.Owned, demand *spans.Demand) {
	if len(limits) == 0 {
		return
	}
	loads := map[string]float64{}
	for _, owned := range list {
		if !owned.InTransfer {
			loads[owned.Owner] += demand.Load(owned.Span())
		}
	}
	for i := range candidates {
		candidate := &candidates[i]
		limit, limited := limits[candidate.ID]
		if !limited {
			continue
		}
		candidate.Limited = true
		if loads[candidate.ID] > fitShare*limit {
			candidate.Capacity = min(candidate.Capacity, max(movedShare*limit, minLimitCapacity))
		}
	}
}
