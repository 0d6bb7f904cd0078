package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/deny"
	"cherrykeel/events"
	"cherrykeel/flow"
)

const (
	// callerMargin is kept of a caller's patience for the ways to it and back.
	callerMargin = 8 * time.Millisecond
	// A refused caller comes back after a part of what it has left: early enough to be served in time,
	// spread so that the refused of one moment do not come back in one moment, and below the third that
	// callers honour.
	earliestReturn = 0.08
	latestReturn   = 0.3
	// unknownPatience is assumed of callers of routes without a timeout that do not say how long they wait.
	unknownPatience = 2 * time.Second
	// elsewhere sends a caller to another host at once.
	elsewhere = 10 * time.Millisecond
	// settingsRetryAfter is when a host that has just started knows the routes at the latest, as measured.
	settingsRetryAfter = 200 * time.Millisecond
)

// trip is one request on its way.
type trip struct {
	relay    *Relay
	request  *http.Request
	writer   http.ResponseWriter
	body     []byte
	asked    cherrykeel.Asked
	route    *dealt
	version  int64
	lane     *lane
	arrived  cherrykeel.Instant
	deadline cherrykeel.Instant
	// attempts counts sends that may have reached an upstream, misdirected those refused for the key.
	attempts    int
	misdirected int
	tried       []string
	// mayHaveRun says that no refusal may be told any more.
	mayHaveRun bool
	last       string
	// kept is an upstream's failure that the request was sent once more after, or nil.
	kept *keptAnswer
	// inputs are what the last verdict of the scheduler rested on.
	inputs flow.Inputs
	// listed is the request as the list of those sees it that end upstreams.
	listed *deny.Request
}

// ServeHTTP implements http.Handler.
func (relay *Relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	trip := &trip{relay: relay, request: request, writer: writer, arrived: relay.clock.Now(), asked: relay.dialect.Asked(request)}
	defer trip.noteFault()
	failure := trip.prepare()
	if failure == nil {
		failure = trip.run()
	}
	if failure != nil {
		trip.fail(failure)
	}
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

// prepare finds the route, the service and the time there is.
func (trip *trip) prepare() *cherrykeel.Failure {
	route, version, known := trip.relay.match(trip.request)
	if !known {
		failure := cherrykeel.Refuse(http.StatusServiceUnavailable, "no-settings", "this host knows no routes yet")
		failure.RetryAfter = settingsRetryAfter
		return failure
	}
	trip.version = version
	if route == nil {
		return cherrykeel.Refuse(http.StatusNotFound, "no-route", "no route matches")
	}
	trip.route = route
	patience := trip.asked.Patience
	if patience == 0 {
		patience = max(route.Timeout, unknownPatience)
	}
	patience -= callerMargin
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	trip.deadline = trip.arrived.Add(patience)
	service := route.deal()
	trip.lane = trip.relay.lane(service)
	if trip.lane == nil {
		return trip.refuse("no-service", "the route's service is not known")
	}
	body, err := wholeBody(trip.request)
	if err != nil {
		return cherrykeel.Refuse(http.StatusBadRequest, "body-broke", "%s", err)
	}
	trip.body = body
	trip.listed = trip.relay.Denied.Request(trip.parts())
	if trip.outlastsHost() {
		failure := trip.refuse("stopping", "this host ends before the request would")
		failure.RetryAfter = elsewhere
		return failure
	}
	trip.lane.arrived(trip.arrived)
	if trip.lane.keyed && trip.asked.Key != cherrykeel.NoKey {
		trip.relay.Asked(service, trip.asked.Key)
	}
	return nil
}

// wholeBody returns the body, without a copy if it has been read already.
func wholeBody(request *http.Request) ([]byte, error) {
	whole, read := request.Body.(interface{ Bytes() []byte })
	if read {
		return whole.Bytes(), nil
	}
	return io.ReadAll(request.Body)
}

// outlastsHost reports whether the host's process will have ended before the request's time is up. One
// search in a hundred takes five times the usual, so that only the whole of its time is enough not to cut it
// off; its caller is served by another host at once.
func (trip *trip) outlastsHost() bool {
	end := trip.relay.endsAt.Load()
	return end != 0 && trip.deadline > cherrykeel.Instant(end)
}

// run makes attempts until one brings an answer or none can any more.
func (trip *trip) run() *cherrykeel.Failure {
	ctx := trip.request.Context()
	for {
		verdict, failure := trip.admit(ctx)
		if failure != nil {
			return trip.instead(failure)
		}
		place := verdict.Place
		trip.attempts++
		trip.tried = append(trip.tried, place.Upstream.ID)
		result := trip.attemptThere(ctx, place)
		gone := ctx.Err() != nil
		now := trip.relay.clock.Now()
		trip.tellOfUpstream(place, result, now)
		if result.finding == answered && !trip.lostWithKey(result, now) {
			trip.pass(place, result)
			return nil
		}
		trip.last = result.detail
		trip.mayHaveRun = trip.mayHaveRun || result.finding == uncertain || result.finding == answered
		trip.noteAttempt(place, result)
		if result.finding == answered {
			trip.kept = &keptAnswer{place: place, result: result}
		}
		if gone {
			return trip.callerGone()
		}
		if result.finding != answered && !trip.again(ctx, result, now) {
			return trip.instead(trip.giveUp(now))
		}
	}
}

// attemptThere makes an attempt and leaves its place, also if it panics: the place would count as taken for ever.
func (trip *trip) attemptThere(ctx context.Context, place *flow.Place) result {
	result := result{finding: uncertain}
	defer func() {
		trip.lane.leave(place, result.ending(ctx.Err() != nil), result.load, trip.relay.clock.Now())
	}()
	result = trip.attempt(ctx, place)
	return result
}

// admit waits for a place on an upstream, unless the request is one that ends upstreams.
func (trip *trip) admit(ctx context.Context) (flow.Verdict, *cherrykeel.Failure) {
	denials := trip.relay.Denied.Changed()
	if failure := trip.denied(); failure != nil {
		return flow.Verdict{}, failure
	}
	now := trip.relay.clock.Now()
	ticket := &flow.Ticket{
		Priority: trip.route.Priority,
		Key:      trip.asked.Key,
		Arrived:  trip.arrived,
		Target:   min(trip.arrived.Add(trip.route.Target), trip.deadline),
		Deadline: trip.deadline,
		Tried:    trip.tried,
	}
	verdicts := trip.lane.offer(ticket, now)
	timer := time.NewTimer(max(0, trip.deadline.Sub(now)))
	defer timer.Stop()
	for {
		select {
		case verdict := <-verdicts:
			return trip.admitted(verdict)
		case <-denials:
			denials = trip.relay.Denied.Changed()
			failure := trip.denied()
			if failure == nil {
				continue
			}
			trip.lane.cancel(ticket, verdicts, trip.relay.clock.Now())
			return flow.Verdict{}, failure
		case <-ctx.Done():
			trip.lane.cancel(ticket, verdicts, trip.relay.clock.Now())
			return flow.Verdict{}, trip.callerGone()
		case <-timer.C:
			trip.lane.cancel(ticket, verdicts, trip.relay.clock.Now())
			return flow.Verdict{}, trip.refuse("timeout", "no upstream became free in time")
		}
	}
}

// admitted takes the scheduler's verdict. It may have come together with what shows that the request is not to be
// sent.
func (trip *trip) admitted(verdict flow.Verdict) (flow.Verdict, *cherrykeel.Failure) {
	trip.inputs = verdict.Inputs
	if verdict.Place == nil {
		return verdict, trip.refuse(string(verdict.Reason), "no upstream can answer in time")
	}
	failure := trip.denied()
	if failure != nil {
		trip.lane.leave(verdict.Place, flow.Abandoned, cherrykeel.UpstreamLoad{}, trip.relay.clock.Now())
	}
	return verdict, failure
}

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
