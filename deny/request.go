package deny

import (
	"time"

	"cherrykeel/poison"
)

// Request is one request on its way, as the list sees it. Its identity is worked out when it is first needed: while
// nothing is known of any request for what this one asks for, it is not.
type Request struct {
	list       *List
	parts      poison.RequestParts
	identity   poison.Fingerprint
	marks      []poison.CallerFingerprint
	identified bool
}

// NewRequest returns a request of a caller whose whole body has been read.
func (list *List) NewRequest(parts poison.RequestParts) *Request {
	return &Request{list: list, parts: parts}
}

// Fingerprint returns what stays the same when the request is sent again, by whomever.
func (request *Request) Fingerprint() poison.Fingerprint {
	request.identify()
	return request.identity
}

func (request *Request) identify() {
	if request.identified {
		return
	}
	request.identified = true
	request.identity = poison.FingerprintOf(request.parts)
	request.marks = request.parts.CallerFingerprints()
}

// ComputedFingerprint returns the identity if it has been worked out.
func (request *Request) ComputedFingerprint() (poison.Fingerprint, bool) {
	return request.identity, request.identified
}

func (request *Request) concerned() bool {
	return !request.list.IsEmpty() && request.list.concerns(request.parts.Target())
}

// Denied reports whether the request is not to be sent, and for how long that is remembered.
func (request *Request) Denied() (time.Duration, bool) {
	if !request.concerned() {
		return 0, false
	}
	return request.list.refused(request.Fingerprint(), request.marks)
}

// IsSuspected reports whether upstreams have ended while the request was at work there. Then no host sends it once more
// of its own accord: what is lost with an upstream is mostly none the worse for another one, but this may be what ended
// it, and each repeat costs an upstream with all that runs there.
func (request *Request) IsSuspected() bool {
	return request.concerned() && request.list.suspected(request.Fingerprint(), request.marks)
}

// RecordSuccess takes it that an upstream has run the request to a good end.
func (request *Request) RecordSuccess() {
	if request.concerned() {
		request.list.served(request.Fingerprint(), request.marks)
	}
}

// RecordUnanswered takes it that the request was sent to an upstream and got no answer from it. Of the break all is to be filled in
// but the identity and the marks; its Request is the id of this attempt of the caller, for logs.
func (request *Request) RecordUnanswered(found poison.UnansweredAttempt) {
	found.Fingerprint = request.Fingerprint()
	found.CallerFingerprints = request.marks
	request.list.broke(found)
}
