package relay

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/flow"
)

const (
	// A refused caller is told to retry after a random share of the time until its deadline: early enough to be served
	// in time, spread so that callers refused at one moment do not all return at one moment, and below the third of
	// that time up to which callers honour Retry-After.
	minRetryAfterShare = 0.08
	maxRetryAfterShare = 0.3
)

// refuse returns the failure of a request that has not run, with the time after which to retry. If an attempt may have
// run, the outcome is unknown instead.
func (exchange *exchange) refuse(code, detail string) *cherrykeel.Failure {
	if exchange.mayHaveRun {
		return exchange.failUnknown()
	}
	failure := cherrykeel.Refuse(http.StatusServiceUnavailable, code, "%s", detail)
	failure.RetryAfter = max(time.Millisecond, exchange.retryAfter(exchange.relay.clock.Now()))
	return failure
}

// retryAfter returns a random time after which a refused caller is to retry. It is not before the end of the rest for
// whose sake the request cannot be served, if callers wait that long.
func (exchange *exchange) retryAfter(now cherrykeel.Instant) time.Duration {
	remaining := exchange.deadline.Sub(now)
	earliest, latest := minRetryAfterShare*float64(remaining), maxRetryAfterShare*float64(remaining)
	rest := float64(exchange.restLeft(now))
	if rest <= latest {
		earliest = max(earliest, rest)
	}
	return time.Duration(earliest + rand.Float64()*(latest-earliest))
}

// failUnknown returns the failure of a request that may have run.
func (exchange *exchange) failUnknown() *cherrykeel.Failure {
	if exchange.relay.clock.Now() >= exchange.deadline {
		return cherrykeel.FailUnknown(http.StatusGatewayTimeout, "upstream-timeout", "%s", exchange.lastDetail)
	}
	return cherrykeel.FailUnknown(http.StatusBadGateway, "upstream-broke", "%s", exchange.lastDetail)
}

// refuseNotRun refuses a request after its last attempt; the detail is that attempt's, unless the host's end allows no
// further one.
func (exchange *exchange) refuseNotRun(cherrykeel.Instant) *cherrykeel.Failure {
	failure := exchange.refuseOutlasting()
	if failure != nil {
		return failure
	}
	return exchange.refuse("not-run", exchange.lastDetail)
}

// statusCallerGone is the status in logs; the caller is no longer there to read the answer.
const statusCallerGone = 499

// failCallerGone returns the failure of a request whose caller has closed its connection.
func (exchange *exchange) failCallerGone() *cherrykeel.Failure {
	failure := cherrykeel.Refuse(statusCallerGone, "caller-gone", "the caller left")
	if exchange.mayHaveRun {
		failure.Outcome = cherrykeel.OutcomeUnknown
	}
	return failure
}

// writeAnswer writes the upstream's answer to the caller, records it in the metrics and logs it.
func (exchange *exchange) writeAnswer(slot *flow.Slot, result result) {
	header := exchange.writer.Header()
	dropHopHeaders(result.header)
	for name, values := range result.header {
		header[name] = values
	}
	header.Del(cherrykeel.HeaderOutcome)
	exchange.writer.WriteHeader(result.status)
	_, err := exchange.writer.Write(result.body)
	took := exchange.relay.clock.Now().Sub(exchange.arrived)
	exchange.relay.meter.recordServed(exchange.dispatcher.name, result.status, took)
	events.Log(exchange.relay.Logger, events.RequestServed, append(exchange.logFields(),
		zap.Int("Status", result.status), zap.String("Upstream", slot.Upstream.ID), zap.String("Via", result.via), zap.Int64("Conn", result.connection), zap.Int("Load", slot.Load), zap.Bool("Trial", slot.Probe),
		zap.Int("Others", exchange.inputs.RemoteLoad), zap.Int64("Fence", exchange.inputs.Fence), zap.Duration("Expected", exchange.inputs.TimeToAnswer),
		zap.Int("Attempts", exchange.attempts), zap.Duration("Waited", slot.StartedAt.Sub(exchange.arrived)), zap.Duration("Took", took), zap.Error(err))...)
}

// writeFailure writes an answer of the router's own, records it in the metrics and logs it.
func (exchange *exchange) writeFailure(failure *cherrykeel.Failure) {
	took := exchange.relay.clock.Now().Sub(exchange.arrived)
	service := ""
	if exchange.dispatcher != nil {
		service = exchange.dispatcher.name
	}
	exchange.relay.meter.recordFailed(service, failure.Code, took)
	event := events.RequestFailed
	if failure.Status == statusCallerGone {
		event = events.CallerGone
	}
	events.Log(exchange.relay.Logger, event, append(exchange.logFields(),
		zap.Int("Status", failure.Status), zap.String("Code", failure.Code), zap.String("Outcome", string(failure.Outcome)),
		zap.String("Detail", failure.Detail), zap.Int("Attempts", exchange.attempts), zap.Strings("Tried", exchange.tried),
		zap.String("Owner", exchange.inputs.Owner), zap.Bool("Moving", exchange.inputs.InTransfer), zap.Int64("Fence", exchange.inputs.Fence),
		zap.Int("Load", exchange.inputs.Load), zap.Int("Others", exchange.inputs.RemoteLoad), zap.Int("Ahead", exchange.inputs.Ahead),
		zap.Duration("Work", exchange.inputs.ProcessingTime), zap.Duration("Wait", exchange.inputs.TimeToAnswer), zap.Duration("RestLeft", exchange.inputs.RestLeft), zap.Float64("Limit", exchange.inputs.RateLimit),
		zap.Duration("RetryAfter", failure.RetryAfter), zap.Duration("Took", took))...)
	header := exchange.writer.Header()
	header.Set(cherrykeel.HeaderOutcome, string(failure.Outcome))
	exchange.relay.dialect.MarkAnswer(header, exchange.headers.ID)
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	exchange.writer.WriteHeader(failure.Status)
	_, _ = io.WriteString(exchange.writer, failure.Code+"\n")
}

// logFields returns the log fields that are known of the request so far.
func (exchange *exchange) logFields() []zap.Field {
	fields := []zap.Field{zap.String("Request", exchange.headers.ID), zap.Int64("Routes", exchange.version)}
	if exchange.route != nil {
		fields = append(fields, zap.String("Route", exchange.route.Name), zap.Duration("Patience", exchange.deadline.Sub(exchange.arrived)))
	}
	if exchange.dispatcher != nil {
		fields = append(fields, zap.String("Service", exchange.dispatcher.name))
	}
	if exchange.headers.Key != cherrykeel.NoKey {
		fields = append(fields, zap.Int("Key", exchange.headers.Key))
	}
	if exchange.denyRequest == nil {
		return fields
	}
	fingerprint, known := exchange.denyRequest.ComputedFingerprint()
	if known {
		fields = append(fields, zap.Stringer("Identity", fingerprint))
	}
	return fields
}

// logAttempt logs an attempt whose answer, if there is one, is not passed on at once.
func (exchange *exchange) logAttempt(slot *flow.Slot, result result) {
	events.Log(exchange.relay.Logger, events.AttemptEnded, append(exchange.logFields(),
		zap.String("Upstream", slot.Upstream.ID), zap.String("Address", slot.Upstream.Address), zap.String("Via", result.via), zap.Int64("Conn", result.connection), zap.Int("Load", slot.Load), zap.Bool("Trial", slot.Probe),
		zap.Int("Attempt", exchange.attempts), zap.Bool("MayHaveRun", result.outcome == outcomeUnknown), zap.Int("Status", result.status),
		zap.Stringer("Names", result.names), zap.String("Instance", loggedID(result.instance)), zap.Int("Sends", result.sends),
		zap.String("Detail", result.detail), zap.Duration("Took", exchange.relay.clock.Now().Sub(slot.StartedAt)))...)
}

// logBytes logs an event of bytes that an upstream sent as an answer.
func (exchange *exchange) logBytes(event events.Event, slot *flow.Slot, result result) {
	events.Log(exchange.relay.Logger, event, append(exchange.logFields(),
		zap.String("Upstream", slot.Upstream.ID), zap.String("Address", slot.Upstream.Address), zap.String("Via", result.via), zap.Int64("Conn", result.connection), zap.String("Detail", result.detail))...)
}

// logPanic logs a panic with the request's id and panics again; the server of the connection recovers it.
func (exchange *exchange) logPanic() {
	failure := recover()
	if failure == nil {
		return
	}
	events.Log(exchange.relay.Logger, events.RequestPanicked, append(exchange.logFields(), zap.Any("Failure", failure))...)
	panic(failure)
}
