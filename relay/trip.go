package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"cherrykeel"
	"cherrykeel/deny"
	"cherrykeel/flow"
)

const (
	// callerMargin is kept of a caller's patience for the ways to it and back.
	callerMargin = 8 * time.Millisecond
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
