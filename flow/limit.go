package flow

import (
	"time"

	"cherrykeel"
	"cherrykeel/permit"
)

const (
	// limitWaitShare is the share of a request's time that it may wait for a permit though its answer is late then. With
	// less, a limit of some requests a second would go unused between two of them.
	limitWaitShare = 0.35
	// maxWants bounds the requests that a host asks permits of one upstream for at once.
	maxWants = 32
	// spareInterval is the interval at which a permit is asked for before a request needs it, spareTime how long that
	// request is kept up.
	spareInterval = 150 * time.Millisecond
	spareTime     = 300 * time.Millisecond
)

func permitIncarnation(upstream cherrykeel.Upstream) permit.Incarnation {
	return permit.Incarnation{ID: upstream.ID, StartedAt: upstream.StartedAt}
}

// hasPermit reports whether a request may be sent to the upstream as far as its limit is concerned.
func (member *member) hasPermit(now cherrykeel.Instant) bool {
	return !member.upstream.HasRateLimit || member.permits.Count(now) > 0
}

// lacksPermit reports whether the upstream gets no request now for want of a permit alone.
func (member *member) lacksPermit(now cherrykeel.Instant) bool {
	return !member.hasPermit(now) && member.isAvailable(now) && member.load() < member.limit()
}

// latestSend returns until when a request that is submitted now waits for a permit: as long as it can be answered
// before its target, or for a share of its time.
func (service *Service) latestSend(ticket *Ticket, now cherrykeel.Instant) cherrykeel.Instant {
	processingTime := service.meanProcessingTime()
	member, known := service.members[service.discipline.owner(ticket).ID]
	if known {
		processingTime = member.expectedProcessingTime(processingTime, now)
	}
	deadline := ticket.Deadline.Add(-time.Duration(minTimeShare * float64(processingTime)))
	share := now.Add(time.Duration(limitWaitShare * float64(deadline.Sub(now))))
	return max(ticket.Target.Add(-processingTime), share)
}

// isBeyondLimit reports whether limits leave no room for a request in time.
func (service *Service) isBeyondLimit(ticket *Ticket, now cherrykeel.Instant) bool {
	if !service.hasLimits {
		return false
	}
	return service.discipline.limitWaitEnd(ticket, now) > ticket.latestSend
}

// crowdedReason returns why a request is refused that would have to wait for too long.
func (service *Service) crowdedReason(ticket *Ticket, now cherrykeel.Instant) Reason {
	if service.hasLimits && service.discipline.isLimited(ticket, now) {
		return Limited
	}
	return Crowded
}

// limitWait returns how long a request waits for a permit at least, since others of this host go before it.
func (owned *owned) limitWait(ticket *Ticket, member *member) time.Duration {
	ahead := 0
	for _, other := range owned.service.waiting {
		if other.isBefore(ticket) && owned.isCompeting(other, ticket) {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / permit.RateOf(member.upstream.RateLimit) * float64(time.Second))
}

// limitWaitEnd implements discipline.
func (owned *owned) limitWaitEnd(ticket *Ticket, now cherrykeel.Instant) cherrykeel.Instant {
	if ticket.Key == cherrykeel.NoKey {
		return owned.keyless.limitWaitEnd(ticket, now)
	}
	member, known := owned.service.members[owned.owner(ticket).ID]
	if !known || !member.upstream.HasRateLimit {
		return 0
	}
	return now.Add(owned.limitWait(ticket, member))
}

// isLimited implements discipline.
func (owned *owned) isLimited(ticket *Ticket, now cherrykeel.Instant) bool {
	if ticket.Key == cherrykeel.NoKey {
		return owned.keyless.isLimited(ticket, now)
	}
	member, known := owned.service.members[owned.owner(ticket).ID]
	return known && member.upstream.HasRateLimit
}

// limitedFor implements discipline.
func (owned *owned) limitedFor(ticket *Ticket, now cherrykeel.Instant) *member {
	if ticket.Key == cherrykeel.NoKey {
		return owned.keyless.limitedFor(ticket, now)
	}
	owner := owned.owner(ticket)
	member, known := owned.service.members[owner.ID]
	if !known || owner.InTransfer || !member.lacksPermit(now) {
		return nil
	}
	return member
}

// limitWaitEnd implements discipline. A request that all upstreams have declined waits for none of them.
func (shared *shared) limitWaitEnd(ticket *Ticket, now cherrykeel.Instant) cherrykeel.Instant {
	switch {
	case !shared.isLimited(ticket, now):
		return 0
	case len(ticket.declined) > 0 && shared.limitedFor(ticket, now) == nil:
		return ticket.latestSend + 1
	default:
		return now
	}
}

// isLimited implements discipline.
func (shared *shared) isLimited(ticket *Ticket, now cherrykeel.Instant) bool {
	limited := false
	for _, member := range shared.members {
		if !member.isAvailable(now) || ticket.excludes(member) {
			continue
		}
		if !member.upstream.HasRateLimit {
			return false
		}
		limited = true
	}
	return limited
}

// limitedFor implements discipline. A request stays with the upstream that it has asked for a permit of, so that the
// same request is not asked for twice.
func (shared *shared) limitedFor(ticket *Ticket, now cherrykeel.Instant) *member {
	var candidates []*member
	total := 0.0
	serviceMean := shared.service.meanProcessingTime()
	for _, member := range shared.members {
		incarnation := permitIncarnation(member.upstream)
		if !member.lacksPermit(now) || member.isLeaving() || ticket.excludes(member) || ticket.declined[incarnation] {
			continue
		}
		if ticket.wanted == incarnation {
			return member
		}
		candidates = append(candidates, member)
		total += member.rate(serviceMean, now)
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[shared.pickWeighted(candidates, total, serviceMean, now)]
}

// untriedLimited returns an upstream that names a limit, for which there is a permit and which this host has sent nothing
// for a while. If it were never the best choice, nobody would learn that it is no longer in need.
func (shared *shared) untriedLimited(ticket *Ticket, now cherrykeel.Instant) *member {
	if !shared.service.hasLimits {
		return nil
	}
	serviceMean := shared.service.meanProcessingTime()
	for _, member := range shared.members {
		isDue := member.upstream.HasRateLimit && member.isIdle(now) && !member.isLeaving()
		if isDue && member.canAccept(&shared.service.uncertainty, now) && !ticket.excludes(member) && !ticket.expiresWithin(member.expectedTime(serviceMean, now), now) {
			return member
		}
	}
	return nil
}

// wantSpare wants, when a request without a key has been sent, a permit before the next one needs it, now and then:
// requests go to other upstreams meanwhile, which don't wait for permits.
func (service *Service) wantSpare(sent *Ticket, now cherrykeel.Instant) {
	if !service.hasLimits || sent.Key != cherrykeel.NoKey || now.Sub(service.spareWantedAt) < spareInterval {
		return
	}
	service.spare = service.discipline.limitedFor(&Ticket{Key: cherrykeel.NoKey}, now)
	service.spareWantedAt = now
}

// HasWants reports whether permits are wanted.
func (service *Service) HasWants(now cherrykeel.Instant) bool {
	return service.hasLimits && (len(service.waiting) > 0 || service.isSpareWanted(now))
}

func (service *Service) isSpareWanted(now cherrykeel.Instant) bool {
	return service.spare != nil && service.spare.lacksPermit(now) && now.Sub(service.spareWantedAt) < spareTime
}

// Wants returns what this host wants of each upstream that names a limit: permits for the requests that wait for nothing
// else, in their order.
func (service *Service) Wants(now cherrykeel.Instant) []permit.Ask {
	if !service.hasLimits {
		return nil
	}
	wants := map[permit.Incarnation][]permit.Want{}
	for _, ticket := range service.waiting {
		member := service.discipline.limitedFor(ticket, now)
		if member == nil {
			continue
		}
		ticket.wanted = permitIncarnation(member.upstream)
		room := min(maxWants, max(1, member.limit()-member.load()))
		if len(wants[ticket.wanted]) < room {
			wants[ticket.wanted] = append(wants[ticket.wanted], permit.Want{ID: ticket.order, Priority: ticket.Priority, Left: ticket.latestSend.Sub(now)})
		}
	}
	if service.isSpareWanted(now) {
		incarnation := permitIncarnation(service.spare.upstream)
		wants[incarnation] = append(wants[incarnation], permit.Want{Left: spareTime - now.Sub(service.spareWantedAt)})
	}
	var asks []permit.Ask
	for _, member := range service.members {
		if member.upstream.HasRateLimit {
			incarnation := permitIncarnation(member.upstream)
			asks = append(asks, permit.Ask{Upstream: incarnation, Wants: wants[incarnation]})
		}
	}
	return asks
}

// AddPermits records permits to send an upstream requests now, and sends those that wait for them.
func (service *Service) AddPermits(incarnation permit.Incarnation, count int, now cherrykeel.Instant) {
	member, known := service.members[incarnation.ID]
	if !known || permitIncarnation(member.upstream) != incarnation {
		return
	}
	member.permits.Add(count, now)
	service.Dispatch(now)
}

// DeclineWants records that an upstream has no permits in time for some requests. Those that no other upstream can serve
// are refused at once.
func (service *Service) DeclineWants(incarnation permit.Incarnation, ids []uint64, now cherrykeel.Instant) {
	declined := map[uint64]bool{}
	for _, id := range ids {
		declined[id] = true
	}
	var kept []*Ticket
	var callbacks []func()
	for _, ticket := range service.waiting {
		if declined[ticket.order] && service.isDeclined(ticket, incarnation, now) {
			refusal := service.newRefusal(ticket, Limited, now)
			callbacks = append(callbacks, func() { ticket.Notify(refusal) })
			continue
		}
		kept = append(kept, ticket)
	}
	service.waiting = kept
	for _, notify := range callbacks {
		notify()
	}
}

// isDeclined records that an upstream has no permit for a request, and reports whether no other upstream can serve it. A
// key may have another owner by now.
func (service *Service) isDeclined(ticket *Ticket, incarnation permit.Incarnation, now cherrykeel.Instant) bool {
	owner := service.discipline.owner(ticket)
	if owner.ID != "" {
		return owner.ID == incarnation.ID
	}
	if ticket.declined == nil {
		ticket.declined = map[permit.Incarnation]bool{}
	}
	ticket.declined[incarnation] = true
	return service.isBeyondLimit(ticket, now)
}
