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

// exchange is one request on its way.
type exchange struct {
	relay      *Relay
	request    *http.Request
	writer     http.ResponseWriter
	body       []byte
	asked      cherrykeel.RequestHeaders
	route      *dealt
	version    int64
	dispatcher *dispatcher
	arrived    cherrykeel.Instant
	deadline   cherrykeel.Instant
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
	exchange := &exchange{relay: relay, request: request, writer: writer, arrived: relay.clock.Now(), asked: relay.dialect.ReadRequest(request)}
	defer exchange.noteFault()
	failure := exchange.prepare()
	if failure == nil {
		failure = exchange.run()
	}
	if failure != nil {
		exchange.fail(failure)
	}
}

// prepare finds the route, the service and the time there is.
func (exchange *exchange) prepare() *cherrykeel.Failure {
	route, version, known := exchange.relay.match(exchange.request)
	if !known {
		failure := cherrykeel.Refuse(http.StatusServiceUnavailable, "no-settings", "this host knows no routes yet")
		failure.RetryAfter = settingsRetryAfter
		return failure
	}
	exchange.version = version
	if route == nil {
		return cherrykeel.Refuse(http.StatusNotFound, "no-route", "no route matches")
	}
	exchange.route = route
	patience := exchange.asked.Timeout
	if patience == 0 {
		patience = max(route.Timeout, unknownPatience)
	}
	patience -= callerMargin
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	exchange.deadline = exchange.arrived.Add(patience)
	service := route.deal()
	exchange.dispatcher = exchange.relay.dispatcher(service)
	if exchange.dispatcher == nil {
		return exchange.refuse("no-service", "the route's service is not known")
	}
	body, err := wholeBody(exchange.request)
	if err != nil {
		return cherrykeel.Refuse(http.StatusBadRequest, "body-broke", "%s", err)
	}
	exchange.body = body
	exchange.listed = exchange.relay.DenyList.Request(exchange.parts())
	if exchange.outlastsHost() {
		failure := exchange.refuse("stopping", "this host ends before the request would")
		failure.RetryAfter = elsewhere
		return failure
	}
	exchange.dispatcher.arrived(exchange.arrived)
	if exchange.dispatcher.keyed && exchange.asked.Key != cherrykeel.NoKey {
		exchange.relay.OnKeyRequest(service, exchange.asked.Key)
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
func (exchange *exchange) outlastsHost() bool {
	end := exchange.relay.endsAt.Load()
	return end != 0 && exchange.deadline > cherrykeel.Instant(end)
}

// run makes attempts until one brings an answer or none can any more.
func (exchange *exchange) run() *cherrykeel.Failure {
	ctx := exchange.request.Context()
	for {
		verdict, failure := exchange.admit(ctx)
		if failure != nil {
			return exchange.instead(failure)
		}
		place := verdict.Slot
		exchange.attempts++
		exchange.tried = append(exchange.tried, place.Upstream.ID)
		result := exchange.attemptThere(ctx, place)
		gone := ctx.Err() != nil
		now := exchange.relay.clock.Now()
		exchange.tellOfUpstream(place, result, now)
		if result.finding == answered && !exchange.lostWithKey(result, now) {
			exchange.pass(place, result)
			return nil
		}
		exchange.last = result.detail
		exchange.mayHaveRun = exchange.mayHaveRun || result.finding == uncertain || result.finding == answered
		exchange.noteAttempt(place, result)
		if result.finding == answered {
			exchange.kept = &keptAnswer{place: place, result: result}
		}
		if gone {
			return exchange.callerGone()
		}
		if result.finding != answered && !exchange.again(ctx, result, now) {
			return exchange.instead(exchange.giveUp(now))
		}
	}
}

// attemptThere makes an attempt and leaves its place, also if it panics: the place would count as taken for ever.
func (exchange *exchange) attemptThere(ctx context.Context, place *flow.Slot) result {
	result := result{finding: uncertain}
	defer func() {
		exchange.dispatcher.leave(place, result.ending(ctx.Err() != nil), result.load, exchange.relay.clock.Now())
	}()
	result = exchange.attempt(ctx, place)
	return result
}

// admit waits for a place on an upstream, unless the request is one that ends upstreams.
func (exchange *exchange) admit(ctx context.Context) (flow.Decision, *cherrykeel.Failure) {
	denials := exchange.relay.DenyList.Changed()
	if failure := exchange.denied(); failure != nil {
		return flow.Decision{}, failure
	}
	now := exchange.relay.clock.Now()
	ticket := &flow.Ticket{
		Priority: exchange.route.Priority,
		Key:      exchange.asked.Key,
		Arrived:  exchange.arrived,
		Target:   min(exchange.arrived.Add(exchange.route.TargetLatency), exchange.deadline),
		Deadline: exchange.deadline,
		Tried:    exchange.tried,
	}
	verdicts := exchange.dispatcher.offer(ticket, now)
	timer := time.NewTimer(max(0, exchange.deadline.Sub(now)))
	defer timer.Stop()
	for {
		select {
		case verdict := <-verdicts:
			return exchange.admitted(verdict)
		case <-denials:
			denials = exchange.relay.DenyList.Changed()
			failure := exchange.denied()
			if failure == nil {
				continue
			}
			exchange.dispatcher.cancel(ticket, verdicts, exchange.relay.clock.Now())
			return flow.Decision{}, failure
		case <-ctx.Done():
			exchange.dispatcher.cancel(ticket, verdicts, exchange.relay.clock.Now())
			return flow.Decision{}, exchange.callerGone()
		case <-timer.C:
			exchange.dispatcher.cancel(ticket, verdicts, exchange.relay.clock.Now())
			return flow.Decision{}, exchange.refuse("timeout", "no upstream became free in time")
		}
	}
}

// admitted takes the scheduler's verdict. It may have come together with what shows that the request is not to be
// sent.
func (exchange *exchange) admitted(verdict flow.Decision) (flow.Decision, *cherrykeel.Failure) {
	exchange.inputs = verdict.Inputs
	if verdict.Slot == nil {
		return verdict, exchange.refuse(string(verdict.Reason), "no upstream can answer in time")
	}
	failure := exchange.denied()
	if failure != nil {
		exchange.dispatcher.leave(verdict.Slot, flow.Abandoned, cherrykeel.UpstreamLoad{}, exchange.relay.clock.Now())
	}
	return verdict, failure
}
