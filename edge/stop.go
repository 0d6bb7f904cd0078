package edge

import (
	"net/http"
	"sync"
	"time"

	"cherrykeel"
)

// PriorityStopCheck is the priority of the stage that refuses requests for which a stopping host has no time.
const PriorityStopCheck = 250

// answerTime is the time that an answer made at a request's deadline takes to reach the caller.
const answerTime = 100 * time.Millisecond

// stop is this host's graceful stop.
type stop struct {
	// begun is closed when the stop begins; end, when it ends, is set by then.
	begun chan struct{}
	once  sync.Once
	end   cherrykeel.Instant
}

// BeginStop records that the host stops and closes its callers' connections at end. Requests that are not yet sent are
// refused from now on if their deadline is later.
func (fleet *Fleet) BeginStop(end cherrykeel.Instant) {
	fleet.stop.once.Do(func() {
		fleet.stop.end = end
		close(fleet.stop.begun)
	})
}

// hasTimeFor reports whether the host serves until the request's deadline.
func (stop *stop) hasTimeFor(exchange *cherrykeel.Exchange) bool {
	select {
	case <-stop.begun:
		return exchange.Deadline.Add(answerTime) <= stop.end
	default:
		return true
	}
}

// failure returns the failure of a request for which the host has no time, or nil.
func (stop *stop) failure(exchange *cherrykeel.Exchange) *cherrykeel.Failure {
	if stop.hasTimeFor(exchange) {
		return nil
	}
	failure := cherrykeel.Refuse(http.StatusServiceUnavailable, "host-stopping", "this host stops before the request's deadline; other hosts accept it")
	failure.RetryAfter = minRetryAfter
	return failure
}

type stopCheck struct {
	fleet *Fleet
}

// NewStopCheck returns the stage that refuses requests for which a stopping host has no time. It comes before the body is
// read and an intent is written; NewForward checks again what is not yet sent when the stop begins.
func NewStopCheck(fleet *Fleet) cherrykeel.Stage {
	return &stopCheck{fleet: fleet}
}

// Serve implements cherrykeel.Stage.
func (stopCheck *stopCheck) Serve(exchange *cherrykeel.Exchange, next cherrykeel.Next) *cherrykeel.Failure {
	if failure := stopCheck.fleet.stop.failure(exchange); failure != nil {
		return failure
	}
	return next(exchange)
}
