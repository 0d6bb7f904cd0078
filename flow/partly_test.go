package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

var _ = Describe("upstreams that were slow for a while", func() {
	const (
		interval = 100 * time.Millisecond
		quick    = 50 * time.Millisecond
		slow     = 3 * time.Second
		rounds   = 600
		burst    = 6
	)
	// slowedService returns a service with three upstreams that each took long to answer a request.
	slowedService := func() *flow.Service {
		service := flow.New("z", nil, func() float64 { return 0 })
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 1), upstream("b", 1), upstream("c", 1)}, 0)
		var acquired []*flow.Slot
		for range 3 {
			_, decisions := submit(service, 0, func(ticket *flow.Ticket) { ticket.Deadline = instantAt(4 * time.Second) })
			acquired = append(acquired, (*decisions)[0].Slot)
		}
		for _, slot := range acquired {
			service.Release(slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(slow))
		}
		return service
	}
	// sentByUpstream submits more requests than one upstream can process, while all upstreams are fast, and counts the
	// requests that each gets.
	sentByUpstream := func(service *flow.Service) map[string]int {
		sent := map[string]int{}
		for now := slow; now < slow+rounds*interval; now += interval {
			var running []*flow.Slot
			for range burst {
				_, decisions := submit(service, now, unchanged)
				if len(*decisions) == 1 && (*decisions)[0].Slot != nil {
					running = append(running, (*decisions)[0].Slot)
					sent[(*decisions)[0].Slot.Upstream.ID]++
				}
			}
			for _, slot := range running {
				service.Release(slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(now+quick))
			}
		}
		return sent
	}

	// Guards against a host that never uses two upstreams that are fast again, because it always has a request at the
	// third one, whose answers show nothing about them.
	It("get requests again although another one is always in use", func() {
		service := slowedService()
		restarted := upstream("a", 1)
		restarted.StartedAt = 1
		service.SetUpstreams([]cherrykeel.Upstream{restarted, upstream("b", 1), upstream("c", 1)}, instantAt(slow))
		Expect(sentByUpstream(service)).To(SatisfyAll(HaveKey("a"), HaveKey("b"), HaveKey("c")))
	})
})
