package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cherrykeel"
	"cherrykeel/flow"
)

// dispatcher is one service's scheduler with its lock and its retry budget.
type dispatcher struct {
	name    string
	keyed   bool
	mutex   sync.Mutex
	service *flow.Service
	budget  *budget
	// upstreams are those that the scheduler was last given.
	upstreams []cherrykeel.Upstream
	// onQueued is called when a request begins to wait.
	onQueued func()
}

// newDispatcher returns the dispatcher of a service; owner is called only if the service is keyed.
func newDispatcher(name string, keyed bool, zone string, owner func(service string, key int) flow.Owner, bounds func() cherrykeel.Bounds, onQueued func()) *dispatcher {
	var ownerOf func(key int) flow.Owner
	if keyed {
		ownerOf = func(key int) flow.Owner { return owner(name, key) }
	}
	return &dispatcher{name: name, keyed: keyed, service: flow.New(zone, ownerOf, rand.Float64), budget: newBudget(bounds), onQueued: onQueued}
}

// setUpstreams gives the scheduler its upstreams. Most calls come after a change of another service's upstreams and
// change nothing here.
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

// submit requests a slot; the decision comes on the channel. Permits may be wanted from then on, also if it comes at once.
func (dispatcher *dispatcher) submit(ticket *flow.Ticket, now cherrykeel.Instant) <-chan flow.Decision {
	decisions := make(chan flow.Decision, 1)
	ticket.Notify = func(decision flow.Decision) { decisions <- decision }
	if dispatcher.needsDispatchAfterSubmit(ticket, now, decisions) {
		dispatcher.onQueued()
	}
	return decisions
}

// needsDispatchAfterSubmit passes the ticket to the scheduler and reports whether it waits there, or permits are wanted.
func (dispatcher *dispatcher) needsDispatchAfterSubmit(ticket *flow.Ticket, now cherrykeel.Instant, decisions <-chan flow.Decision) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.service.Submit(ticket, now)
	return len(decisions) == 0 || dispatcher.service.HasWants(now)
}

// cancel withdraws a ticket; a slot that it got meanwhile is released.
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

// release returns a slot to the scheduler, with what its use showed of the upstream.
func (dispatcher *dispatcher) release(slot *flow.Slot, result flow.Result, load cherrykeel.UpstreamLoad, now cherrykeel.Instant) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.service.Release(slot, result, load, now)
}

// recordRest records that an upstream wants no request from this host for a time, and reports whether its rest begins
// with that.
func (dispatcher *dispatcher) recordRest(upstream cherrykeel.Upstream, duration time.Duration, now cherrykeel.Instant) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.service.RecordRest(upstream, duration, now)
}

// isResting reports whether an upstream is at rest.
func (dispatcher *dispatcher) isResting(upstream cherrykeel.Upstream, now cherrykeel.Instant) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.service.IsResting(upstream, now)
}

// isRestTooLong reports whether all upstreams that may get a ticket are at rest for longer than it has time.
func (dispatcher *dispatcher) isRestTooLong(ticket *flow.Ticket, now cherrykeel.Instant) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.service.RestsTooLong(ticket, now)
}

// restLeft returns for how long all upstreams that may get a ticket are at rest; 0 if one is not.
func (dispatcher *dispatcher) restLeft(ticket *flow.Ticket, now cherrykeel.Instant) time.Duration {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.service.RestLeft(ticket, now)
}

// inheritRests takes over the rests that upstreams have asked for from the dispatcher that this one, which is not in use
// yet, replaces.
func (dispatcher *dispatcher) inheritRests(old *dispatcher) {
	old.mutex.Lock()
	defer old.mutex.Unlock()
	dispatcher.service.InheritRests(old.service)
}

// restingUpstreams returns how many of the service's upstreams are at rest.
func (dispatcher *dispatcher) restingUpstreams(now cherrykeel.Instant) int {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.service.Resting(now)
}

// recordRequest counts a caller's request in the retry budget.
func (dispatcher *dispatcher) recordRequest(now cherrykeel.Instant) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.budget.recordRequest(now)
}

// trySpendRetry charges one retry to the budget, and reports whether the budget allows it.
func (dispatcher *dispatcher) trySpendRetry(hosts int, now cherrykeel.Instant) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.budget.trySpend(hosts, now)
}

// retryUsage returns what was spent of the retry budget.
func (dispatcher *dispatcher) retryUsage(now cherrykeel.Instant) budgetUsage {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.budget.usage(now)
}

// startsDeclining reports whether the retry budget has declined none for a window, and records that it does now.
func (dispatcher *dispatcher) startsDeclining(now cherrykeel.Instant) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.budget.startsDeclining(now)
}

// dispatch lets the scheduler decide on waiting requests, and reports whether some still wait, or permits are wanted.
func (dispatcher *dispatcher) dispatch(now cherrykeel.Instant) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.service.Dispatch(now)
	return dispatcher.service.HasWaiting() || dispatcher.service.HasWants(now)
}
