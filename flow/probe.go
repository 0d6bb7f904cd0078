package flow

import (
	"time"

	"cherrykeel"
)

const (
	// countsAge is how old the other hosts' counts are at the least; a load that an upstream told is used as long.
	countsAge = 150 * time.Millisecond
	// unaskedFor is how long an upstream that gave no answer to a probe is not asked again.
	unaskedFor = time.Second
	// mostProbes bounds the upstreams that are asked for their load before one request is sent.
	mostProbes = 3
	// probingUse is the use of a service's slots from which on its upstreams are asked: below it nearly all have a free
	// slot, and a probe costs about a hundredth of a request.
	probingUse = 0.6
	// fullTurns is how many times its slots an upstream has running and waiting when no more are sent to it: it rejects
	// what its own queue does not take, and some reset all that wait then.
	fullTurns = 3
	// askedShare is the part of the time to the target within which the best of several upstreams that were asked has to
	// answer. More is asked for than the service can do then: what is let in beyond that makes others late.
	askedShare = 0.7
	// slowMoment is how many times as long as usual work takes on a machine that is left if another one is to be had.
	slowMoment = 1.5
)

// WantsProbe reports whether the upstream of a place is to be asked for its load before the ticket's request is sent.
//
// Many hosts choose by counts that are older than a request's work, and all take the same upstreams for the least used
// ones; and the slowness of a machine that others share changes faster than hosts could tell each other. So a host asks
// the upstream itself while the service is busy. A cold one is not asked.
func (service *Service) WantsProbe(ticket *Ticket, place *Place, now cherrykeel.Instant) bool {
	member := place.member
	if service.keyed || !service.probing(now) || len(ticket.asked) >= mostProbes || ticket.hasAsked(member) {
		return false
	}
	return now >= member.unasked && now >= member.upstream.ColdUntil
}

// probing reports whether upstreams are asked for their load before requests are sent.
func (service *Service) probing(now cherrykeel.Instant) bool {
	return service.slowness.told() && service.use(now) >= probingUse
}

// use is the part of the slots that can be reached which are taken, by the counts.
func (service *Service) use(now cherrykeel.Instant) float64 {
	taken, slots := 0, 0
	for _, member := range service.members {
		if member.reachable(now) {
			taken += min(member.load(), member.upstream.Slots)
			slots += member.upstream.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return float64(taken) / float64(slots)
}

// Probed takes what the upstream of a place has told just now. The verdict is the place that the request is to have: the
// same if it has a free slot and is not in a slow moment, or else one at an upstream that was not asked yet, or in the
// end the best of those that were. It is a refusal if that one would answer too late; the place is left then.
func (service *Service) Probed(ticket *Ticket, place *Place, load cherrykeel.UpstreamLoad, now cherrykeel.Instant) Verdict {
	member := place.member
	if !load.Known {
		member.unasked = now.Add(unaskedFor)
		return Verdict{Place: place, Inputs: service.inputs(ticket, member, now)}
	}
	service.noteSlowness(member, load, now)
	member.others = max(0, load.Running+load.Waiting-member.own+1)
	member.loadTold = now
	place.Load = member.load()
	place.told = member.told
	ticket.asked = append(ticket.asked, member)
	if member.load() <= member.upstream.Slots && load.Slowness <= slowMoment*service.slowness.usual() {
		return Verdict{Place: place, Inputs: service.inputs(ticket, member, now)}
	}
	member.own--
	if len(ticket.asked) < mostProbes {
		other := service.discipline.place(ticket, now)
		if other != nil {
			return service.granted(ticket, other, now)
		}
	}
	return service.settle(ticket, now)
}

// settle gives a ticket the best of the upstreams that were asked, or refuses it if that one would answer too late.
func (service *Service) settle(ticket *Ticket, now cherrykeel.Instant) Verdict {
	usual := service.usual()
	best := ticket.asked[0]
	for _, member := range ticket.asked[1:] {
		if member.expected(usual, now) < best.expected(usual, now) {
			best = member
		}
	}
	answer := now.Add(best.expected(usual, now))
	if answer > ticket.by(askedShare) || best.load() >= fullTurns*best.upstream.Slots {
		inputs := service.inputs(ticket, best, now)
		inputs.Wait = answer.Sub(now)
		return Verdict{Reason: Crowded, Inputs: inputs}
	}
	return service.granted(ticket, best, now)
}

// noteSlowness keeps what an upstream told of its machine.
func (service *Service) noteSlowness(member *member, load cherrykeel.UpstreamLoad, now cherrykeel.Instant) {
	if load.Slowness <= 0 {
		return
	}
	service.slowness.note(load.Slowness)
	member.told = moment{slowness: load.Slowness, at: now}
}

// slownessOver is the mean slowness over a request's time, of which the moments of its begin and its end are known.
func (service *Service) slownessOver(took time.Duration, begin moment, end float64) float64 {
	usual := service.slowness.usual()
	covered := min(0.5, covered(took))
	return begin.over(usual, covered) + moment{slowness: end}.over(usual, covered) - usual
}
