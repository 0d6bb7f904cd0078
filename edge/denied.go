package edge

import (
	"net/http"

	"cherrykeel"
	"cherrykeel/deny"
	"cherrykeel/poison"
)

// partsOf are what makes a request the same one when it is sent again.
func partsOf(exchange *cherrykeel.Exchange) poison.RequestParts {
	return deny.RequestPartsOf(exchange.Request, exchange.Request.URL.RequestURI(), exchange.Key, exchange.Body)
}

// refusal refuses a request under which upstreams have ended.
func refusal(listed *deny.Request) *cherrykeel.Failure {
	left, refused := listed.Denied()
	if !refused {
		return nil
	}
	failure := cherrykeel.Refuse(statusBusy, "ends-upstreams", "upstreams have ended under this request")
	failure.RetryAfter = left
	return failure
}

// tellOfUpstream says what an attempt showed of the upstream's process, and of the request.
func (forward *forward) tellOfUpstream(place *place, exchange *cherrykeel.Exchange, listed *deny.Request, result result) {
	server := place.upstream.server
	life := poison.Incarnation{Upstream: exchange.Service.Path + " " + server.Name}
	switch {
	case result.unanswered, result.abandoned, result.failed():
		listed.RecordUnanswered(poison.UnansweredAttempt{
			RequestID: exchange.ID, Service: exchange.Service.Path, Incarnation: life, Address: server.Address,
			SentAt: place.begun, EndedAt: forward.clock.Now(), ConnectionReset: result.reset, Abandoned: result.abandoned || result.failed(),
		})
	case result.refused:
		forward.denied.RecordRefusedConnection(server.Address)
	}
	if result.own {
		forward.denied.RecordAnswer(life, place.begun)
	}
	if result.ran() && result.status < http.StatusInternalServerError {
		listed.RecordSuccess()
	}
}

// ran reports whether an upstream's answer shows that it ran the request.
func (result *result) ran() bool {
	return result.own && result.ending.Refusal == ""
}

// failed reports whether an upstream answered a request that it ran with a failure. It may be at work on it still: one
// that tells that the time is up ends some milliseconds later, and the request would not have been there.
func (result *result) failed() bool {
	return result.ran() && result.status >= http.StatusInternalServerError
}
