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
	queued func()
}

func newDispatcher(name string, keyed bool, zone string, owner func(service string, key int) flow.Owner, bounds func() cherrykeel.Bounds, queued func()) *dispatcher {
	var find func(key int) flow.Owner
	if keyed {
		find = func(key int) flow.Owner { return owner(name, key) }
	}
	return &dispatcher{name: name, keyed: keyed, service: flow.New(zone, find, rand.Float64), budget: newBudget(bounds), queued: queued}
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
func (dispatcher *dispatcher) offer(ticket *flow.Ticket, now cherrykeel.Instant) <-chan flow.Decision {
	verdicts := make(chan flow.Decision, 1)
	ticket.Notify = func(verdict flow.Decision) { verdicts <- verdict }
	if dispatcher.offered(ticket, now, verdicts) {
		dispatcher.queued()
	}
	return verdicts
}

// offered reports whether the ticket waits.
func (dispatcher *dispatcher) offered(ticket *flow.Ticket, now cherrykeel.Instant, verdicts <-chan flow.Decision) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.service.Submit(ticket, now)
	return len(verdicts) == 0
}

// cancel takes a ticket back; a place that was given meanwhile is left again.
func (dispatcher *dispatcher) cancel(ticket *flow.Ticket, verdicts <-chan flow.Decision, now cherrykeel.Instant) {
	dispatcher.mutex.Lock()
	taken := dispatcher.service.Cancel(ticket)
	dispatcher.mutex.Unlock()
	if taken {
		return
	}
	verdict := <-verdicts
	if verdict.Slot != nil {
		dispatcher.leave(verdict.Slot, flow.Abandoned, cherrykeel.UpstreamLoad{}, now)
	}
}

func (dispatcher *dispatcher) leave(place *flow.Slot, ending flow.Result, load cherrykeel.UpstreamLoad, now cherrykeel.Instant) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.service.Release(place, ending, load, now)
}

func (dispatcher *dispatcher) arrived(now cherrykeel.Instant) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.budget.request(now)
}

func (dispatcher *dispatcher) spend(hosts int, now cherrykeel.Instant) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.budget.spend(hosts, now)
}

// dispatch reports whether requests wait still.
func (dispatcher *dispatcher) dispatch(now cherrykeel.Instant) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.service.Dispatch(now)
	return dispatcher.service.HasWaiting()
}
