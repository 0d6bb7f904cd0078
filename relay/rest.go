package relay

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/flow"
	"cherrykeel/origin"
)

// recordRest records and logs that an upstream wants no request from this host for a time.
func (exchange *exchange) recordRest(slot *flow.Slot, call origin.Call, reply cherrykeel.ReplyHeaders) {
	if reply.RetryAfter <= 0 || !origin.Shows(origin.Rest, call, reply) {
		return
	}
	if !exchange.dispatcher.recordRest(slot.Upstream, reply.RetryAfter, exchange.relay.clock.Now()) {
		return
	}
	exchange.relay.meter.recordRest(exchange.dispatcher.name)
	events.Log(exchange.relay.Logger, events.RestBegan, append(exchange.logFields(),
		zap.String("Upstream", slot.Upstream.ID), zap.String("Address", slot.Upstream.Address), zap.Duration("Rest", reply.RetryAfter))...)
}

// isReady reports whether the upstream of a slot may still get its request, once the connection is established: a rest
// or the host's stop may have begun while the connection was slow to come.
func (exchange *exchange) isReady(slot *flow.Slot) bool {
	return !exchange.outlastsHost() && !exchange.dispatcher.isResting(slot.Upstream, exchange.relay.clock.Now())
}

// isRestTooLong reports whether all upstreams that the request may be sent to are at rest for longer than it has time.
// It is then not sent again, and charges no retry to the budget.
func (exchange *exchange) isRestTooLong(now cherrykeel.Instant) bool {
	return exchange.dispatcher.isRestTooLong(exchange.newTicket(), now)
}

// restLeft returns for how long all upstreams that the request may be sent to are at rest; 0 if one is not, or if the
// request's service is unknown.
func (exchange *exchange) restLeft(now cherrykeel.Instant) time.Duration {
	if exchange.dispatcher == nil {
		return 0
	}
	return exchange.dispatcher.restLeft(exchange.newTicket(), now)
}

// RecordRest records and logs that an upstream wants no request from this host for a time, as it has answered a check.
func (relay *Relay) RecordRest(upstream cherrykeel.Upstream, duration time.Duration) {
	dispatcher := relay.dispatcher(upstream.Service)
	if dispatcher == nil || !dispatcher.recordRest(upstream, duration, relay.clock.Now()) {
		return
	}
	relay.meter.recordRest(dispatcher.name)
	events.Log(relay.Logger, events.RestBegan,
		zap.String("Service", dispatcher.name), zap.String("Upstream", upstream.ID), zap.String("Address", upstream.Address), zap.Duration("Rest", duration))
}

// IsResting reports whether an upstream wants no request from this host now.
func (relay *Relay) IsResting(upstream cherrykeel.Upstream) bool {
	dispatcher := relay.dispatcher(upstream.Service)
	return dispatcher != nil && dispatcher.isResting(upstream, relay.clock.Now())
}

// RestingUpstreams returns how many upstreams want no request from this host now.
func (relay *Relay) RestingUpstreams() int {
	now := relay.clock.Now()
	count := 0
	for _, dispatcher := range relay.allDispatchers() {
		count += dispatcher.restingUpstreams(now)
	}
	return count
}
