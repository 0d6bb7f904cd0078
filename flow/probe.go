package flow

import (
	"time"

	"cherrykeel"
)

const (
	// minProbePause is how long this host must have sent nothing to an owner, or to an upstream of a service without
	// keys, before it sends a request there that the estimate rules out. It is also the pause between the first two
	// such probes.
	minProbePause = time.Second
	// maxProbePause limits the pause after probes that were not answered in time. An upstream that is fast again is
	// detected within that time, and 200 hosts with requests for the same key send its owner 40 probes a second, about
	// 12 in the 300 ms by which counts lag.
	maxProbePause = 5 * time.Second
	// probeJitter is the share by which a pause is randomly longer or shorter. Hosts that detected a slow upstream at
	// the same time would otherwise all send their probes at the same time.
	probeJitter = 0.25
)

// probes decides when this host may send a request of a service although the estimate rules it out.
//
// An estimate that refuses every request is never updated. Upstreams that were slow for a while, or seemed so to a host
// that was slow itself, would be refused forever: callers of such a host got "too-late" at once until it was restarted,
// while other hosts served the same requests. A probe that is answered in time replaces the estimate, and the next one
// may follow at once. While no probe is, the pauses grow, so that a service that is too slow refuses nearly all
// requests at once.
type probes struct {
	// nextAt is when the next probe may be sent, pause the time from the last one to it without jitter.
	nextAt cherrykeel.Instant
	pause  time.Duration
}

// recordSent records that a probe is sent now; sample is random, from 0 to 1.
func (probes *probes) recordSent(sample float64, now cherrykeel.Instant) {
	probes.pause = min(max(minProbePause, 2*probes.pause), maxProbePause)
	probes.nextAt = now.Add(time.Duration((1 - probeJitter + 2*probeJitter*sample) * float64(probes.pause)))
}

// chooseProbe returns the upstream that a ticket is sent to although no answer is expected in time, or nil. Only a
// first attempt can be a probe, since a later one may be ruled out only by the little time that it has left. A probe
// may overtake waiting requests: each upstream that has room for them and does not rule them out has already been
// assigned to them.
func (service *Service) chooseProbe(ticket *Ticket, now cherrykeel.Instant) *member {
	if now < service.probes.nextAt || len(ticket.Tried) > 0 {
		return nil
	}
	return service.discipline.chooseProbe(ticket, now)
}

// isRuledOut reports whether the upstream, with its current load, is not expected to answer in time even a ticket with
// all of its time left. The time that the ticket has waited is ignored, since it shows nothing about the estimate.
func (member *member) isRuledOut(ticket *Ticket, serviceMean time.Duration, now cherrykeel.Instant) bool {
	return ticket.expiresWithin(member.expectedTime(serviceMean, now), ticket.Arrived)
}

// assignProbeSlot assigns a slot to a ticket that the estimate rules out.
func (service *Service) assignProbeSlot(ticket *Ticket, member *member, now cherrykeel.Instant) Decision {
	service.probes.recordSent(service.random(), now)
	decision := service.assignSlot(ticket, member, now)
	decision.Slot.Probe = true
	return decision
}

// recordProbeAnswered records that a probe was answered in time. It resets every processing time that would have ruled
// the probe out: all were learned at about the same time, probably for the same reason, and with a probe for each of
// hundreds of upstreams it would take minutes until all are used again. If an upstream is as slow as it seemed, the
// answers that come in time show it again.
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

// isIdle reports whether this host has no request at the upstream and has sent none within minProbePause, so that no
// answer is due that would show its speed.
func (member *member) isIdle(now cherrykeel.Instant) bool {
	return member.localLoad == 0 && now.Sub(member.lastSentAt) >= minProbePause
}
