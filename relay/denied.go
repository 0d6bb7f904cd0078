package relay

import (
	"net/http"
	"strconv"

	"cherrykeel"
	"cherrykeel/deny"
	"cherrykeel/flow"
	"cherrykeel/poison"
)

// parts are what makes this request the same one when it is sent again.
func (exchange *exchange) parts() poison.Parts {
	key := ""
	if exchange.asked.Key != cherrykeel.NoKey {
		key = strconv.Itoa(exchange.asked.Key)
	}
	return deny.PartsOf(exchange.request, exchange.request.RequestURI, key, exchange.body)
}

// denied refuses a request under which upstreams have ended. It is not sent, so it surely does not run, and would not
// for as long as that is remembered.
func (exchange *exchange) denied() *cherrykeel.Failure {
	left, refused := exchange.listed.Refused()
	if !refused {
		return nil
	}
	failure := exchange.refuse("ends-upstreams", "upstreams have ended under this request")
	if failure.Outcome == cherrykeel.NotRun {
		failure.RetryAfter = left
	}
	return failure
}

// tellOfUpstream says what an attempt showed of the upstream's process, and of the request.
func (exchange *exchange) tellOfUpstream(place *flow.Slot, result result, now cherrykeel.Instant) {
	life := poison.LifeOf(place.Upstream)
	switch {
	case result.unanswered, result.abandoned, result.failed():
		exchange.listed.Broke(poison.Break{
			Request: exchange.asked.ID, Service: exchange.dispatcher.name, Life: life, Address: place.Upstream.Address,
			Begun: place.StartedAt, At: now,
			Reset: result.reset, Abandoned: result.abandoned || result.failed(),
		})
	case result.refused:
		exchange.relay.DenyList.Unreachable(place.Upstream.Address)
	}
	if result.own {
		exchange.relay.DenyList.Answered(life, place.StartedAt)
	}
	if result.served() {
		exchange.listed.Served()
	}
}

// failed reports whether an upstream ran the request and answered with a failure. It may be at work on it still: one
// that tells that the time is up ends some milliseconds later, and the request would not have been there.
func (result *result) failed() bool {
	return result.own && result.finding == answered && result.status >= http.StatusInternalServerError
}

// served reports whether an upstream has run the request to a good end. A failure of its own may have come before the
// part that ends it.
func (result *result) served() bool {
	return result.finding == answered && result.status < http.StatusInternalServerError
}
