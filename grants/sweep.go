package grants

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/spans"
)

// A keeper that claimed the role with a table from a copy of the store doesn't know which owners the lost tables named.
// Any upstream may hold any key that the table doesn't name it the owner of. Before a key is granted to its owner, each
// other upstream of the service answers a release of it, or the longest lease has expired.

// unknownOwners holds the releases of the keys that upstreams may hold without the table naming them.
type unknownOwners struct {
	releases map[spans.GrantedSpan]*unknownRelease
	// asked has the upstreams whose releases are among them, by service and ID.
	asked map[[2]string]bool
	// until is when all leases of earlier terms have expired, or 0 while that is not known.
	until cherrykeel.Instant
}

// unknownRelease is the release of a span that an upstream may hold.
type unknownRelease struct {
	releaseState
	upstream cherrykeel.Upstream
}

func newUnknownOwners() *unknownOwners {
	return &unknownOwners{releases: map[spans.GrantedSpan]*unknownRelease{}, asked: map[[2]string]bool{}}
}

// recordUnknownOwners records that each upstream of a keyed service may hold all keys that the table doesn't name it the
// owner of. Upstreams that are listed later are added.
func (keeper *Keeper) recordUnknownOwners(table spans.Table) {
	if !table.Uncertain {
		return
	}
	if keeper.unknownOwners == nil {
		keeper.unknownOwners = newUnknownOwners()
	}
	for _, service := range keeper.environment.KeyedServices() {
		for _, owned := range table.Services[service.Name] {
			keeper.addUnknownOwner(table, service.Name, cherrykeel.Upstream{ID: owned.Owner, Address: owned.Address, StartedAt: owned.StartedAt})
		}
		for _, upstream := range keeper.environment.Upstreams() {
			if upstream.Service == service.Name {
				keeper.addUnknownOwner(table, service.Name, upstream)
			}
		}
	}
}

func (keeper *Keeper) addUnknownOwner(table spans.Table, service string, upstream cherrykeel.Upstream) {
	name := [2]string{service, upstream.ID}
	if keeper.unknownOwners.asked[name] {
		return
	}
	keeper.unknownOwners.asked[name] = true
	for _, span := range table.SpansOfOthers(service, upstream.ID) {
		// Whatever grant an earlier keeper sent has a lower fence than this term's.
		held := spans.GrantedSpan{Service: service, Owner: upstream.ID, Span: span, Fence: table.Term - 1}
		keeper.ledger.RecordLease(held, spans.Never)
		keeper.contact(upstream.ID).recordLease(upstream.Address, spans.Never)
		release := spans.GrantedSpan{Service: service, Owner: upstream.ID, Span: span, Fence: table.Term}
		keeper.unknownOwners.releases[release] = &unknownRelease{upstream: upstream}
	}
}

// releaseUnknownOwners sends the releases that are not answered yet, and reports whether no upstream can hold keys without
// the table naming it.
func (keeper *Keeper) releaseUnknownOwners(ctx context.Context, table spans.Table, now cherrykeel.Instant) bool {
	if !table.Uncertain {
		keeper.unknownOwners = nil
		return true
	}
	keeper.recordUnknownOwners(table)
	settled := true
	for key, release := range keeper.unknownOwners.releases {
		if release.answered || keeper.hasLostUnknown(key, now) {
			continue
		}
		settled = false
		if !release.pending && now.Sub(release.attemptEndedAt) >= retryInterval {
			keeper.sendUnknownRelease(ctx, key, release, now)
		}
	}
	return settled
}

// hasLostUnknown reports whether an upstream cannot hold what it held in earlier terms any more: its process has ended, or
// the longest lease has expired.
func (keeper *Keeper) hasLostUnknown(key spans.GrantedSpan, now cherrykeel.Instant) bool {
	until := keeper.unknownOwners.until
	return keeper.contact(key.Owner).processEnded || until != 0 && now >= until
}

func (keeper *Keeper) sendUnknownRelease(ctx context.Context, key spans.GrantedSpan, release *unknownRelease, now cherrykeel.Instant) {
	release.pending = true
	term := keeper.term
	keeper.workers.releases.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, keeper.bounds().MaxLeaseDuration)
		defer cancel()
		waited := keeper.clock.Now().Sub(now)
		_, err := keeper.sendRelease(ctx, waited, release.upstream, key)
		keeper.meter.countOrder(orderRelease, err, waited)
		keeper.results <- func(ended cherrykeel.Instant) {
			release.pending = false
			release.attemptEndedAt = ended
			keeper.needsTick = true
			if keeper.term == term {
				keeper.recordUnknownRelease(key, release, err, ended)
			}
		}
	})
}

func (keeper *Keeper) recordUnknownRelease(key spans.GrantedSpan, release *unknownRelease, err error, now cherrykeel.Instant) {
	fields := []zap.Field{
		zap.String("Service", key.Service), zap.String("Upstream", key.Owner), zap.Int("First", key.Span.First), zap.Int("Last", key.Span.Last), zap.Int64("Fence", key.Fence),
	}
	if errors.Is(err, cherrykeel.ErrUpstreamReplaced) {
		keeper.recordReplaced(release.upstream, now)
		return
	}
	if err != nil {
		events.Log(keeper.logger, events.GrantUnanswered, append(fields, zap.Error(err))...)
		return
	}
	release.answered = true
	keeper.ledger.RecordRelease(key)
	events.Log(keeper.logger, events.UnknownOwnerReleased, fields...)
}

// claimInNewEra claims a new term if the store came back from a copy since this keeper's claim: tables of the term before
// would not be told from those that the copy lacks.
func (keeper *Keeper) claimInNewEra(ctx context.Context, table spans.Table, next int64) bool {
	if !isEraUnclaimed(table, next) {
		return false
	}
	keeper.claim(ctx, table, next, reasonRestored)
	return true
}
