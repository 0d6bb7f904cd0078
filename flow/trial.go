package flow

import (
	"time"

	"cherrykeel"
)

const (
	// minProbePause is how long this host has to have sent nothing to an owner, or to a service without keys, before it sends a
	// request there that the estimate rules out. It is also the pause between the first two of such probes.
	minProbePause = time.Second
	// maxProbePause bounds how long a trial waits after others that brought no answer in time: an upstream that is quick
	// again is found within that time, and 200 hosts that all ask for one key send its owner 40 trials a second, some 12 in
	// the 300 ms that counts are old.
	maxProbePause = 5 * time.Second
	// probeJitter is the part of a pause by which it is longer or shorter by chance: hosts that learned the same at once
	// would otherwise all send at once.
	probeJitter = 0.25
)

// probes says when this host may send a request of a service though the estimate rules it out.
//
// An estimate that refuses every request is renewed by none. Upstreams that were slow for a while, or seemed so to a host
// that was slow itself, would be refused for ever: callers got "too-late" at once from such a host until it was restarted,
// while other hosts served the same requests. A trial whose answer comes in time replaces the estimate, and the next may
// follow at once; while none does, the pauses grow, so that a service that is too slow refuses nearly all at once.
type probes struct {
	// nextAt is when a trial may be sent, and pause how long after the one before.
	nextAt cherrykeel.Instant
	pause  time.Duration
}

// recordSent takes note of a trial; draw is random, from 0 to 1.
func (probes *probes) recordSent(sample float64, now cherrykeel.Instant) {
	probes.pause = min(max(minProbePause, 2*probes.pause), maxProbePause)
	probes.nextAt = now.Add(time.Duration((1 - probeJitter + 2*probeJitter*sample) * float64(probes.pause)))
}

// chooseProbe returns the upstream that a ticket is sent to though no answer is expected in time, or nil. Only a request that has
// all of its time is worth it: one that was sent before is ruled out by the time that it has left. It may go before requests
// that wait: what has room for it, and would not rule it out, has been allowed to them.
func (service *Service) chooseProbe(ticket *Ticket, now cherrykeel.Instant) *member {
	if now < service.probes.nextAt || len(ticket.Tried) > 0 {
		return nil
	}
	return service.discipline.chooseProbe(ticket, now)
}

// isRuledOut reports whether a ticket that had all of its time left would not be sent to the upstream either, as much as is
// there now. One that has waited says nothing of the estimate.
func (member *member) isRuledOut(ticket *Ticket, serviceMean time.Duration, now cherrykeel.Instant) bool {
	return ticket.expiresWithin(member.expectedTime(serviceMean, now), ticket.Arrived)
}

// assignProbeSlot gives a place to a ticket that the estimate rules out.
func (service *Service) assignProbeSlot(ticket *Ticket, member *member, now cherrykeel.Instant) Decision {
	service.probes.recordSent(service.random(), now)
	decision := service.assignSlot(ticket, member, now)
	decision.Slot.Probe = true
	return decision
}

// recordProbeAnswered takes note of a trial's answer that came in time. Every estimate that would have ruled it out is forgotten: all
// were learned at about the same time, likely for one reason, and with a trial for each of hundreds of upstreams it would
// take minutes until all are used again. One that is as slow as it seemed is learned anew by the answers that come in time.
func (service *Service) recordProbeAnswered(slot *Slot, now cherrykeel.Instant) {
	service.probes = probes{}
	allowed := slot.Deadline.Sub(slot.StartedAt)
	for _, member := range service.members {
		if member == slot.member || time.Duration(minTimeShare*float64(member.processingTime)) > allowed {
			service.processingTimes.remove(member.processingTime)
			member.processingTime = 0
		}
	}
}

// isIdle reports whether this host has sent it nothing lately whose answer will tell how fast it is.
func (member *member) isIdle(now cherrykeel.Instant) bool {
	return member.localLoad == 0 && now.Sub(member.lastSentAt) >= minProbePause
}
