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
	// settleTime is how long a span stays with an owner before balance may move it again.
	settleTime = time.Second
	// usualWork is assumed of an upstream that no request has been answered by.
	usualWork = 100 * time.Millisecond
	// coldShare is what an upstream that has just started can do of its usual work.
	coldShare = 0.5
)

type releaseState struct {
	pending bool
	done    bool
	// endedAt is when the last try was answered or given up.
	endedAt  cherrykeel.Instant
	handover string
}

// again reports whether a release that went unanswered is to be sent once more. A release is never refused and
// may be repeated; without it a lost answer would leave the keys without an owner until the hold has passed.
func (state *releaseState) again(now cherrykeel.Instant) bool {
	return !state.pending && !state.done && now.Sub(state.endedAt) >= retryGrant
}

// change writes the next table if upstreams joined, left or were lost, or load has shifted.
func (keeper *Keeper) change(ctx context.Context, table spans.Table, next int64, now cherrykeel.Instant) {
	keeper.release(ctx, table, now)
	if keeper.writing || now < keeper.writeAfter || keeper.refused(ctx, table, next) || keeper.revives(ctx, table, next, now) {
		return
	}
	balance := now.Sub(keeper.plannedAt) >= planEvery
	if balance {
		keeper.plannedAt = now
	}
	changed := keeper.table.IsCorrupt()
	proposal := table.Clone()
	for _, service := range keeper.world.KeyedServices() {
		list, differs := table.NextSpans(service.Name, keeper.facts(service.Name, next, balance, now))
		if differs {
			proposal.Services[service.Name] = list
			changed = true
		}
	}
	if !changed {
		return
	}
	events.Log(keeper.logger, events.SpansChanged, zap.Int64("At", next), zap.Int64("Term", table.Term))
	keeper.noteTransfers(table, proposal, next, now)
	keeper.write(ctx, proposal, next)
}

// refused claims anew after a refusal by a higher fence, since the same fence can never be taken.
func (keeper *Keeper) refused(ctx context.Context, table spans.Table, next int64) bool {
	for _, state := range keeper.grants {
		if state.refused {
			keeper.claim(ctx, table, next, "a grant met a higher fence")
			return true
		}
	}
	return false
}

func (keeper *Keeper) facts(service string, next int64, balance bool, now cherrykeel.Instant) spans.Input {
	demand := keeper.demandOf(service)
	demand.Decay(now)
	candidates := keeper.candidates(service, now)
	moves := 0
	if balance {
		moves = max(movesAtOnce, len(candidates)/upstreamsPerMove)
	}
	return spans.Input{
		Offset:        next,
		Candidates:    candidates,
		Demand:        demand,
		IsUnavailable: func(owner string) bool { return keeper.lost(owner, now) },
		IsFree:        func(span cherrykeel.KeySpan) bool { return keeper.ledger.FreeAt(service, "", span) <= now },
		IsSettled:     func(owned spans.Owned) bool { return keeper.settled(service, owned, now) },
		MaxMoves:      moves,
	}
}

func (keeper *Keeper) lost(id string, now cherrykeel.Instant) bool {
	contact, known := keeper.contacts[id]
	return known && (contact.departed || contact.misses > 0 && now < contact.lostUntil)
}

// settled reports whether a span has been with its owner for long enough to be moved. A part of it that has
// just been cut off has been there for as long as the whole.
func (keeper *Keeper) settled(service string, owned spans.Owned, now cherrykeel.Instant) bool {
	key := spans.GrantedSpan{Service: service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence}
	state, known := keeper.grants[key]
	if !known {
		state, known = keeper.covering(key)
	}
	return known && state.taken && now.Sub(state.takenAt) >= settleTime
}

// covering returns the grant of a larger span from which the given one was cut.
func (keeper *Keeper) covering(key spans.GrantedSpan) (*grantState, bool) {
	for other, state := range keeper.grants {
		inside := other.Service == key.Service && other.Owner == key.Owner && other.Fence == key.Fence &&
			other.Span != key.Span && other.Span.Covers(key.Span)
		if inside && state.taken {
			return state, true
		}
	}
	return nil, false
}

func (keeper *Keeper) candidates(service string, now cherrykeel.Instant) []spans.Candidate {
	var known []time.Duration
	var candidates []spans.Candidate
	total := time.Duration(0)
	upstreams := keeper.world.Upstreams()
	for _, upstream := range upstreams {
		work := keeper.workTime(upstream.ID, now)
		if upstream.Service == service && work > 0 {
			known = append(known, work)
			total += work
		}
	}
	mean := usualWork
	if len(known) > 0 {
		mean = total / time.Duration(len(known))
	}
	for _, upstream := range upstreams {
		if upstream.Service != service || upstream.Leaving || upstream.EvacuateAt != 0 || keeper.lost(upstream.ID, now) {
			continue
		}
		candidates = append(candidates, spans.Candidate{ID: upstream.ID, Address: upstream.Address, StartedAt: upstream.StartedAt, Capacity: keeper.capacity(upstream, mean, now), Cold: upstream.IsColdLimited(now)})
	}
	return candidates
}

func (keeper *Keeper) capacity(upstream cherrykeel.Upstream, mean time.Duration, now cherrykeel.Instant) float64 {
	work := keeper.workTime(upstream.ID, now)
	if work == 0 {
		work = mean
	}
	capacity := float64(upstream.Slots) / work.Seconds()
	if now < upstream.ColdUntil {
		capacity *= coldShare
	}
	return capacity
}

// release asks owners to give back the spans that the table says are moving.
func (keeper *Keeper) release(ctx context.Context, table spans.Table, now cherrykeel.Instant) {
	wanted := map[spans.GrantedSpan]bool{}
	for service, list := range table.Services {
		for _, owned := range list {
			if !owned.InTransfer {
				continue
			}
			// Every grant of the span bears a fence at or below its own; the release is above them,
			// so that none of them is taken after it.
			key := spans.GrantedSpan{Service: service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence + 1}
			wanted[key] = true
			state, under := keeper.releases[key]
			if !under || state.again(now) {
				keeper.releaseOne(ctx, key, owned, now)
			}
		}
	}
	for key, state := range keeper.releases {
		if !wanted[key] && !state.pending && !keeper.awaited(table, key) {
			delete(keeper.releases, key)
		}
	}
}

// awaited reports whether a handover has still to be passed on with a grant.
func (keeper *Keeper) awaited(table spans.Table, key spans.GrantedSpan) bool {
	for _, owned := range table.Services[key.Service] {
		if owned.First > key.Span.Last || owned.Last < key.Span.First {
			continue
		}
		state, known := keeper.grants[spans.GrantedSpan{Service: key.Service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence}]
		if !known || !state.taken {
			return true
		}
	}
	return false
}

func (keeper *Keeper) releaseOne(ctx context.Context, key spans.GrantedSpan, owned spans.Owned, now cherrykeel.Instant) {
	state := &releaseState{pending: true}
	keeper.releases[key] = state
	keeper.withdraw(key)
	upstream := cherrykeel.Upstream{ID: owned.Owner, Address: owned.Address, StartedAt: owned.StartedAt}
	hold := keeper.hold(key.Service, key.Owner, now)
	events.Log(keeper.logger, events.SpanTransferStarted,
		zap.String("Service", key.Service), zap.String("Upstream", key.Owner), zap.Int("First", owned.First), zap.Int("Last", owned.Last),
		zap.Int64("Fence", key.Fence), zap.Float64("Load", keeper.demandOf(key.Service).Load(owned.Span())), zap.Duration("Hold", hold))
	term := keeper.term
	keeper.workers.releases.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, hold+releaseMargin)
		defer cancel()
		waited := keeper.clock.Now().Sub(now)
		handover, err := keeper.releaseIn(ctx, waited, upstream, key)
		keeper.meter.ordered(orderRelease, err, waited)
		keeper.results <- func(ended cherrykeel.Instant) {
			state.pending = false
			keeper.urgent = true
			if keeper.term != term {
				return
			}
			state.endedAt = ended
			keeper.released(key, state, handover, err, ended.Sub(now), waited)
		}
	})
}

// releaseIn sends a release, unless it has waited for long: its owner may have been granted the span again since.
func (keeper *Keeper) releaseIn(ctx context.Context, waited time.Duration, upstream cherrykeel.Upstream, key spans.GrantedSpan) (string, error) {
	if waited > longestWait {
		return "", errors.WithStack(errOverdue)
	}
	return keeper.granter.Release(ctx, upstream, key.Span, key.Fence)
}

// withdraw takes back the grants of a span that wait for a worker while the span is released. The release leaves at
// once and raises the fence; a grant that left after it would be refused, as by another keeper's fence.
func (keeper *Keeper) withdraw(release spans.GrantedSpan) {
	for key, state := range keeper.grants {
		same := key.Service == release.Service && key.Owner == release.Owner && key.Fence < release.Fence
		if same && key.Span.Overlaps(release.Span) {
			state.withdrawn.Store(true)
		}
	}
}

func (keeper *Keeper) released(key spans.GrantedSpan, state *releaseState, handover string, err error, took, waited time.Duration) {
	fields := []zap.Field{
		zap.String("Service", key.Service), zap.String("Upstream", key.Owner), zap.Int("First", key.Span.First),
		zap.Int("Last", key.Span.Last), zap.Duration("Took", took), zap.Duration("Waited", waited),
	}
	if err != nil {
		events.Log(keeper.logger, events.GrantUnanswered, append(fields, zap.Error(err))...)
		return
	}
	state.done = true
	state.handover = handover
	keeper.ledger.RecordRelease(key)
	events.Log(keeper.logger, events.SpanFreed, fields...)
}

// handover returns what the last owner gave for keys that another owner gets now.
func (keeper *Keeper) handover(key spans.GrantedSpan) string {
	for released, state := range keeper.releases {
		covers := released.Service == key.Service && released.Span.Covers(key.Span)
		if covers && state.done && released.Fence <= key.Fence {
			return state.handover
		}
	}
	return ""
}
