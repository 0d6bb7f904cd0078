package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"cherrykeel"
	"cherrykeel/watch"
)

const (
	// transferShare is the share of the bound on evacuations in which owners in an evacuated availability zone still
	// serve their keys, until the keeper has transferred them. Hosts learn of the order within another share of the
	// bound, and half of it is left for a host that learns late.
	transferShare = 0.3
	// servesOnShare is the share of the bound on leaving upstreams in which one that has stated that it is leaving still
	// gets the requests that no other upstream can serve: those for its keys, until the keeper has transferred them, and
	// those without a key while no other one accepts any. The upstream serves for at least that bound, and what this host receives after
	// the share was sent by its caller before the bound.
	servesOnShare = 0.9
	// longAgo is how long ago an order counts as given that a host finds at its start: its real time is unknown, and
	// the evacuation takes effect at once.
	longAgo = time.Hour
)

// upstreamList holds the upstreams as they were last passed to the relay.
type upstreamList struct {
	// mutex serializes the updates.
	mutex sync.Mutex
	list  atomic.Pointer[[]cherrykeel.Upstream]
	// byAddress has the same upstreams by their addresses.
	byAddress atomic.Pointer[map[string]cherrykeel.Upstream]
}

// current returns the upstreams that were last passed on; callers must not modify the list.
func (upstreamList *upstreamList) current() []cherrykeel.Upstream {
	list := upstreamList.list.Load()
	if list == nil {
		return nil
	}
	return *list
}

// applyUpstreams passes the upstreams that are not gone to the relay, with the effects of the operator's orders. A host
// that does not have the orders yet passes none: it would send requests into an evacuated zone. Calls are serialized,
// so that the last one has all changes.
func (host *Host) applyUpstreams() {
	host.appliedUpstreams.mutex.Lock()
	defer host.appliedUpstreams.mutex.Unlock()
	if !host.zones.HasRead() {
		return
	}
	listed := host.upstreams.Current()
	limited := host.rateLimits.byUpstream()
	list := make([]cherrykeel.Upstream, len(listed))
	for i, upstream := range listed {
		upstream.EvacuateAt = host.evacuateAt(upstream)
		upstream.LeaveAt = host.leaveAt(upstream)
		host.setColdLimit(&upstream)
		setRateLimit(&upstream, limited)
		list[i] = upstream
	}
	names := newShortNames(list)
	host.shortNames.Store(&names)
	host.appliedUpstreams.store(list)
	host.relay.SetUpstreams(list)
	host.rateLimits.update()
}

// evacuateAt returns from when on the upstream gets no requests, or 0. Any other upstream can serve the requests of a
// service without keys at once; those for a key need its next owner.
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

// leaveAt returns from when the upstream gets no requests because it has stated in an answer that it is leaving, or 0.
func (host *Host) leaveAt(upstream cherrykeel.Upstream) cherrykeel.Instant {
	leavingSince := host.upstreams.LeavingSince(upstream.ID, upstream.StartedAt)
	if leavingSince == 0 {
		return 0
	}
	return leavingSince.Add(shareOf(host.currentBounds().Drain, servesOnShare))
}

// applyOperator applies an update of the operator's topic.
func (host *Host) applyOperator(update watch.Update) {
	host.routes.Apply(update)
	host.zones.Apply(update)
}

// services returns the services of the settings in force; false while none are known.
func (host *Host) services() (map[string]cherrykeel.RoutedService, bool) {
	routes, known := host.routes.Current()
	return routes.Services, known
}

// applyRoutes puts routes in force; they determine which services have keys, and the rate limits of cold upstreams.
func (host *Host) applyRoutes(routes cherrykeel.RouteSet) {
	host.relay.SetRoutes(routes)
	host.upstreams.ApplySettings()
	host.applyUpstreams()
}
