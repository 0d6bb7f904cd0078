package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"cherrykeel"
	"cherrykeel/watch"
)

const (
	// handoverShare is the part of the bound on evacuations in which keys are still served by their owners in an
	// evacuated availability zone, until the keeper has given them on. Hosts learn of the order within another part of
	// the bound, and half of it is left for one that learns late.
	transferShare = 0.3
	// longAgo is before any order that a host which has just started could find.
	longAgo = time.Hour
)

// usable has the upstreams as they were last passed on.
type upstreamList struct {
	// mutex makes those who pass them on follow each other.
	mutex sync.Mutex
	list  atomic.Pointer[[]cherrykeel.Upstream]
}

// current returns the upstreams that were last passed on; the list is not to be changed.
func (upstreamList *upstreamList) current() []cherrykeel.Upstream {
	list := upstreamList.list.Load()
	if list == nil {
		return nil
	}
	return *list
}

// putUpstreamsInForce passes on the upstreams that are not gone, with what the operator's orders mean for them. A host
// that does not know the orders yet passes on none: it would send requests into a zone that is evacuated. Calls follow
// each other, so that the last one knows all changes.
func (host *Host) applyUpstreams() {
	host.usable.mutex.Lock()
	defer host.usable.mutex.Unlock()
	if !host.zones.HasRead() {
		return
	}
	listed := host.upstreams.Current()
	list := make([]cherrykeel.Upstream, len(listed))
	for i, upstream := range listed {
		upstream.EvacuateAt = host.evacuateAt(upstream)
		host.setColdLimit(&upstream)
		list[i] = upstream
	}
	names := newShortNames(list)
	host.shortNames.Store(&names)
	host.usable.list.Store(&list)
	host.relay.SetUpstreams(list)
}

// closedAt is when the upstream gets nothing more, or 0. Any other upstream can take the requests of a service without
// keys at once; those for a key need its next owner.
func (host *Host) evacuateAt(upstream cherrykeel.Upstream) cherrykeel.Instant {
	state, ordered := host.zones.State(upstream.Zone)
	if !ordered || !state.Evacuated {
		return 0
	}
	evacuateAt := state.Since
	routes, _ := host.routes.Current()
	switch {
	case state.FoundAtStart:
		evacuateAt = evacuateAt.Add(-longAgo)
	case routes.Services[upstream.Service].Keyed:
		evacuateAt = evacuateAt.Add(shareOf(host.currentBounds().Evacuate, transferShare))
	}
	return max(evacuateAt, 1)
}

// applyOperator takes what the operator's topic brought.
func (host *Host) applyOperator(update watch.Update) {
	host.routes.Apply(update)
	host.zones.Apply(update)
}

// takeRoutes puts routes in force; they say which services have keys, and what a cold upstream bears.
func (host *Host) applyRoutes(routes cherrykeel.RouteSet) {
	host.relay.SetRoutes(routes)
	host.applyUpstreams()
}
