package grants

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/spans"
)

const (
	// settleTime is how long a span stays with an owner before it may be transferred again for balance.
	settleTime = time.Second
	// defaultProcessingTime is assumed for an upstream that has not answered any request yet.
	defaultProcessingTime = 100 * time.Millisecond
	// coldCapacityShare is the share of its usual capacity that an upstream has just after its start.
	coldCapacityShare = 0.5
)

type releaseState struct {
	pending  bool
	answered bool
	// attemptEndedAt is when the last attempt was answered or abandoned.
	attemptEndedAt cherrykeel.Instant
	handover       string
}

// shouldRetry reports whether an unanswered release must be sent again. Upstreams never refuse a release, and it may be
// repeated. Without the retry a lost answer would leave the keys without an owner until the lease has expired.
func (state *releaseState) shouldRetry(now cherrykeel.Instant) bool {
	return !state.pending && !state.answered && now.Sub(state.attemptEndedAt) >= retryInterval
}

// updateTable writes the next table if upstreams have joined, left or become unavailable, or if the load has shifted.
func (keeper *Keeper) updateTable(ctx context.Context, table spans.Table, next int64, now cherrykeel.Instant) {
	keeper.releaseSpansInTransfer(ctx, table, now)
	if keeper.writing || now < keeper.writeAfter || keeper.claimInNewEra(ctx, table, next) || keeper.reclaimAfterRefusal(ctx, table, next, now) || keeper.reclaimForReturned(ctx, table, next, now) {
		return
	}
	balance := now.Sub(keeper.plannedAt) >= planInterval
	if balance {
		keeper.plannedAt = now
	}
	changed := keeper.table.IsCorrupt()
	proposal := table.Clone()
	if keeper.isUncertain {
		return
	}
	if table.Uncertain {
		proposal.Uncertain = false
		changed = true
	}
	for _, service := range keeper.environment.KeyedServices() {
		list, differs := table.NextSpans(service.Name, keeper.planInput(service.Name, table.Services[service.Name], next, balance, now))
		if differs {
			proposal.Services[service.Name] = list
			changed = true
		}
	}
	if !changed {
		return
	}
	events.Log(keeper.logger, events.SpansChanged, zap.Int64("At", next), zap.Int64("Term", table.Term))
	keeper.recordTransfers(table, proposal, next, now)
	keeper.writeTable(ctx, proposal, next)
}

// reclaimAfterRefusal claims a new term if an upstream has refused a grant because it has seen a higher fence: it would
// refuse the same fence again and again. The pauses between such claims grow: where the fences of new terms stay below
// the one that was seen, claim after claim would take the store's time and come before the claim of any other host.
func (keeper *Keeper) reclaimAfterRefusal(ctx context.Context, table spans.Table, next int64, now cherrykeel.Instant) bool {
	if now < keeper.reclaimAfter || !keeper.hasRefusedGrant() {
		return false
	}
	if now.Sub(keeper.reclaimAfter) > forgetReclaims {
		keeper.reclaimPause = 0
	}
	keeper.reclaimPause = min(max(minReclaimPause, 2*keeper.reclaimPause), maxReclaimPause)
	keeper.reclaimAfter = now.Add(keeper.reclaimPause)
	keeper.claim(ctx, table, next, "a grant was refused because of a higher fence")
	return true
}

func (keeper *Keeper) hasRefusedGrant() bool {
	for _, state := range keeper.grants {
		if state.refused {
			return true
		}
	}
	return false
}

func (keeper *Keeper) planInput(service string, list []spans.Owned, next int64, balance bool, now cherrykeel.Instant) spans.Input {
	demand := keeper.demandFor(service)
	demand.Decay(now)
	candidates, limits := keeper.candidates(service, now)
	keeper.applyLimits(candidates, limits, list, demand)
	moves := 0
	if balance {
		moves = max(maxMoves, len(candidates)/upstreamsPerMove)
	}
	return spans.Input{
		Offset:        next,
		Candidates:    candidates,
		Demand:        demand,
		IsUnavailable: func(owner string) bool { return keeper.isUnavailable(owner, now) },
		IsFree:        func(span cherrykeel.KeySpan) bool { return keeper.ledger.FreeAt(service, "", span) <= now },
		IsSettled:     func(owned spans.Owned) bool { return keeper.isSettled(service, owned, now) },
		MaxMoves:      moves,
	}
}

func (keeper *Keeper) isUnavailable(id string, now cherrykeel.Instant) bool {
	contact, known := keeper.contacts[id]
	return known && (contact.departed || contact.misses > 0 && now < contact.unavailableUntil)
}

// isSettled reports whether a span has been with its owner for long enough to be transferred. A part that has just been
// cut off a larger span has been there for as long as the whole.
func (keeper *Keeper) isSettled(service string, owned spans.Owned, now cherrykeel.Instant) bool {
	key := spans.GrantedSpan{Service: service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence}
	state, known := keeper.grants[key]
	if !known {
		state, known = keeper.coveringGrant(key)
	}
	return known && state.accepted && now.Sub(state.acceptedAt) >= settleTime
}

// coveringGrant returns the grant of a larger span from which the given one was cut.
func (keeper *Keeper) coveringGrant(key spans.GrantedSpan) (*grantState, bool) {
	for other, state := range keeper.grants {
		inside := other.Service == key.Service && other.Owner == key.Owner && other.Fence == key.Fence &&
			other.Span != key.Span && other.Span.Covers(key.Span)
		if inside && state.accepted {
			return state, true
		}
	}
	return nil, false
}

// candidates returns the upstreams that may own keys of a service, and the limits that some of them name.
func (keeper *Keeper) candidates(service string, now cherrykeel.Instant) ([]spans.Candidate, map[string]float64) {
	var known []time.Duration
	var candidates []spans.Candidate
	limits := map[string]float64{}
	total := time.Duration(0)
	upstreams := keeper.environment.Upstreams()
	for _, upstream := range upstreams {
		processingTime := keeper.processingTime(upstream.ID, now)
		if upstream.Service == service && processingTime > 0 {
			known = append(known, processingTime)
			total += processingTime
		}
	}
	mean := defaultProcessingTime
	if len(known) > 0 {
		mean = total / time.Duration(len(known))
	}
	for _, upstream := range upstreams {
		if upstream.Service != service || upstream.Leaving || upstream.IsClosing() || keeper.isUnavailable(upstream.ID, now) {
			continue
		}
		limit, limited := keeper.limitOf(upstream, now)
		if limited {
			limits[upstream.ID] = limit
		}
		candidates = append(candidates, spans.Candidate{ID: upstream.ID, Address: upstream.Address, StartedAt: upstream.StartedAt, Capacity: keeper.capacity(upstream, mean, now), Cold: upstream.IsColdLimited(now)})
	}
	return candidates, limits
}

func (keeper *Keeper) capacity(upstream cherrykeel.Upstream, mean time.Duration, now cherrykeel.Instant) float64 {
	processingTime := keeper.processingTime(upstream.ID, now)
	if processingTime == 0 {
		processingTime = mean
	}
	capacity := float64(upstream.Slots) / processingTime.Seconds()
	if now < upstream.ColdUntil {
		capacity *= coldCapacityShare
	}
	return capacity
}

// releaseSpansInTransfer sends releases to the owners of the spans that the table marks as in transfer.
func (keeper *Keeper) releaseSpansInTransfer(ctx context.Context, table spans.Table, now cherrykeel.Instant) {
	wanted := map[spans.GrantedSpan]bool{}
	for service, list := range table.Services {
		for _, owned := range list {
			if !owned.InTransfer {
				continue
			}
			// Every grant of the span has the span's fence or a lower one. The release has a higher one, so that the
			// owner accepts none of them after it.
			key := spans.GrantedSpan{Service: service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence + 1}
			wanted[key] = true
			state, exists := keeper.releases[key]
			if !exists || state.shouldRetry(now) {
				keeper.releaseSpan(ctx, key, owned, now)
			}
		}
	}
	for key, state := range keeper.releases {
		if !wanted[key] && !state.pending && !keeper.isHandoverPending(table, key) {
			delete(keeper.releases, key)
		}
	}
}

// isHandoverPending reports whether the handover of a released span must still be passed on with a grant.
func (keeper *Keeper) isHandoverPending(table spans.Table, key spans.GrantedSpan) bool {
	for _, owned := range table.Services[key.Service] {
		if owned.First > key.Span.Last || owned.Last < key.Span.First {
			continue
		}
		state, known := keeper.grants[spans.GrantedSpan{Service: key.Service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence}]
		if !known || !state.accepted {
			return true
		}
	}
	return false
}

func (keeper *Keeper) releaseSpan(ctx context.Context, key spans.GrantedSpan, owned spans.Owned, now cherrykeel.Instant) {
	state := &releaseState{pending: true}
	keeper.releases[key] = state
	keeper.withdrawGrants(key)
	upstream := cherrykeel.Upstream{ID: owned.Owner, Address: owned.Address, StartedAt: owned.StartedAt}
	lease := keeper.leaseFor(key.Service, key.Owner, now)
	events.Log(keeper.logger, events.SpanTransferStarted,
		zap.String("Service", key.Service), zap.String("Upstream", key.Owner), zap.Int("First", owned.First), zap.Int("Last", owned.Last),
		zap.Int64("Fence", key.Fence), zap.Float64("Load", keeper.demandFor(key.Service).Load(owned.Span())), zap.Duration("Hold", lease))
	term := keeper.term
	keeper.workers.releases.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, lease+releaseMargin)
		defer cancel()
		waited := keeper.clock.Now().Sub(now)
		handover, err := keeper.sendRelease(ctx, waited, upstream, key)
		keeper.meter.countOrder(orderRelease, err, waited)
		keeper.results <- func(ended cherrykeel.Instant) {
			state.pending = false
			keeper.needsTick = true
			if keeper.term != term {
				return
			}
			state.attemptEndedAt = ended
			if errors.Is(err, cherrykeel.ErrUpstreamReplaced) {
				keeper.recordReplaced(upstream, ended)
				return
			}
			keeper.recordRelease(key, state, handover, err, ended.Sub(now), waited)
		}
	})
}

// sendRelease sends a release unless it has waited too long for a worker: its owner may have been granted the span
// again in the meantime.
func (keeper *Keeper) sendRelease(ctx context.Context, waited time.Duration, upstream cherrykeel.Upstream, key spans.GrantedSpan) (string, error) {
	if waited > maxWorkerWait {
		return "", errors.WithStack(errOverdue)
	}
	return keeper.granter.Release(ctx, upstream, key.Span, key.Fence)
}

// withdrawGrants withdraws the grants of a span that still wait for a worker when the span is released. The release is
// sent at once and raises the fence; the upstream would refuse a grant that is sent after it, which would look like a
// refusal caused by another keeper's fence.
func (keeper *Keeper) withdrawGrants(release spans.GrantedSpan) {
	for key, state := range keeper.grants {
		same := key.Service == release.Service && key.Owner == release.Owner && key.Fence < release.Fence
		if same && key.Span.Overlaps(release.Span) {
			state.withdrawn.Store(true)
		}
	}
}

func (keeper *Keeper) recordRelease(key spans.GrantedSpan, state *releaseState, handover string, err error, took, waited time.Duration) {
	fields := []zap.Field{
		zap.String("Service", key.Service), zap.String("Upstream", key.Owner), zap.Int("First", key.Span.First),
		zap.Int("Last", key.Span.Last), zap.Duration("Took", took), zap.Duration("Waited", waited),
	}
	if err != nil {
		events.Log(keeper.logger, events.GrantUnanswered, append(fields, zap.Error(err))...)
		return
	}
	state.answered = true
	state.handover = handover
	keeper.ledger.RecordRelease(key)
	events.Log(keeper.logger, events.SpanFreed, fields...)
}

// handoverFor returns the handover that the previous owner returned for keys that another owner is granted now.
func (keeper *Keeper) handoverFor(key spans.GrantedSpan) string {
	for released, state := range keeper.releases {
		covers := released.Service == key.Service && released.Span.Covers(key.Span)
		if covers && state.answered && released.Fence <= key.Fence {
			return state.handover
		}
	}
	return ""
}
