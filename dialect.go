package cherrykeel

import (
	"net/http"
	"time"
)

// RequestHeaders holds what the headers of a caller's request contain.
type RequestHeaders struct {
	ID string
	// Timeout is how long the caller will wait; zero if the headers don't give it.
	Timeout time.Duration
	// Key is NoKey if the request has no valid key.
	Key int
}

// ReplyHeaders holds what the headers of an upstream's answer contain.
type ReplyHeaders struct {
	// ID names the request that the answer belongs to; empty if the headers don't give it.
	ID string
	// Contradictory is true if the headers name more than one request or upstream, or say that a request did not run which
	// the status says was served.
	Contradictory bool
	// Malformed tells what is wrong if the headers cannot be those of an answer; empty otherwise. Then nothing else counts.
	Malformed string
	// Signed is true if the answer carries the mark that only upstreams set.
	Signed bool
	// NotRun is true if the upstream did not act on the request and never will.
	NotRun bool
	// Misdirected is true if the request must go to another incarnation of the upstream or to another owner.
	Misdirected bool
	// Instance is the ID of the upstream that answered, if the headers give it.
	Instance string
	// Leaving is true if the upstream states that it is leaving.
	Leaving bool
	// Load is the upstream's report of its load; its field Known is false if there is none.
	Load UpstreamLoad
	// Limit is how many requests a second the upstream takes; its field Named is false if the headers don't give it.
	Limit UpstreamLimit
	// RetryAfter is for how long the upstream, which did not take the request, wants no further one from this host; 0 if
	// it did not ask for that.
	RetryAfter time.Duration
	// MalformedRetryAfter is the beginning of such a time that cannot be decoded; empty otherwise.
	MalformedRetryAfter string
}

// UpstreamLoad is an upstream's report of its load.
type UpstreamLoad struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowness is the present processing time as a multiple of the usual one; 0 if the report doesn't give it.
	Slowness float64
	// Malformed is the beginning of a report that cannot be decoded; empty otherwise.
	Malformed string
}

// UpstreamLimit is the number of requests a second that an upstream in need takes from all hosts together, for as long as
// its answers name it.
type UpstreamLimit struct {
	Named     bool
	PerSecond float64
	// Malformed is the beginning of a limit that cannot be decoded; empty otherwise.
	Malformed string
}

// Dialect reads and writes the headers that callers and upstreams of one platform use.
type Dialect interface {
	// ReadRequest reads the headers of a caller's request.
	ReadRequest(request *http.Request) RequestHeaders
	// MarkRequest addresses a request to one incarnation of an upstream and adds the time that is left.
	MarkRequest(header http.Header, upstream Upstream, left time.Duration)
	// MarkAnswer adds the request's id to an answer that the router makes itself.
	MarkAnswer(header http.Header, id string)
	// ReadReply reads the status and the headers of an upstream's answer.
	ReadReply(status int, header http.Header) ReplyHeaders
}
