package relay

import (
	"context"
	"time"

	"cherrykeel"
)

// otherHostRetryAfter makes a caller retry at once, at another host.
const otherHostRetryAfter = 10 * time.Millisecond

// SetProcessEnd sets when the host's process will have exited. From now on a request that may outlast it is not begun,
// and one that waits is refused: it would be cut off. The first call counts.
func (relay *Relay) SetProcessEnd(end cherrykeel.Instant) {
	if relay.processEnd.CompareAndSwap(0, int64(end)) {
		close(relay.endSet)
	}
}

// outlastsHost reports whether the host's process may exit before the request's answer has left. One search in a hundred
// takes five times the usual time, so only the whole time until the deadline is enough not to cut it off. A refused caller
// is served by another host at once.
func (exchange *exchange) outlastsHost() bool {
	end := exchange.relay.processEnd.Load()
	return end != 0 && exchange.latestAnswer() > cherrykeel.Instant(end)
}

// latestAnswer returns when the request's answer has left at the latest: answers leave in the order of their requests.
func (exchange *exchange) latestAnswer() cherrykeel.Instant {
	recorder, ok := exchange.writer.(cherrykeel.ProgressRecorder)
	if !ok {
		return exchange.deadline
	}
	return max(exchange.deadline, recorder.LatestDeadlineAhead())
}

// refuseOutlasting refuses a request that may outlast the host, and returns nil for any other. It is asked before each
// send: a request that waits in the queue or for another attempt may have been admitted before the stop began.
func (exchange *exchange) refuseOutlasting() *cherrykeel.Failure {
	if !exchange.outlastsHost() {
		return nil
	}
	failure := exchange.refuse("stopping", "this host exits before the request's deadline")
	if failure.Outcome == cherrykeel.NotRun {
		failure.RetryAfter = otherHostRetryAfter
	}
	return failure
}

// refuseBeforeSend refuses a request that must not be sent, and returns nil for any other.
func (exchange *exchange) refuseBeforeSend() *cherrykeel.Failure {
	failure := exchange.refuseDenied()
	if failure != nil {
		return failure
	}
	return exchange.refuseOutlasting()
}

// sleep reports false if the pause was cut short since the context ended or the request may outlast the host.
func (exchange *exchange) sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	endSet := exchange.relay.endSet
	for !exchange.outlastsHost() {
		select {
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		case <-endSet:
			endSet = nil
		}
	}
	return false
}
