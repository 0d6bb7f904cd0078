package relay

import (
	"math/rand/v2"
	"sync"

	"cherrykeel"
	"cherrykeel/flow"
)

// lane is one service's scheduler with its lock and retry budget.
type lane struct {
	name    string
	keyed   bool
	mutex   sync.Mutex
	service *flow.Service
	budget  *budget
	// queued is called when a request begins to wait.
	queued func()
}

func newLane(name string, keyed bool, zone string, owner func(service string, key int) flow.Owner, bounds func() cherrykeel.Bounds, queued func()) *lane {
	var find func(key int) flow.Owner
	if keyed {
		find = func(key int) flow.Owner { return owner(name, key) }
	}
	return &lane{name: name, keyed: keyed, service: flow.New(zone, find, rand.Float64), budget: newBudget(bounds), queued: queued}
}

// offer asks for a place; the verdict comes on the channel.
func (lane *lane) offer(ticket *flow.Ticket, now cherrykeel.Instant) <-chan flow.Verdict {
	verdicts := make(chan flow.Verdict, 1)
	ticket.Wake = func(verdict flow.Verdict) { verdicts <- verdict }
	if lane.offered(ticket, now, verdicts) {
		lane.queued()
	}
	return verdicts
}

// offered reports whether the ticket waits.
func (lane *lane) offered(ticket *flow.Ticket, now cherrykeel.Instant, verdicts <-chan flow.Verdict) bool {
	lane.mutex.Lock()
	defer lane.mutex.Unlock()
	lane.service.Offer(ticket, now)
	return len(verdicts) == 0
}

// cancel takes a ticket back; a place that was given meanwhile is left again.
func (lane *lane) cancel(ticket *flow.Ticket, verdicts <-chan flow.Verdict, now cherrykeel.Instant) {
	lane.mutex.Lock()
	taken := lane.service.Cancel(ticket)
	lane.mutex.Unlock()
	if taken {
		return
	}
	verdict := <-verdicts
	if verdict.Place != nil {
		lane.leave(verdict.Place, flow.Abandoned, cherrykeel.UpstreamLoad{}, now)
	}
}

func (lane *lane) leave(place *flow.Place, ending flow.Ending, load cherrykeel.UpstreamLoad, now cherrykeel.Instant) {
	lane.mutex.Lock()
	defer lane.mutex.Unlock()
	lane.service.Leave(place, ending, load, now)
}

func (lane *lane) arrived(now cherrykeel.Instant) {
	lane.mutex.Lock()
	defer lane.mutex.Unlock()
	lane.budget.request(now)
}

func (lane *lane) spend(hosts int, now cherrykeel.Instant) bool {
	lane.mutex.Lock()
	defer lane.mutex.Unlock()
	return lane.budget.spend(hosts, now)
}

// dispatch reports whether requests wait still.
func (lane *lane) dispatch(now cherrykeel.Instant) bool {
	lane.mutex.Lock()
	defer lane.mutex.Unlock()
	lane.service.Dispatch(now)
	return lane.service.Queued()
}
