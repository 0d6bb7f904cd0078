package relay

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/flow"
	"cherrykeel/origin"
	"cherrykeel/permit"
)

// malformedLogInterval is the interval of log lines on each kind of malformed header; all upstreams of one version send
// the same ones.
const malformedLogInterval = time.Minute

func newMalformedLogLimits() map[int]*rate.Sometimes {
	limits := map[int]*rate.Sometimes{}
	for _, event := range []events.Event{events.LoadUnreadable, events.RetryAfterMalformed, events.LimitMalformed} {
		limits[event.Number] = &rate.Sometimes{First: 1, Interval: malformedLogInterval}
	}
	return limits
}

// recordStatements records all that an answer says of its sender, as soon as its headers are there: its body may come
// late or never.
func (exchange *exchange) recordStatements(slot *flow.Slot, call origin.Call, reply cherrykeel.ReplyHeaders) {
	exchange.logMalformed(events.LoadUnreadable, slot.Upstream, reply.Load.Malformed)
	exchange.logMalformed(events.RetryAfterMalformed, slot.Upstream, reply.MalformedRetryAfter)
	exchange.logMalformed(events.LimitMalformed, slot.Upstream, reply.Limit.Malformed)
	exchange.recordRest(slot, call, reply)
	if reply.Leaving && origin.Shows(origin.Leaving, call, reply) {
		exchange.relay.OnUpstreamLeaving(slot.Upstream, exchange.headers.ID)
	}
	heard, heardAny := exchange.limitStatement(slot, reply)
	if heardAny && origin.Shows(origin.Limit, call, reply) {
		upstream := permit.Incarnation{ID: slot.Upstream.ID, StartedAt: slot.Upstream.StartedAt}
		exchange.relay.OnUpstreamLimit(upstream, heard, exchange.headers.ID)
	}
}

// limitStatement returns what an answer says of the upstream's rate limit, and false if it says nothing. An answer that
// the upstream has not signed, such as a refusal, may lack the limit for other reasons than its end.
func (exchange *exchange) limitStatement(slot *flow.Slot, reply cherrykeel.ReplyHeaders) (permit.Statement, bool) {
	if reply.Limit.Malformed != "" || !reply.Limit.Named && !reply.Signed {
		return permit.Statement{}, false
	}
	return permit.Statement{
		Limited: reply.Limit.Named, PerSecond: reply.Limit.PerSecond,
		SentAt: slot.StartedAt, ReceivedAt: exchange.relay.clock.Now(),
	}, true
}

// logMalformed logs what an upstream says of itself if it cannot be parsed. Nothing else shows that fault: scheduling
// goes on without it.
func (exchange *exchange) logMalformed(event events.Event, upstream cherrykeel.Upstream, malformed string) {
	if malformed == "" {
		return
	}
	exchange.relay.malformedLogLimits[event.Number].Do(func() {
		events.Log(exchange.relay.Logger, event, append(exchange.logFields(),
			zap.String("Upstream", upstream.ID), zap.String("Told", malformed))...)
	})
}
