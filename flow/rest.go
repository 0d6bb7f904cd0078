package flow

import (
	"maps"
	"time"

	"cherrykeel"
)

// maxDispatchDelay is the time after the end of a rest by which waiting requests get their slots: hosts dispatch every
// 10 ms, and a busy one is late with that. A request without that time would wait through the rest for a refusal.
const maxDispatchDelay = 20 * time.Millisecond

// maxCarriedRest is how long a rest may last, from when it was asked for, if the upstream turns out to have been restarted
// under its ID. Until this host learns that, it takes what the new incarnation answers for the previous one's, and while
// the store is unavailable it learns nothing for seconds.
const maxCarriedRest = 10 * time.Second

// incarnation is one life of an upstream.
type incarnation struct {
	id        string
	startedAt int64
}

func incarnationOf(upstream cherrykeel.Upstream) incarnation {
	return incarnation{id: upstream.ID, startedAt: upstream.StartedAt}
}

// rest is a time in which an upstream wants no request from this host.
type rest struct {
	// askedAt is when the upstream asked for it last.
	askedAt cherrykeel.Instant
	until   cherrykeel.Instant
}

// rests holds the rests of upstreams. An upstream's entry may lapse for a moment, and the member that then replaces its
// member would know nothing of its rest.
type rests map[incarnation]rest

// dropEnded removes the rests that have ended.
func (rests rests) dropEnded(now cherrykeel.Instant) {
	for incarnation, rest := range rests {
		if rest.until <= now {
			delete(rests, incarnation)
		}
	}
}

// carryOver gives the rest of an incarnation to the next one, which may have asked for it. A longer one may be the reason
// for the restart, and ends early.
func (rests rests) carryOver(from, to incarnation) {
	carried, known := rests[from]
	if !known {
		return
	}
	carried.until = min(carried.until, carried.askedAt.Add(maxCarriedRest))
	rests[to] = carried
}

// RecordRest records that an upstream wants no request from this host for a time from now on, and reports whether a rest
// begins with that. A rest is only ever made longer, since the upstream's word on it holds to its end. A slot there is
// released after that.
func (service *Service) RecordRest(upstream cherrykeel.Upstream, duration time.Duration, now cherrykeel.Instant) bool {
	incarnation := incarnationOf(upstream)
	before := service.rests[incarnation].until
	until := max(before, now.Add(duration))
	service.rests[incarnation] = rest{askedAt: now, until: until}
	current, known := service.members[upstream.ID]
	if known && incarnationOf(current.upstream) == incarnation {
		current.restUntil = until
	}
	return before <= now
}

// InheritRests takes over the rests of the scheduler that this one replaces, before it gets its upstreams.
func (service *Service) InheritRests(old *Service) {
	maps.Copy(service.rests, old.rests)
}

// IsResting reports whether an upstream wants no request from this host now.
func (service *Service) IsResting(upstream cherrykeel.Upstream, now cherrykeel.Instant) bool {
	return now < service.rests[incarnationOf(upstream)].until
}

// Resting returns how many of the service's upstreams want no request from this host now.
func (service *Service) Resting(now cherrykeel.Instant) int {
	count := 0
	for _, member := range service.members {
		if member.isResting(now) {
			count++
		}
	}
	return count
}

// isResting reports whether the upstream has asked this host for a rest that has not ended.
func (member *member) isResting(now cherrykeel.Instant) bool {
	return now < member.restUntil
}

// isHeldBack reports whether the upstream gets nothing from this host for a time: it has asked for a rest, or no
// connection to it could be opened.
func (member *member) isHeldBack(now cherrykeel.Instant) bool {
	return now < member.heldBackUntil()
}

func (member *member) heldBackUntil() cherrykeel.Instant {
	return max(member.restUntil, member.pausedUntil)
}

// heldBackReason returns why a ticket is refused whose upstreams are all held back for too long.
func (service *Service) heldBackReason(ticket *Ticket, now cherrykeel.Instant) Reason {
	owner, owned := service.members[service.discipline.owner(ticket).ID]
	if owned {
		return owner.heldBackReason(now)
	}
	for _, member := range service.members {
		if member.isResting(now) {
			return Resting
		}
	}
	return Unreached
}

func (member *member) heldBackReason(now cherrykeel.Instant) Reason {
	if member.isResting(now) {
		return Resting
	}
	return Unreached
}

// RestsTooLong reports whether all upstreams that may get a ticket are held back, and a slot when the first of them no
// longer is would not bring an answer in time.
func (service *Service) RestsTooLong(ticket *Ticket, now cherrykeel.Instant) bool {
	restEnd := service.discipline.restEnd(ticket, now)
	return restEnd > now && service.discipline.willMissDeadline(ticket, restEnd.Add(maxDispatchDelay))
}

// restsTooLongFor reports whether all upstreams that may get a ticket are held back, and an answer that is expected some
// time after the first of them no longer is would come too late.
func (service *Service) restsTooLongFor(ticket *Ticket, expected time.Duration, now cherrykeel.Instant) bool {
	restEnd := service.discipline.restEnd(ticket, now)
	return restEnd > now && ticket.expiresWithin(expected, restEnd.Add(maxDispatchDelay))
}

// RestLeft returns for how long all upstreams that may get a ticket are held back; 0 if one is not.
func (service *Service) RestLeft(ticket *Ticket, now cherrykeel.Instant) time.Duration {
	return max(0, service.discipline.restEnd(ticket, now).Sub(now))
}

// restEnd returns until when the key's owner is held back. A key that is about to get another owner does not wait for it.
func (owned *owned) restEnd(ticket *Ticket, now cherrykeel.Instant) cherrykeel.Instant {
	if ticket.Key == cherrykeel.NoKey {
		return owned.keyless.restEnd(ticket, now)
	}
	member, open := owned.findOpenOwner(ticket, now)
	if !open || owned.owner(ticket).InTransfer || !member.isHeldBack(now) || member.isClosed(member.heldBackUntil()) {
		return 0
	}
	return member.heldBackUntil()
}

// restEnd returns when the first upstream is no longer held back.
func (shared *shared) restEnd(ticket *Ticket, now cherrykeel.Instant) cherrykeel.Instant {
	first := cherrykeel.Instant(0)
	for _, member := range shared.members {
		if member.isClosed(max(now, member.heldBackUntil())) || ticket.excludes(member) {
			continue
		}
		if !member.isHeldBack(now) {
			return 0
		}
		if first == 0 || member.heldBackUntil() < first {
			first = member.heldBackUntil()
		}
	}
	return first
}

// excludes reports whether a request without a key must not be sent to the upstream since it was sent there before. An
// upstream that has asked for a rest meanwhile may get it again after that: it is then the upstream's own time.
func (ticket *Ticket) excludes(member *member) bool {
	return member.restUntil <= ticket.Arrived && ticket.wasTried(member.upstream.ID)
}
