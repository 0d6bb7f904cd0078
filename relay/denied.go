package relay

import (
	"net/http"
	"strconv"

	"cherrykeel"
	"cherrykeel/deny"
	"cherrykeel/flow"
	"cherrykeel/poison"
)

// fingerprintParts returns the parts of the request from which its fingerprint and its caller's are computed.
func (exchange *exchange) fingerprintParts() poison.RequestParts {
	key := ""
	if exchange.headers.Key != cherrykeel.NoKey {
		key = strconv.Itoa(exchange.headers.Key)
	}
	return deny.RequestPartsOf(exchange.request, exchange.request.RequestURI, key, exchange.body)
}

// refuseDenied refuses a request that was running at enough upstreams when they crashed. It is not sent, so it
// certainly does not run; the caller is told to retry when the denial expires. It returns nil if the request is not
// denied.
func (exchange *exchange) refuseDenied() *cherrykeel.Failure {
	remaining, refused := exchange.denyRequest.DenialRemaining()
	if !refused {
		return nil
	}
	failure := exchange.refuse("ends-upstreams", "upstreams crashed while they ran this request")
	if failure.Outcome == cherrykeel.NotRun {
		failure.RetryAfter = remaining
	}
	return failure
}

// recordEvidence records in the deny list what an attempt showed of the upstream's process and of the request.
func (exchange *exchange) recordEvidence(slot *flow.Slot, result result, now cherrykeel.Instant) {
	incarnation := poison.IncarnationOf(slot.Upstream)
	switch {
	case result.unanswered, result.abandoned, result.isServerError():
		exchange.denyRequest.RecordUnanswered(poison.UnansweredAttempt{
			RequestID: exchange.headers.ID, Service: exchange.dispatcher.name, Incarnation: incarnation, Address: slot.Upstream.Address,
			SentAt: slot.StartedAt, EndedAt: now,
			ConnectionReset: result.reset, Abandoned: result.abandoned || result.isServerError(),
		})
	case result.connectionRefused:
		exchange.relay.DenyList.RecordRefusedConnection(slot.Upstream.Address)
	}
	if result.fromTarget {
		exchange.relay.DenyList.RecordAnswer(incarnation, slot.StartedAt)
	}
	if result.isServed() {
		exchange.denyRequest.RecordSuccess()
	}
}

// isServerError reports whether the upstream ran the request and answered with a server error. It may still be working
// on the request: an upstream that answers that the time is up may crash some milliseconds later, and without this
// record the request would not be among those that it was running.
func (result *result) isServerError() bool {
	return result.fromTarget && result.outcome == answered && result.status >= http.StatusInternalServerError
}

// isServed reports whether the upstream ran the request without a server error. A server error may come before the code
// that crashes the upstream was reached.
func (result *result) isServed() bool {
	return result.outcome == answered && result.status < http.StatusInternalServerError
}
