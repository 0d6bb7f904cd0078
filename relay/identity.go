package relay

import (
	"cherrykeel"
	"cherrykeel/flow"
	"cherrykeel/poison"
)

// identify returns what makes this request the same one when its caller sends it again.
func (trip *trip) identify() poison.Identity {
	if !trip.identified {
		trip.identified = true
		trip.identity = poison.Identify(poison.Parts{
			Method: trip.request.Method, Domain: trip.request.Host, Target: trip.request.RequestURI,
			Caller: trip.request.RemoteAddr, Body: trip.body,
		})
	}
	return trip.identity
}

// tellOfUpstream says what an attempt showed of the upstream's process.
func (trip *trip) tellOfUpstream(place *flow.Place, result result, now cherrykeel.Instant) {
	life := poison.LifeOf(place.Upstream)
	switch {
	case result.unanswered:
		trip.relay.Denied.Broke(poison.Break{
			Identity: trip.identify(), Request: trip.asked.ID, Service: trip.lane.name,
			Life: life, Address: place.Upstream.Address, At: now,
		})
	case result.refused:
		trip.relay.Denied.Unreachable(place.Upstream.Address)
	case result.own:
		trip.relay.Denied.Answered(life, place.Begun)
	}
}
