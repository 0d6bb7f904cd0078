package cherrykeel

import (
	"net/http"
	"time"
)

// RequestHeaders is what a caller's headers say of its request.
type RequestHeaders struct {
	ID string
	// Timeout is how long the caller will wait; zero if it does not say.
	Timeout time.Duration
	// Key is NoKey if none is given, or none that is valid.
	Key int
}

// ReplyHeaders is what an upstream's headers say of its answer.
type ReplyHeaders struct {
	// ID names the request that the answer belongs to; empty if it does not say.
	ID string
	// Signed answers bear the upstream's own signature.
	Signed bool
	// NotRun says that the upstream did not act on the request and never will.
	NotRun bool
	// Misdirected says that another life, or another owner, has to be asked.
	Misdirected bool
	// Instance is who answered, if the upstream says so.
	Instance string
	// Load is the upstream's own count; Known is false if it tells none.
	Load UpstreamLoad
}

// UpstreamLoad is an upstream's report of its work.
type UpstreamLoad struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowness is how many times as long as usual work takes on its machine at this moment; 0 if it does not say.
	Slowness float64
	// Malformed is the start of a report that cannot be read; empty otherwise.
	Malformed string
}

// Dialect translates the headers of callers and upstreams.
type Dialect interface {
	// ReadRequest reads a caller's request.
	ReadRequest(request *http.Request) RequestHeaders
	// MarkRequest marks a request for one life of an upstream, with the time that is left.
	MarkRequest(header http.Header, upstream Upstream, left time.Duration)
	// MarkAnswer marks an answer of the router's own with the request's id.
	MarkAnswer(header http.Header, id string)
	// ReadReply reads an upstream's answer.
	ReadReply(status int, header http.Header) ReplyHeaders
}
