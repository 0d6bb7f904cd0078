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
func (trip *trip) refuse(code, detail string) *cherrykeel.Failure {
	if trip.mayHaveRun {
		return trip.doubt()
	}
	failure := cherrykeel.Refuse(http.StatusServiceUnavailable, code, "%s", detail)
	left := trip.deadline.Sub(trip.relay.clock.Now())
	share := earliestReturn + rand.Float64()*(latestReturn-earliestReturn)
	failure.RetryAfter = max(time.Millisecond, time.Duration(share*float64(left)))
	return failure
}

func (trip *trip) doubt() *cherrykeel.Failure {
	if trip.relay.clock.Now() >= trip.deadline {
		return cherrykeel.Doubt(http.StatusGatewayTimeout, "upstream-timeout", "%s", trip.last)
	}
	return cherrykeel.Doubt(http.StatusBadGateway, "upstream-broke", "%s", trip.last)
}

func (trip *trip) giveUp(cherrykeel.Instant) *cherrykeel.Failure {
	return trip.refuse("not-run", trip.last)
}

// statusCallerGone is for the log; the caller does not read it.
const statusCallerGone = 499

func (trip *trip) callerGone() *cherrykeel.Failure {
	failure := cherrykeel.Refuse(statusCallerGone, "caller-gone", "the caller left")
	if trip.mayHaveRun {
		failure.Outcome = cherrykeel.OutcomeUnknown
	}
	return failure
}

// pass writes the upstream's answer.
func (trip *trip) pass(place *flow.Place, result result) {
	header := trip.writer.Header()
	dropHopHeaders(result.header)
	for name, values := range result.header {
		header[name] = values
	}
	header.Del(cherrykeel.HeaderOutcome)
	trip.writer.WriteHeader(result.status)
	_, err := trip.writer.Write(result.body)
	took := trip.relay.clock.Now().Sub(trip.arrived)
	trip.relay.meter.served(trip.lane.name, result.status, took)
	events.Log(trip.relay.Logger, events.RequestServed, append(trip.fields(),
		zap.Int("Status", result.status), zap.String("Upstream", place.Upstream.ID), zap.Int("Load", place.Load),
		zap.Int("Others", trip.inputs.Others), zap.Int64("Fence", trip.inputs.Fence), zap.Duration("Expected", trip.inputs.Wait),
		zap.Int("Attempts", trip.attempts), zap.Duration("Waited", place.Begun.Sub(trip.arrived)), zap.Duration("Took", took), zap.Error(err))...)
}

// fail writes an answer of the router's own.
func (trip *trip) fail(failure *cherrykeel.Failure) {
	took := trip.relay.clock.Now().Sub(trip.arrived)
	service := ""
	if trip.lane != nil {
		service = trip.lane.name
	}
	trip.relay.meter.failed(service, failure.Code, took)
	event := events.RequestFailed
	if failure.Status == statusCallerGone {
		event = events.CallerGone
	}
	events.Log(trip.relay.Logger, event, append(trip.fields(),
		zap.Int("Status", failure.Status), zap.String("Code", failure.Code), zap.String("Outcome", string(failure.Outcome)),
		zap.String("Detail", failure.Detail), zap.Int("Attempts", trip.attempts), zap.Strings("Tried", trip.tried),
		zap.String("Owner", trip.inputs.Owner), zap.Bool("Moving", trip.inputs.Moving), zap.Int64("Fence", trip.inputs.Fence),
		zap.Int("Load", trip.inputs.Load), zap.Int("Others", trip.inputs.Others), zap.Int("Ahead", trip.inputs.Ahead),
		zap.Duration("Work", trip.inputs.Work), zap.Duration("Wait", trip.inputs.Wait),
		zap.Duration("RetryAfter", failure.RetryAfter), zap.Duration("Took", took))...)
	header := trip.writer.Header()
	header.Set(cherrykeel.HeaderOutcome, string(failure.Outcome))
	trip.relay.dialect.Echo(header, trip.asked.ID)
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	trip.writer.WriteHeader(failure.Status)
	_, _ = io.WriteString(trip.writer, failure.Code+"\n")
}

func (trip *trip) fields() []zap.Field {
	fields := []zap.Field{zap.String("Request", trip.asked.ID), zap.Int64("Routes", trip.version)}
	if trip.route != nil {
		fields = append(fields, zap.String("Route", trip.route.Name), zap.Duration("Patience", trip.deadline.Sub(trip.arrived)))
	}
	if trip.lane != nil {
		fields = append(fields, zap.String("Service", trip.lane.name))
	}
	if trip.asked.Key != cherrykeel.NoKey {
		fields = append(fields, zap.Int("Key", trip.asked.Key))
	}
	if trip.listed == nil {
		return fields
	}
	identity, identified := trip.listed.Identified()
	if identified {
		fields = append(fields, zap.Stringer("Identity", identity))
	}
	return fields
}

func (trip *trip) noteAttempt(place *flow.Place, result result) {
	events.Log(trip.relay.Logger, events.AttemptEnded, append(trip.fields(),
		zap.String("Upstream", place.Upstream.ID), zap.String("Address", place.Upstream.Address), zap.Int("Load", place.Load),
		zap.Int("Attempt", trip.attempts), zap.Bool("MayHaveRun", result.finding == uncertain), zap.Int("Status", result.status),
		zap.String("Detail", result.detail), zap.Duration("Took", trip.relay.clock.Now().Sub(place.Begun)))...)
}

// noteUnreadableLoad logs that an upstream's load cannot be read: it is then as if it told none, which is silent.
func (trip *trip) noteUnreadableLoad(upstream cherrykeel.Upstream, load cherrykeel.UpstreamLoad) {
	if load.Unreadable == "" {
		return
	}
	trip.relay.loadLines.Do(func() {
		events.Log(trip.relay.Logger, events.LoadUnreadable, append(trip.fields(),
			zap.String("Upstream", upstream.ID), zap.String("Told", load.Unreadable))...)
	})
}

// noteFault lets a panic be found by the request's id; who serves the connection contains it.
func (trip *trip) noteFault() {
	failure := recover()
	if failure == nil {
		return
	}
	events.Log(trip.relay.Logger, events.RequestPanicked, append(trip.fields(), zap.Any("Failure", failure))...)
	panic(failure)
}
