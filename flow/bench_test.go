package flow_test

import (
	"fmt"
	"testing"
	"time"

	"cherrykeel"
	"cherrykeel/flow"
)

// BenchmarkSubmit measures one request from its submission to the release of its slot, while no other request waits.
func BenchmarkSubmit(b *testing.B) {
	for _, count := range []int{8, 100} {
		var upstreams []cherrykeel.Upstream
		for i := range count {
			upstreams = append(upstreams, upstream(fmt.Sprintf("u%03d", i), 6))
		}
		owners := map[string]func(key int) flow.Owner{
			"shared": nil,
			"owned":  func(key int) flow.Owner { return flow.Owner{ID: upstreams[key%count].ID} },
		}
		for name, owner := range owners {
			b.Run(fmt.Sprintf("%s/%d", name, count), func(b *testing.B) {
				service := flow.New("z", owner, fixedRandom)
				service.SetUpstreams(upstreams, 0)
				b.ReportAllocs()
				for i := range b.N {
					now := instantAt(time.Duration(i) * time.Millisecond)
					ticket := &flow.Ticket{Key: i, Arrived: now, Target: now.Add(200 * time.Millisecond), Deadline: now.Add(500 * time.Millisecond)}
					ticket.Notify = func(decision flow.Decision) {
						service.Release(decision.Slot, flow.Answered, cherrykeel.UpstreamLoad{}, now.Add(50*time.Millisecond))
					}
					service.Submit(ticket, now)
				}
			})
		}
	}
}
