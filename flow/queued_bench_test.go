package flow_test

import (
	"fmt"
	"testing"
	"time"

	"cherrykeel"
	"cherrykeel/flow"
)

// BenchmarkSubmitQueued measures one request that is submitted while others wait, until its caller leaves, by the
// number of upstreams and of requests that wait on this host.
func BenchmarkSubmitQueued(b *testing.B) {
	for _, size := range []struct{ upstreams, waiting int }{{12, 10}, {231, 10}, {659, 10}, {231, 100}, {231, 1000}} {
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("keyed=%v/upstreams=%d/waiting=%d", keyed, size.upstreams, size.waiting), func(b *testing.B) {
				service, submitNext := newFullService(size.upstreams, size.waiting, keyed)
				b.ReportAllocs()
				for b.Loop() {
					service.Cancel(submitNext())
				}
			})
		}
	}
}

// newFullService returns a service whose upstreams are all full, with requests waiting, and a function that submits one
// more.
func newFullService(upstreams, waiting int, keyed bool) (*flow.Service, func() *flow.Ticket) {
	var list []cherrykeel.Upstream
	running := map[string]int{}
	for i := range upstreams {
		list = append(list, upstream(fmt.Sprintf("u%03d", i), 3))
		running[list[i].ID] = 4
	}
	var findOwner func(key int) flow.Owner
	if keyed {
		findOwner = func(key int) flow.Owner { return flow.Owner{ID: list[key%upstreams].ID} }
	}
	service := flow.New("z", findOwner, fixedRandom)
	service.SetUpstreams(list, 0)
	service.SetRemoteCounts(running, nil, 0, 0)
	next := 0
	submitNext := func() *flow.Ticket {
		next++
		ticket := &flow.Ticket{Key: next, Arrived: 0, Target: instantAt(time.Hour), Deadline: instantAt(2 * time.Hour), Notify: func(flow.Decision) {}}
		service.Submit(ticket, instantAt(0))
		return ticket
	}
	for range waiting {
		submitNext()
	}
	return service, submitNext
}
