package deny

import (
	"time"

	"cherrykeel/poison"
)

// Request is one request of a caller, for which it can query the list and record results. Its fingerprint is computed
// when it is first needed, which is not the case while there is no record of any request for its target. It is not safe
// for concurrent use.
type Request struct {
	list         *List
	requestParts poison.RequestParts
	fingerprint  poison.Fingerprint
	callers      []poison.CallerFingerprint
	computed     bool
}

// NewRequest returns a request of a caller. Its whole body has been read.
func (list *List) NewRequest(requestParts poison.RequestParts) *Request {
	return &Request{list: list, requestParts: requestParts}
}

// Fingerprint returns the request's fingerprint, and computes it if that has not been done yet.
func (request *Request) Fingerprint() poison.Fingerprint {
	request.computeFingerprint()
	return request.fingerprint
}

func (request *Request) computeFingerprint() {
	if request.computed {
		return
	}
	request.computed = true
	request.fingerprint = poison.FingerprintOf(request.requestParts)
	request.callers = request.requestParts.CallerFingerprints()
}

// ComputedFingerprint returns the fingerprint, and whether it has been computed.
func (request *Request) ComputedFingerprint() (poison.Fingerprint, bool) {
	return request.fingerprint, request.computed
}

// isTargetRecorded reports whether there is a record of any request for the same target.
func (request *Request) isTargetRecorded() bool {
	return !request.list.IsEmpty() && request.list.hasTarget(request.requestParts.Target())
}

// DenialRemaining reports whether the request must not be sent to any upstream, and for how much longer.
func (request *Request) DenialRemaining() (time.Duration, bool) {
	if !request.isTargetRecorded() {
		return 0, false
	}
	return request.list.denied(request.Fingerprint(), request.callers)
}

// IsSuspected reports whether upstreams have crashed while the request was running there. Hosts do not retry such a
// request on their own. Most requests that are lost with an upstream are harmless to the next one, but this one may be
// what crashed it, and then each retry costs an upstream with all that it runs.
func (request *Request) IsSuspected() bool {
	return request.isTargetRecorded() && request.list.isSuspected(request.Fingerprint(), request.callers)
}

// RecordSuccess records that an upstream has answered the request successfully.
func (request *Request) RecordSuccess() {
	if request.isTargetRecorded() {
		request.list.recordSuccess(request.Fingerprint(), request.callers)
	}
}

// RecordUnanswered records an attempt to send the request to an upstream that got no successful answer. The caller sets
// all fields of the attempt except its fingerprints.
func (request *Request) RecordUnanswered(attempt poison.UnansweredAttempt) {
	attempt.Fingerprint = request.Fingerprint()
	attempt.CallerFingerprints = request.callers
	request.list.recordUnanswered(attempt)
}
