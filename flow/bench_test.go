package flow_test

import (
	"fmt"
	"testing"
	"time"

	"cherrykeel"
	"cherrykeel/flow"
)

// BenchmarkOffer is one request of a service from its offer to its end, while none waits.
func BenchmarkOffer(b *testing.B) {
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
				service := flow.New("z", owner, half)
				service.SetUpstreams(upstreams, 0)
				b.ReportAllocs()
				for i := range b.N {
					now := at(time.Duration(i) * time.Millisecond)
					ticket := &flow.Ticket{Key: i, Arrived: now, Target: now.Add(200 * time.Millisecond), Deadline: now.Add(500 * time.Millisecond)}
					ticket.Notify = func(verdict flow.Decision) {
						service.Release(verdict.Slot, flow.Answered, cherrykeel.UpstreamLoad{}, now.Add(50*time.Millisecond))
					}
					service.Submit(ticket, now)
				}
			})
		}
	}
}
