package flow

import (
	"time"

	"cherrykeel"
)

const (
	// quietFor is how long this host has to have sent nothing to an owner, or to a service without keys, before it sends a
	// request there that the estimate rules out. It is also the pause between the first two of such trials.
	quietFor = time.Second
	// maxTrialPause bounds how long a trial waits after others that brought no answer in time: an upstream that is quick
	// again is found within that time, and 200 hosts that all ask for one key send its owner 40 trials a second, some 12 in
	// the 300 ms that counts are old.
	maxTrialPause = 5 * time.Second
	// trialSpread is the part of a pause by which it is longer or shorter by chance: hosts that learned the same at once
	// would otherwise all send at once.
	trialSpread = 0.25
)

// trials says when this host may send a request of a service though the estimate rules it out.
//
// An estimate that refuses every request is renewed by none. Upstreams that were slow for a while, or seemed so to a host
// that was slow itself, would be refused for ever: callers got "too-late" at once from such a host until it was restarted,
// while other hosts served the same requests. A trial whose answer comes in time replaces the estimate, and the next may
// follow at once; while none does, the pauses grow, so that a service that is too slow refuses nearly all at once.
type trials struct {
	// next is when a trial may be sent, and pause how long after the one before.
	next  cherrykeel.Instant
	pause time.Duration
}

// sent takes note of a trial; draw is random, from 0 to 1.
func (trials *trials) sent(draw float64, now cherrykeel.Instant) {
	trials.pause = min(max(quietFor, 2*trials.pause), maxTrialPause)
	trials.next = now.Add(time.Duration((1 - trialSpread + 2*trialSpread*draw) * float64(trials.pause)))
}

// trial returns the upstream that a ticket is sent to though no answer is expected in time, or nil. Only a request that has
// all of its time is worth it: one that was sent before is ruled out by the time that it has left. It may go before requests
// that wait: what has room for it, and would not rule it out, has been given to them.
func (service *Service) trial(ticket *Ticket, now cherrykeel.Instant) *member {
	if now < service.trials.next || len(ticket.Tried) > 0 {
		return nil
	}
	return service.discipline.trial(ticket, now)
}

// ruledOut reports whether a ticket that had all of its time left would not be sent to the upstream either, as much as is
// there now. One that has waited says nothing of the estimate.
func (member *member) ruledOut(ticket *Ticket, usual time.Duration, now cherrykeel.Instant) bool {
	return ticket.outlasts(member.expected(usual, now), ticket.Arrived)
}

// grantedTrial gives a place to a ticket that the estimate rules out.
func (service *Service) grantedTrial(ticket *Ticket, member *member, now cherrykeel.Instant) Decision {
	service.trials.sent(service.random(), now)
	verdict := service.granted(ticket, member, now)
	verdict.Slot.Probe = true
	return verdict
}

// noteTrial takes note of a trial's answer that came in time. Every estimate that would have ruled it out is forgotten: all
// were learned at about the same time, likely for one reason, and with a trial for each of hundreds of upstreams it would
// take minutes until all are used again. One that is as slow as it seemed is learned anew by the answers that come in time.
func (service *Service) noteTrial(place *Slot, now cherrykeel.Instant) {
	service.trials = trials{}
	given := place.Deadline.Sub(place.StartedAt)
	for _, member := range service.members {
		if member == place.member || time.Duration(hopelessShare*float64(member.work)) > given {
			service.works.remove(member.work)
			member.work = 0
		}
	}
}

// quiet reports whether this host has sent it nothing lately whose answer will tell how fast it is.
func (member *member) quiet(now cherrykeel.Instant) bool {
	return member.own == 0 && now.Sub(member.sentAt) >= quietFor
}
