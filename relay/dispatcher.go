package relay

import (
	"math/rand/v2"
	"slices"
	"sync"

	"cherrykeel"
	"cherrykeel/flow"
)

// dispatcher is one service's scheduler with its lock and retry budget.
type dispatcher struct {
	name    string
	keyed   bool
	mutex   sync.Mutex
	service *flow.Service
	budget  *budget
	// upstreams are those that the service was last given.
	upstreams []cherrykeel.Upstream
	// queued is called when a request begins to wait.
	onQueued func()
}

func newDispatcher(name string, keyed bool, zone string, owner func(service string, key int) flow.Owner, bounds func() cherrykeel.Bounds, onQueued func()) *dispatcher {
	var ownerOf func(key int) flow.Owner
	if keyed {
		ownerOf = func(key int) flow.Owner { return owner(name, key) }
	}
	return &dispatcher{name: name, keyed: keyed, service: flow.New(zone, ownerOf, rand.Float64), budget: newBudget(bounds), onQueued: onQueued}
}

// setUpstreams gives the service its upstreams; mostly another service's have changed.
func (dispatcher *dispatcher) setUpstreams(upstreams []cherrykeel.Upstream, now cherrykeel.Instant) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if slices.Equal(upstreams, dispatcher.upstreams) {
		dispatcher.service.Dispatch(now)
		return
	}
	dispatcher.upstreams = upstreams
	dispatcher.service.SetUpstreams(upstreams, now)
}

// offer asks for a place; the verdict comes on the channel.
func (dispatcher *dispatcher) submit(ticket *flow.Ticket, now cherrykeel.Instant) <-chan flow.Decision {
	decisions := make(chan flow.Decision, 1)
	ticket.Notify = func(decision flow.Decision) { decisions <- decision }
	if dispatcher.isWaitingAfterSubmit(ticket, now, decisions) {
		dispatcher.onQueued()
	}
	return decisions
}

// offered reports whether the ticket waits.
func (dispatcher *dispatcher) isWaitingAfterSubmit(ticket *flow.Ticket, now cherrykeel.Instant, decisions <-chan flow.Decision) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.service.Submit(ticket, now)
	return len(decisions) == 0
}

// cancel takes a ticket back; a place that was given meanwhile is left again.
func (dispatcher *dispatcher) cancel(ticket *flow.Ticket, decisions <-chan flow.Decision, now cherrykeel.Instant) {
	dispatcher.mutex.Lock()
	cancelled := dispatcher.service.Cancel(ticket)
	dispatcher.mutex.Unlock()
	if cancelled {
		return
	}
	decision := <-decisions
	if decision.Slot != nil {
		dispatcher.release(decision.Slot, flow.Abandoned, cherrykeel.UpstreamLoad{}, now)
	}
}

func (dispatcher *dispatcher) release(slot *flow.Slot, result flow.Result, load cherrykeel.UpstreamLoad, now cherrykeel.Instant) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.service.Release(slot, result, load, now)
}

func (dispatcher *dispatcher) recordRequest(now cherrykeel.Instant) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.budget.recordRequest(now)
}

func (dispatcher *dispatcher) trySpendRetry(hosts int, now cherrykeel.Instant) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.budget.trySpend(hosts, now)
}

// dispatch reports whether requests wait still.
func (dispatcher *dispatcher) dispatch(now cherrykeel.Instant) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.service.Dispatch(now)
	return dispatcher.service.HasWaiting()
}
