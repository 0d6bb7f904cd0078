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
	// A refused caller comes back after a part of what it has left: early enough to be served in time,
	// spread so that the refused of one moment do not come back in one moment, and below the third that
	// callers honour.
	earliestReturn = 0.08
	latestReturn   = 0.3
)

// refuse says that the request has not run and when to come back, unless an attempt may have run.
func (exchange *exchange) refuse(code, detail string) *cherrykeel.Failure {
	if exchange.mayHaveRun {
		return exchange.doubt()
	}
	failure := cherrykeel.Refuse(http.StatusServiceUnavailable, code, "%s", detail)
	left := exchange.deadline.Sub(exchange.relay.clock.Now())
	share := earliestReturn + rand.Float64()*(latestReturn-earliestReturn)
	failure.RetryAfter = max(time.Millisecond, time.Duration(share*float64(left)))
	return failure
}

func (exchange *exchange) doubt() *cherrykeel.Failure {
	if exchange.relay.clock.Now() >= exchange.deadline {
		return cherrykeel.FailUnknown(http.StatusGatewayTimeout, "upstream-timeout", "%s", exchange.last)
	}
	return cherrykeel.FailUnknown(http.StatusBadGateway, "upstream-broke", "%s", exchange.last)
}

func (exchange *exchange) giveUp(cherrykeel.Instant) *cherrykeel.Failure {
	return exchange.refuse("not-run", exchange.last)
}

// statusCallerGone is for the log; the caller does not read it.
const statusCallerGone = 499

func (exchange *exchange) callerGone() *cherrykeel.Failure {
	failure := cherrykeel.Refuse(statusCallerGone, "caller-gone", "the caller left")
	if exchange.mayHaveRun {
		failure.Outcome = cherrykeel.OutcomeUnknown
	}
	return failure
}

// pass writes the upstream's answer.
func (exchange *exchange) pass(place *flow.Slot, result result) {
	header := exchange.writer.Header()
	dropHopHeaders(result.header)
	for name, values := range result.header {
		header[name] = values
	}
	header.Del(cherrykeel.HeaderOutcome)
	exchange.writer.WriteHeader(result.status)
	_, err := exchange.writer.Write(result.body)
	took := exchange.relay.clock.Now().Sub(exchange.arrived)
	exchange.relay.meter.served(exchange.dispatcher.name, result.status, took)
	events.Log(exchange.relay.Logger, events.RequestServed, append(exchange.fields(),
		zap.Int("Status", result.status), zap.String("Upstream", place.Upstream.ID), zap.Int("Load", place.Load), zap.Bool("Trial", place.Probe),
		zap.Int("Others", exchange.inputs.RemoteLoad), zap.Int64("Fence", exchange.inputs.Fence), zap.Duration("Expected", exchange.inputs.TimeToAnswer),
		zap.Int("Attempts", exchange.attempts), zap.Duration("Waited", place.StartedAt.Sub(exchange.arrived)), zap.Duration("Took", took), zap.Error(err))...)
}

// fail writes an answer of the router's own.
func (exchange *exchange) fail(failure *cherrykeel.Failure) {
	took := exchange.relay.clock.Now().Sub(exchange.arrived)
	service := ""
	if exchange.dispatcher != nil {
		service = exchange.dispatcher.name
	}
	exchange.relay.meter.failed(service, failure.Code, took)
	event := events.RequestFailed
	if failure.Status == statusCallerGone {
		event = events.CallerGone
	}
	events.Log(exchange.relay.Logger, event, append(exchange.fields(),
		zap.Int("Status", failure.Status), zap.String("Code", failure.Code), zap.String("Outcome", string(failure.Outcome)),
		zap.String("Detail", failure.Detail), zap.Int("Attempts", exchange.attempts), zap.Strings("Tried", exchange.tried),
		zap.String("Owner", exchange.inputs.Owner), zap.Bool("Moving", exchange.inputs.InTransfer), zap.Int64("Fence", exchange.inputs.Fence),
		zap.Int("Load", exchange.inputs.Load), zap.Int("Others", exchange.inputs.RemoteLoad), zap.Int("Ahead", exchange.inputs.Ahead),
		zap.Duration("Work", exchange.inputs.ProcessingTime), zap.Duration("Wait", exchange.inputs.TimeToAnswer),
		zap.Duration("RetryAfter", failure.RetryAfter), zap.Duration("Took", took))...)
	header := exchange.writer.Header()
	header.Set(cherrykeel.HeaderOutcome, string(failure.Outcome))
	exchange.relay.dialect.MarkAnswer(header, exchange.asked.ID)
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	exchange.writer.WriteHeader(failure.Status)
	_, _ = io.WriteString(exchange.writer, failure.Code+"\n")
}

func (exchange *exchange) fields() []zap.Field {
	fields := []zap.Field{zap.String("Request", exchange.asked.ID), zap.Int64("Routes", exchange.version)}
	if exchange.route != nil {
		fields = append(fields, zap.String("Route", exchange.route.Name), zap.Duration("Patience", exchange.deadline.Sub(exchange.arrived)))
	}
	if exchange.dispatcher != nil {
		fields = append(fields, zap.String("Service", exchange.dispatcher.name))
	}
	if exchange.asked.Key != cherrykeel.NoKey {
		fields = append(fields, zap.Int("Key", exchange.asked.Key))
	}
	if exchange.listed == nil {
		return fields
	}
	identity, identified := exchange.listed.Identified()
	if identified {
		fields = append(fields, zap.Stringer("Identity", identity))
	}
	return fields
}

func (exchange *exchange) noteAttempt(place *flow.Slot, result result) {
	events.Log(exchange.relay.Logger, events.AttemptEnded, append(exchange.fields(),
		zap.String("Upstream", place.Upstream.ID), zap.String("Address", place.Upstream.Address), zap.Int("Load", place.Load), zap.Bool("Trial", place.Probe),
		zap.Int("Attempt", exchange.attempts), zap.Bool("MayHaveRun", result.finding == uncertain), zap.Int("Status", result.status),
		zap.String("Detail", result.detail), zap.Duration("Took", exchange.relay.clock.Now().Sub(place.StartedAt)))...)
}

// noteUnreadableLoad logs that an upstream's load cannot be read: it is then as if it told none, which is silent.
func (exchange *exchange) noteUnreadableLoad(upstream cherrykeel.Upstream, load cherrykeel.UpstreamLoad) {
	if load.Malformed == "" {
		return
	}
	exchange.relay.loadLines.Do(func() {
		events.Log(exchange.relay.Logger, events.LoadUnreadable, append(exchange.fields(),
			zap.String("Upstream", upstream.ID), zap.String("Told", load.Malformed))...)
	})
}

// noteFault lets a panic be found by the request's id; who serves the connection contains it.
func (exchange *exchange) noteFault() {
	failure := recover()
	if failure == nil {
		return
	}
	events.Log(exchange.relay.Logger, events.RequestPanicked, append(exchange.fields(), zap.Any("Failure", failure))...)
	panic(failure)
}
