package deny

import (
	"time"

	"cherrykeel/poison"
)

// Request is one request on its way, as the list sees it. Its identity is worked out when it is first needed: while
// nothing is known of any request for what this one asks for, it is not.
type Request struct {
	list        *List
	parts       poison.RequestParts
	fingerprint poison.Fingerprint
	callers     []poison.CallerFingerprint
	computed    bool
}

// NewRequest returns a request of a caller whose whole body has been read.
func (list *List) NewRequest(parts poison.RequestParts) *Request {
	return &Request{list: list, parts: parts}
}

// Fingerprint returns what stays the same when the request is sent again, by whomever.
func (request *Request) Fingerprint() poison.Fingerprint {
	request.computeFingerprint()
	return request.fingerprint
}

func (request *Request) computeFingerprint() {
	if request.computed {
		return
	}
	request.computed = true
	request.fingerprint = poison.FingerprintOf(request.parts)
	request.callers = request.parts.CallerFingerprints()
}

// ComputedFingerprint returns the identity if it has been worked out.
func (request *Request) ComputedFingerprint() (poison.Fingerprint, bool) {
	return request.fingerprint, request.computed
}

func (request *Request) isTargetRecorded() bool {
	return !request.list.IsEmpty() && request.list.hasTarget(request.parts.Target())
}

// Denied reports whether the request is not to be sent, and for how long that is remembered.
func (request *Request) Denied() (time.Duration, bool) {
	if !request.isTargetRecorded() {
		return 0, false
	}
	return request.list.denied(request.Fingerprint(), request.callers)
}

// IsSuspected reports whether upstreams have ended while the request was at work there. Then no host sends it once more
// of its own accord: what is lost with an upstream is mostly none the worse for another one, but this may be what ended
// it, and each repeat costs an upstream with all that runs there.
func (request *Request) IsSuspected() bool {
	return request.isTargetRecorded() && request.list.isSuspected(request.Fingerprint(), request.callers)
}

// RecordSuccess takes it that an upstream has run the request to a good end.
func (request *Request) RecordSuccess() {
	if request.isTargetRecorded() {
		request.list.recordSuccess(request.Fingerprint(), request.callers)
	}
}

// RecordUnanswered takes it that the request was sent to an upstream and got no answer from it. Of the break all is to be filled in
// but the identity and the marks; its Request is the id of this attempt of the caller, for logs.
func (request *Request) RecordUnanswered(found poison.UnansweredAttempt) {
	found.Fingerprint = request.Fingerprint()
	found.CallerFingerprints = request.callers
	request.list.recordUnanswered(found)
}
