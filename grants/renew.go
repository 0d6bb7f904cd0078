package grants

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/spans"
)

const (
	// minLease is the shortest lease: after it, the keys of a crashed upstream with short processing times are free,
	// and it is long enough to outlast four lost renewals.
	minLease      = 2500 * time.Millisecond
	renewInterval = 600 * time.Millisecond
	// retryInterval is the interval between attempts while grants are not answered.
	retryInterval = 200 * time.Millisecond
	// unavailableAfter is the number of consecutive unanswered grants after which an upstream counts as unavailable.
	// Those within minMissInterval of the first count no more than the first alone: otherwise a running upstream that
	// reset the connections of two spans' grants at the same time would lose its keys for 5 s.
	unavailableAfter = 2
	minMissInterval  = 150 * time.Millisecond
	// unavailableFor is how long an unavailable upstream gets no grants, so that its lease expires and its keys become
	// free: an unanswered grant may have been accepted, which starts the lease again. After that it is granted its keys
	// again.
	unavailableFor = 5 * time.Second
)

type grantState struct {
	upstream   cherrykeel.Upstream
	handover   string
	sentAt     cherrykeel.Instant
	sent       bool
	accepted   bool
	acceptedAt cherrykeel.Instant
	// remainder means that the span is the remainder of a larger one, from which acceptedAt was copied.
	remainder bool
	pending   bool
	refused   bool
	// overdue means that the last attempt was not answered because this host left it too little time.
	overdue bool
	// withdrawn grants must no longer be sent; workers read it.
	withdrawn atomic.Bool
}

// contact holds what is known of an upstream's process and of its answers to grants.
type contact struct {
	// answering means that it has answered the last grant.
	answering bool
	misses    int
	// missedAt is when the first of the consecutive misses was recorded.
	missedAt         cherrykeel.Instant
	unavailableUntil cherrykeel.Instant
	// probing means that a probe is under way; leaving is the result of the last one.
	probing  bool
	probed   bool
	probedAt cherrykeel.Instant
	leaving  bool
	// departed means that it gets no more grants in this term, as this host has known since departedAt.
	departed   bool
	departedAt cherrykeel.Instant
	// processEnded means that its process is known to have ended, since processEndedAt.
	processEnded   bool
	processEndedAt cherrykeel.Instant
	// held is until when it may hold keys, by the address at which it was granted them.
	held map[string]cherrykeel.Instant
	// asking means that the process at its address is being asked who it is; askedAt is when it was asked last.
	asking  bool
	askedAt cherrykeel.Instant
	// startedAt is the start of its present incarnation, if known; restarted means that there was another incarnation
	// before in this term.
	startedAt int64
	restarted bool
}

func (keeper *Keeper) contact(id string) *contact {
	known, exists := keeper.contacts[id]
	if !exists {
		known = &contact{held: map[string]cherrykeel.Instant{}}
		keeper.contacts[id] = known
	}
	return known
}

// recordAnswer records that the upstream has answered a grant.
func (contact *contact) recordAnswer() {
	contact.misses = 0
	contact.answering = true
	contact.processEnded = false
}

// recordLease records that the upstream, at an address, may hold keys until a time.
func (contact *contact) recordLease(address string, until cherrykeel.Instant) {
	contact.held[address] = max(contact.held[address], until)
}

// boundUnknownLeases sets the end of the leases whose end was not known.
func (contact *contact) boundUnknownLeases(until cherrykeel.Instant) {
	for address, end := range contact.held {
		if end == spans.Never {
			contact.held[address] = until
		}
	}
}

// heldUntil returns the end of the last of the upstream's leases.
func (contact *contact) heldUntil() cherrykeel.Instant {
	latest := cherrykeel.Instant(0)
	for _, until := range contact.held {
		latest = max(latest, until)
	}
	return latest
}

// mayHoldElsewhere reports whether the upstream may hold keys that it was granted at another address.
func (contact *contact) mayHoldElsewhere(address string, now cherrykeel.Instant) bool {
	for other, until := range contact.held {
		if other != address && until > now {
			return true
		}
	}
	return false
}

// recordProcessEnd records that the upstream's process has ended.
func (contact *contact) recordProcessEnd(now cherrykeel.Instant) {
	if contact.processEnded {
		return
	}
	contact.processEnded = true
	contact.processEndedAt = now
}

// recordMiss records that a grant was not answered, which may make the upstream count as unavailable.
func (contact *contact) recordMiss(now cherrykeel.Instant) {
	if contact.misses == 0 {
		contact.missedAt = now
	}
	contact.misses++
	contact.answering = false
	if contact.isUnresponsive(now) {
		contact.unavailableUntil = now.Add(unavailableFor)
	}
}

// isUnresponsive reports whether enough consecutive grants were not answered, over a long enough time.
func (contact *contact) isUnresponsive(now cherrykeel.Instant) bool {
	return contact.misses >= unavailableAfter && now.Sub(contact.missedAt) >= minMissInterval
}

// renewGrants grants each span of the table to its owner, and renews the grant before its lease expires.
func (keeper *Keeper) renewGrants(ctx context.Context, table spans.Table, now cherrykeel.Instant) {
	wanted := map[spans.GrantedSpan]bool{}
	for service, list := range table.Services {
		for _, owned := range list {
			if owned.Owner == "" || owned.InTransfer {
				continue
			}
			key := spans.GrantedSpan{Service: service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence}
			wanted[key] = true
			keeper.renewGrant(ctx, key, owned, now)
		}
	}
	for key, state := range keeper.grants {
		if wanted[key] {
			continue
		}
		state.withdrawn.Store(true)
		if !state.pending {
			delete(keeper.grants, key)
		}
	}
}

func (keeper *Keeper) renewGrant(ctx context.Context, key spans.GrantedSpan, owned spans.Owned, now cherrykeel.Instant) {
	state, exists := keeper.grants[key]
	if !exists || state.withdrawn.Load() && !state.pending {
		state = keeper.newGrant(key, owned)
	}
	contact := keeper.contact(key.Owner)
	interval := renewInterval
	if state.sent && !state.accepted || state.overdue || contact.misses > 0 {
		interval = retryInterval
	}
	if state.pending || state.refused || state.sent && now.Sub(state.sentAt) < interval || keeper.isUnavailable(key.Owner, now) {
		return
	}
	if keeper.isTransferPending(key) || keeper.ledger.FreeAt(key.Service, key.Owner, key.Span) > now || keeper.hasProcessEnded(key.Owner, owned.Address, now) {
		return
	}
	keeper.sendGrant(ctx, key, state, now)
}

// newGrant creates the state of a grant that is to be sent.
func (keeper *Keeper) newGrant(key spans.GrantedSpan, owned spans.Owned) *grantState {
	state := &grantState{upstream: cherrykeel.Upstream{ID: owned.Owner, Address: owned.Address, StartedAt: owned.StartedAt}, handover: keeper.handoverFor(key)}
	whole, cut := keeper.coveringGrant(key)
	if cut {
		state.remainder = true
		state.acceptedAt = whole.acceptedAt
	}
	keeper.grants[key] = state
	return state
}

func (keeper *Keeper) markAccepted(state *grantState, now cherrykeel.Instant) {
	state.accepted = true
	if !state.remainder {
		state.acceptedAt = now
	}
}

// recordReplaced records that another upstream has answered at the address of an incarnation, so that it has ended. It does
// nothing if the next one is already known, since that one may hold keys.
func (keeper *Keeper) recordReplaced(upstream cherrykeel.Upstream, now cherrykeel.Instant) {
	if keeper.contact(upstream.ID).startedAt > upstream.StartedAt {
		return
	}
	events.Log(keeper.logger, events.UpstreamEnded,
		zap.String("Upstream", upstream.ID), zap.String("Address", upstream.Address), zap.Int64("Born", upstream.StartedAt), zap.String("EndedBy", "answer to an order"))
	keeper.endProcess(upstream.ID, upstream.Address, now)
	keeper.environment.NotifyEnded(upstream)
}

// endProcess ends the leases of an upstream whose process at an address has ended. An entry of another writer may have
// named a wrong address for an upstream that runs: what that one was granted at another address runs out by itself.
func (keeper *Keeper) endProcess(id, address string, now cherrykeel.Instant) {
	contact := keeper.contact(id)
	if contact.mayHoldElsewhere(address, now) {
		return
	}
	keeper.ledger.RecordProcessEnd(id)
	contact.recordProcessEnd(now)
}

// recordIncarnations records the upstreams' present incarnations. What was recorded about an earlier one, for instance
// that it does not answer or leaves, does not apply to the next one. What the earlier one may hold stays in the ledger,
// under the same ID.
func (keeper *Keeper) recordIncarnations() {
	for _, upstream := range keeper.environment.Upstreams() {
		known := keeper.contact(upstream.ID)
		if upstream.StartedAt <= known.startedAt {
			continue
		}
		if known.startedAt > 0 {
			*known = contact{departed: known.departed, departedAt: known.departedAt, restarted: true, held: known.held}
		}
		known.startedAt = upstream.StartedAt
	}
}

// hasProcessEnded reports whether the upstream's process is known to have ended, and records it.
func (keeper *Keeper) hasProcessEnded(id, address string, now cherrykeel.Instant) bool {
	if !keeper.environment.HasEnded(id, address) {
		return false
	}
	keeper.endProcess(id, address, now)
	return true
}
