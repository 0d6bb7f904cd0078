package relay

import (
	"net/http"

	"cherrykeel"
	"cherrykeel/flow"
	"cherrykeel/poison"
)

// parts are what makes this request the same one when its caller sends it again.
func (trip *trip) parts() poison.Parts {
	return poison.Parts{
		Method: trip.request.Method, Domain: trip.request.Host, Path: trip.request.RequestURI,
		Caller: trip.request.RemoteAddr, Body: trip.body,
	}
}

// identify returns the request's identity.
func (trip *trip) identify() poison.Identity {
	if !trip.identified {
		trip.identified = true
		trip.identity = poison.Identify(trip.parts())
	}
	return trip.identity
}

// concerned reports whether anything is known of requests for what this one asks for.
func (trip *trip) concerned() bool {
	if trip.relay.Denied.Empty() {
		return false
	}
	parts := trip.parts()
	return trip.relay.Denied.Concerns(parts.Target())
}

// denied refuses a request under which upstreams have ended. It is not sent, so it surely does not run, and would not
// for as long as that is remembered.
func (trip *trip) denied() *cherrykeel.Failure {
	if !trip.concerned() {
		return nil
	}
	left, refused := trip.relay.Denied.Refused(trip.identify())
	if !refused {
		return nil
	}
	failure := trip.refuse("ends-upstreams", "upstreams have ended under this request")
	if failure.Outcome == cherrykeel.NotRun {
		failure.RetryAfter = left
	}
	return failure
}

// suspected reports whether upstreams have ended while this request was at work there. Then no host sends it once
// more of its own accord: what is lost with an upstream is mostly none the worse for another one, but this may be
// what ended it, and each repeat costs an upstream with all that runs there.
func (trip *trip) suspected() bool {
	return trip.concerned() && trip.relay.Denied.Suspected(trip.identify())
}

// tellOfUpstream says what an attempt showed of the upstream's process, and of the request.
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
	if result.served() && trip.concerned() {
		trip.relay.Denied.Served(trip.identify())
	}
}

// served reports whether an upstream has run the request to a good end. A failure of its own may have come before the
// part that ends it.
func (result *result) served() bool {
	return result.finding == answered && result.status < http.StatusInternalServerError
}
