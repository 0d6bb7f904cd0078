package edge

import (
	"net/http"

	"cherrykeel"
	"cherrykeel/deny"
	"cherrykeel/poison"
)

// requestParts are what makes a request the same one when it is sent again.
func requestParts(exchange *cherrykeel.Exchange) poison.RequestParts {
	return deny.RequestPartsOf(exchange.Request, exchange.Request.URL.RequestURI(), exchange.Key, exchange.Body)
}

// denialFailure refuses a request under which upstreams have ended.
func denialFailure(tracked *deny.Request) *cherrykeel.Failure {
	retryAfter, refused := tracked.Denied()
	if !refused {
		return nil
	}
	failure := cherrykeel.Refuse(statusBusy, "ends-upstreams", "upstreams have ended under this request")
	failure.RetryAfter = retryAfter
	return failure
}

// recordForDenial says what an attempt showed of the upstream's process, and of the request.
func (forward *forward) recordForDenial(slot *slot, exchange *cherrykeel.Exchange, tracked *deny.Request, result result) {
	server := slot.upstream.server
	incarnation := poison.Incarnation{Upstream: exchange.Service.Path + " " + server.Name}
	switch {
	case result.unanswered, result.abandoned, result.hasServerError():
		tracked.RecordUnanswered(poison.UnansweredAttempt{
			RequestID: exchange.ID, Service: exchange.Service.Path, Incarnation: incarnation, Address: server.Address,
			SentAt: slot.acquiredAt, EndedAt: forward.clock.Now(), ConnectionReset: result.connectionReset, Abandoned: result.abandoned || result.hasServerError(),
		})
	case result.connectionRefused:
		forward.denied.RecordRefusedConnection(server.Address)
	}
	if result.ownAnswer {
		forward.denied.RecordAnswer(incarnation, slot.acquiredAt)
	}
	if result.hasRun() && result.status < http.StatusInternalServerError {
		tracked.RecordSuccess()
	}
}

// hasRun reports whether an upstream's answer shows that it ran the request.
func (result *result) hasRun() bool {
	return result.ownAnswer && result.retryResult.Refusal == ""
}

// hasServerError reports whether an upstream answered a request that it ran with a failure. It may be at work on it still: one
// that tells that the time is up ends some milliseconds later, and the request would not have been there.
func (result *result) hasServerError() bool {
	return result.hasRun() && result.status >= http.StatusInternalServerError
}
