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
func (exchange *exchange) fingerprintParts() poison.Parts {
	key := ""
	if exchange.headers.Key != cherrykeel.NoKey {
		key = strconv.Itoa(exchange.headers.Key)
	}
	return deny.PartsOf(exchange.request, exchange.request.RequestURI, key, exchange.body)
}

// denied refuses a request under which upstreams have ended. It is not sent, so it surely does not run, and would not
// for as long as that is remembered.
func (exchange *exchange) refuseDenied() *cherrykeel.Failure {
	remaining, refused := exchange.denyRequest.Refused()
	if !refused {
		return nil
	}
	failure := exchange.refuse("ends-upstreams", "upstreams crashed while they ran this request")
	if failure.Outcome == cherrykeel.NotRun {
		failure.RetryAfter = remaining
	}
	return failure
}

// tellOfUpstream says what an attempt showed of the upstream's process, and of the request.
func (exchange *exchange) recordEvidence(slot *flow.Slot, result result, now cherrykeel.Instant) {
	incarnation := poison.LifeOf(slot.Upstream)
	switch {
	case result.unanswered, result.abandoned, result.isServerError():
		exchange.denyRequest.Broke(poison.Break{
			Request: exchange.headers.ID, Service: exchange.dispatcher.name, Life: incarnation, Address: slot.Upstream.Address,
			Begun: slot.StartedAt, At: now,
			Reset: result.reset, Abandoned: result.abandoned || result.isServerError(),
		})
	case result.connectionRefused:
		exchange.relay.DenyList.Unreachable(slot.Upstream.Address)
	}
	if result.fromTarget {
		exchange.relay.DenyList.Answered(incarnation, slot.StartedAt)
	}
	if result.isServed() {
		exchange.denyRequest.Served()
	}
}

// failed reports whether an upstream ran the request and answered with a failure. It may be at work on it still: one
// that tells that the time is up ends some milliseconds later, and the request would not have been there.
func (result *result) isServerError() bool {
	return result.fromTarget && result.outcome == answered && result.status >= http.StatusInternalServerError
}

// served reports whether an upstream has run the request to a good end. A failure of its own may have come before the
// part that ends it.
func (result *result) isServed() bool {
	return result.outcome == answered && result.status < http.StatusInternalServerError
}
