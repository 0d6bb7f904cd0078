package edge

import (
	"net/http"

	"cherrykeel"
	"cherrykeel/deny"
	"cherrykeel/poison"
)

// requestParts returns the parts of a request that identify its repeats.
func requestParts(exchange *cherrykeel.Exchange) poison.RequestParts {
	return deny.RequestPartsOf(exchange.Request, exchange.Request.URL.RequestURI(), exchange.Key, exchange.Body)
}

// denialFailure returns the failure of a denied request, or nil if the request is not denied.
func denialFailure(tracked *deny.Request) *cherrykeel.Failure {
	retryAfter, refused := tracked.DenialRemaining()
	if !refused {
		return nil
	}
	failure := cherrykeel.Refuse(statusBusy, "ends-upstreams", "upstreams crashed while they ran this request")
	failure.RetryAfter = retryAfter
	return failure
}

// recordForDenial passes to the deny list what an attempt showed about the upstream's process and about the request.
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

// hasServerError reports whether the upstream ran the request and answered with a server error. Such an attempt is
// recorded as abandoned, since the upstream may still work on it: an upstream that reports that the request's time is up
// may crash some milliseconds later, and the request would otherwise not count as running at the crash.
func (result *result) hasServerError() bool {
	return result.hasRun() && result.status >= http.StatusInternalServerError
}
