package deny

import (
	"time"

	"cherrykeel/poison"
)

// Request is one request on its way, as the list sees it. Its identity is worked out when it is first needed: while
// nothing is known of any request for what this one asks for, it is not.
type Request struct {
	list       *List
	parts      poison.Parts
	identity   poison.Identity
	marks      []poison.Mark
	identified bool
}

// Request returns a request of a caller whose whole body has been read.
func (list *List) Request(parts poison.Parts) *Request {
	return &Request{list: list, parts: parts}
}

// Identity returns what stays the same when the request is sent again, by whomever.
func (request *Request) Identity() poison.Identity {
	request.identify()
	return request.identity
}

func (request *Request) identify() {
	if request.identified {
		return
	}
	request.identified = true
	request.identity = poison.Identify(request.parts)
	request.marks = request.parts.Marks()
}

// Identified returns the identity if it has been worked out.
func (request *Request) Identified() (poison.Identity, bool) {
	return request.identity, request.identified
}

func (request *Request) concerned() bool {
	return !request.list.Empty() && request.list.concerns(request.parts.Target())
}

// Refused reports whether the request is not to be sent, and for how long that is remembered.
func (request *Request) Refused() (time.Duration, bool) {
	if !request.concerned() {
		return 0, false
	}
	return request.list.refused(request.Identity(), request.marks)
}

// Suspected reports whether upstreams have ended while the request was at work there. Then no host sends it once more
// of its own accord: what is lost with an upstream is mostly none the worse for another one, but this may be what ended
// it, and each repeat costs an upstream with all that runs there.
func (request *Request) Suspected() bool {
	return request.concerned() && request.list.suspected(request.Identity(), request.marks)
}

// Served takes it that an upstream has run the request to a good end.
func (request *Request) Served() {
	if request.concerned() {
		request.list.served(request.Identity(), request.marks)
	}
}

// Broke takes it that the request was sent to an upstream and got no answer from it. Of the break all is to be filled in
// but the identity and the marks; its Request is the id of this attempt of the caller, for logs.
func (request *Request) Broke(found poison.Break) {
	found.Identity = request.Identity()
	found.Marks = request.marks
	request.list.broke(found)
}
