package relay

import (
	"cherrykeel/flow"
	"cherrykeel/permit"
)

// Wants returns what this host wants of each upstream that names a limit.
func (relay *Relay) Wants() []permit.Ask {
	now := relay.clock.Now()
	var asks []permit.Ask
	for _, dispatcher := range relay.allDispatchers() {
		dispatcher.mutex.Lock()
		asks = append(asks, dispatcher.service.Wants(now)...)
		dispatcher.mutex.Unlock()
	}
	return asks
}

// ApplyPermits passes on what this host got for an upstream of a service: permits, and requests that get none in time.
func (relay *Relay) ApplyPermits(service string, reply permit.Reply) {
	dispatcher := relay.dispatcher(service)
	if dispatcher == nil || reply.IsEmpty() {
		return
	}
	now := relay.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.service.DeclineWants(reply.Upstream, reply.Declined, now)
	dispatcher.service.AddPermits(reply.Upstream, reply.Permits, now)
}

// countLimited counts a refusal that limits are the reason of.
func (exchange *exchange) countLimited(decision flow.Decision) {
	if decision.Reason == flow.Limited {
		exchange.relay.meter.recordLimited(decision.Inputs.Owner)
	}
}

// countLimitedSend counts a request that is sent to an upstream that names a limit.
func (exchange *exchange) countLimitedSend(slot *flow.Slot) {
	if slot.Upstream.HasRateLimit {
		exchange.relay.meter.recordLimitedSend(slot.Upstream.ID)
	}
}
