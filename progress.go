package cherrykeel

// RequestProgress is how far a caller's request has come on its host.
type RequestProgress struct {
	// ID and Route name the request and its route.
	ID    string
	Route string
	// Upstream is the id of the upstream that the request was sent to and that has not answered yet, or empty.
	Upstream string
	Arrived  Instant
	Deadline Instant
}

// ProgressRecorder is a response writer that is told of its request's progress, so that a host that cuts the request
// can name it.
type ProgressRecorder interface {
	// RecordProgress replaces what was recorded before.
	RecordProgress(progress RequestProgress)
	// LatestDeadlineAhead returns the latest deadline of the requests whose answers have to leave before this one's; 0
	// if there is none.
	LatestDeadlineAhead() Instant
}
