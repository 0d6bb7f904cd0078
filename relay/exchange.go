package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"cherrykeel"
	"cherrykeel/deny"
	"cherrykeel/events"
	"cherrykeel/flow"
)

const (
	// callerMargin is subtracted from the caller's timeout for the time on the network in both directions.
	callerMargin = 8 * time.Millisecond
	// defaultTimeout is assumed for callers that send no timeout, on routes with none or a shorter one.
	defaultTimeout = 2 * time.Second
	// settingsRetryAfter is the time within which a host that has just started has read the routes.
	settingsRetryAfter = 200 * time.Millisecond
)

// exchange is one caller's request while this host handles it.
type exchange struct {
	relay      *Relay
	request    *http.Request
	writer     http.ResponseWriter
	body       []byte
	headers    cherrykeel.RequestHeaders
	route      *weightedRoute
	version    int64
	dispatcher *dispatcher
	arrived    cherrykeel.Instant
	deadline   cherrykeel.Instant
	// attempts counts sends that may have reached an upstream, misdirected those refused since the upstream no longer
	// owns the key.
	attempts    int
	misdirected int
	tried       []string
	// mayHaveRun is set once an attempt may have run; from then on no answer may state that the request has not run.
	mayHaveRun bool
	lastDetail string
	// heldBytes is the memory of the answers that were read.
	heldBytes int64
	// fallback is an upstream's failure after which the request was sent again, or nil.
	fallback *fallbackAnswer
	// inputs are the figures behind the scheduler's last decision.
	inputs flow.Inputs
	// denyRequest is the request's state in the deny list.
	denyRequest *deny.Request
}

// ServeHTTP implements http.Handler.
func (relay *Relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	exchange := &exchange{relay: relay, request: request, writer: writer, arrived: relay.clock.Now(), headers: relay.dialect.ReadRequest(request)}
	defer exchange.logPanic()
	defer exchange.releaseAnswers()
	failure := exchange.prepare()
	if failure == nil {
		failure = exchange.run()
	}
	if failure != nil {
		exchange.writeFailure(failure)
	}
}

// prepare finds the route and the service, sets the deadline and reads the body.
func (exchange *exchange) prepare() *cherrykeel.Failure {
	route, version, known := exchange.relay.matchRoute(exchange.request)
	if !known {
		failure := cherrykeel.Refuse(http.StatusServiceUnavailable, "no-settings", "this host has not read the routes yet")
		failure.RetryAfter = settingsRetryAfter
		return failure
	}
	exchange.version = version
	if route == nil {
		return cherrykeel.Refuse(http.StatusNotFound, "no-route", "no route matches")
	}
	exchange.route = route
	timeout := exchange.headers.Timeout
	if timeout == 0 {
		timeout = max(route.Timeout, defaultTimeout)
	}
	timeout -= callerMargin
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	exchange.deadline = exchange.arrived.Add(timeout)
	exchange.recordProgress("")
	service := route.nextService()
	exchange.dispatcher = exchange.relay.dispatcher(service)
	if exchange.dispatcher == nil {
		return exchange.refuse("no-service", "the route's service is unknown")
	}
	body, err := readBody(exchange.request)
	if err != nil {
		return cherrykeel.Refuse(http.StatusBadRequest, "body-broke", "%s", err)
	}
	exchange.body = body
	exchange.denyRequest = exchange.relay.DenyList.NewRequest(exchange.fingerprintParts())
	failure := exchange.refuseOutlasting()
	if failure != nil {
		return failure
	}
	exchange.dispatcher.recordRequest(exchange.arrived)
	if exchange.dispatcher.keyed && exchange.headers.Key != cherrykeel.NoKey {
		exchange.relay.OnKeyRequest(service, exchange.headers.Key)
	}
	return nil
}

// recordProgress tells the writer how far the request has come; the upstream is the one that it is sent to, or empty.
func (exchange *exchange) recordProgress(upstream string) {
	recorder, ok := exchange.writer.(cherrykeel.ProgressRecorder)
	if !ok {
		return
	}
	recorder.RecordProgress(cherrykeel.RequestProgress{
		ID: exchange.headers.ID, Route: exchange.route.Name, Upstream: upstream, Arrived: exchange.arrived, Deadline: exchange.deadline,
	})
}

// readBody returns the whole body, without a copy if it has already been read.
func readBody(request *http.Request) ([]byte, error) {
	whole, read := request.Body.(interface{ Bytes() []byte })
	if read {
		return whole.Bytes(), nil
	}
	return io.ReadAll(request.Body)
}

// run makes attempts until one brings an answer or no further one is allowed.
func (exchange *exchange) run() *cherrykeel.Failure {
	ctx := exchange.request.Context()
	for {
		decision, failure := exchange.acquireSlot(ctx)
		if failure != nil {
			return exchange.preferFallback(failure)
		}
		slot := decision.Slot
		exchange.attempts++
		exchange.tried = append(exchange.tried, slot.Upstream.ID)
		result := exchange.attemptInSlot(ctx, slot)
		callerGone := ctx.Err() != nil
		now := exchange.relay.clock.Now()
		exchange.recordEvidence(slot, result, now)
		if result.endless {
			exchange.logBytes(events.AnswerEndless, slot, result)
		}
		if result.malformed {
			exchange.logBytes(events.AnswerMalformed, slot, result)
		}
		if result.outcome == answered && !exchange.canRetryAtNewOwner(result, now) {
			exchange.writeAnswer(slot, result)
			return nil
		}
		exchange.lastDetail = result.detail
		exchange.mayHaveRun = exchange.mayHaveRun || result.outcome == outcomeUnknown || result.outcome == answered
		exchange.logAttempt(slot, result)
		if result.outcome == answered {
			exchange.fallback = &fallbackAnswer{slot: slot, result: result}
		}
		if callerGone {
			return exchange.failCallerGone()
		}
		if result.outcome != answered && !exchange.canRetry(ctx, result, now) {
			return exchange.preferFallback(exchange.refuseNotRun(now))
		}
	}
}

// attemptInSlot makes an attempt and releases its slot, also after a panic; otherwise the slot would count as used for
// ever.
func (exchange *exchange) attemptInSlot(ctx context.Context, slot *flow.Slot) result {
	result := result{outcome: outcomeUnknown}
	defer func() {
		exchange.dispatcher.release(slot, result.slotResult(ctx.Err() != nil), result.load, exchange.relay.clock.Now())
	}()
	exchange.recordProgress(slot.Upstream.ID)
	exchange.countLimitedSend(slot)
	result = exchange.attempt(ctx, slot)
	exchange.recordProgress("")
	return result
}

// acquireSlot waits for a slot of an upstream, unless the request must not be sent, as when it is denied or may outlast
// the host; both may become so while it waits.
func (exchange *exchange) acquireSlot(ctx context.Context) (flow.Decision, *cherrykeel.Failure) {
	denials := exchange.relay.DenyList.DenialAdded()
	endSet := exchange.relay.endSet
	if failure := exchange.refuseBeforeSend(); failure != nil {
		return flow.Decision{}, failure
	}
	now := exchange.relay.clock.Now()
	ticket := exchange.newTicket()
	decisions := exchange.dispatcher.submit(ticket, now)
	timer := time.NewTimer(max(0, exchange.deadline.Sub(now)))
	defer timer.Stop()
	for {
		select {
		case decision := <-decisions:
			return exchange.checkDecision(decision)
		case <-denials:
			denials = exchange.relay.DenyList.DenialAdded()
		case <-endSet:
			endSet = nil
		case <-ctx.Done():
			exchange.dispatcher.cancel(ticket, decisions, exchange.relay.clock.Now())
			return flow.Decision{}, exchange.failCallerGone()
		case <-timer.C:
			exchange.dispatcher.cancel(ticket, decisions, exchange.relay.clock.Now())
			return flow.Decision{}, exchange.refuse("timeout", "no upstream had a free slot in time")
		}
		failure := exchange.refuseBeforeSend()
		if failure != nil {
			exchange.dispatcher.cancel(ticket, decisions, exchange.relay.clock.Now())
			return flow.Decision{}, failure
		}
	}
}

// newTicket returns the request as it is scheduled.
func (exchange *exchange) newTicket() *flow.Ticket {
	return &flow.Ticket{
		Priority: exchange.route.Priority,
		Key:      exchange.headers.Key,
		Arrived:  exchange.arrived,
		Target:   min(exchange.arrived.Add(exchange.route.TargetLatency), exchange.deadline),
		Deadline: exchange.deadline,
		Tried:    exchange.tried,
	}
}

// checkDecision handles the scheduler's decision. The request may have been denied, or the host may have begun to stop,
// together with it; then the slot is released.
func (exchange *exchange) checkDecision(decision flow.Decision) (flow.Decision, *cherrykeel.Failure) {
	exchange.inputs = decision.Inputs
	if decision.Slot == nil {
		exchange.countLimited(decision)
		return decision, exchange.refuse(string(decision.Reason), "no upstream can answer in time")
	}
	failure := exchange.refuseBeforeSend()
	if failure != nil {
		exchange.dispatcher.release(decision.Slot, flow.Abandoned, cherrykeel.UpstreamLoad{}, exchange.relay.clock.Now())
	}
	return decision, failure
}
