package flow_test

import (
	"fmt"
	"testing"
	"time"

	"cherrykeel"
	"cherrykeel/flow"
)

// BenchmarkOfferQueued is one request that comes while others wait, from its offer to the moment at which its caller
// leaves: by the upstreams of its service, and the requests that wait there at this host.
func BenchmarkOfferQueued(b *testing.B) {
	for _, size := range []struct{ upstreams, waiting int }{{12, 10}, {231, 10}, {659, 10}, {231, 100}, {231, 1000}} {
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("keyed=%v/upstreams=%d/waiting=%d", keyed, size.upstreams, size.waiting), func(b *testing.B) {
				service, offer := crowded(size.upstreams, size.waiting, keyed)
				b.ReportAllocs()
				for b.Loop() {
					service.Cancel(offer())
				}
			})
		}
	}
}

// crowded returns a service whose upstreams are all full and that has requests waiting, and how to offer one more.
func crowded(upstreams, waiting int, keyed bool) (*flow.Service, func() *flow.Ticket) {
	var all []cherrykeel.Upstream
	running := map[string]int{}
	for i := range upstreams {
		all = append(all, upstream(fmt.Sprintf("u%03d", i), 3))
		running[all[i].ID] = 4
	}
	var owner func(key int) flow.Owner
	if keyed {
		owner = func(key int) flow.Owner { return flow.Owner{ID: all[key%upstreams].ID} }
	}
	service := flow.New("z", owner, half)
	service.SetUpstreams(all, 0)
	service.SetRemoteCounts(running, nil, 0, 0)
	next := 0
	offer := func() *flow.Ticket {
		next++
		ticket := &flow.Ticket{Key: next, Arrived: 0, Target: at(time.Hour), Deadline: at(2 * time.Hour), Notify: func(flow.Decision) {}}
		service.Submit(ticket, at(0))
		return ticket
	}
	for range waiting {
		offer()
	}
	return service, offer
}
