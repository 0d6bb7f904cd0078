package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

// coldUpstream is an upstream that is cold until 3 s, and to which this host may send quota requests a second.
func coldUpstream(id string, quota int) cherrykeel.Upstream {
	upstream := upstream(id, 3)
	upstream.ColdUntil = instantAt(3 * time.Second)
	upstream.HasColdLimit = true
	upstream.ColdQuota = quota
	return upstream
}

var _ = Describe("a cold upstream with a limited rate", func() {
	// countSent counts the requests to one upstream while a request is submitted every 20 ms and each slot is released
	// at once.
	countSent := func(service *flow.Service, id string, from, until time.Duration) int {
		count := 0
		for now := from; now < until; now += 20 * time.Millisecond {
			service.Dispatch(instantAt(now))
			submit(service, now, func(ticket *flow.Ticket) {
				ticket.Notify = func(decision flow.Decision) {
					if decision.Slot == nil {
						return
					}
					if decision.Slot.Upstream.ID == id {
						count++
					}
					service.Release(decision.Slot, flow.Abandoned, cherrykeel.UpstreamLoad{}, decision.Slot.StartedAt)
				}
			})
		}
		return count
	}

	It("gets no request from a host without a quota until it is warm", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{coldUpstream("a", 0)}, 0)
		Expect(countSent(service, "a", 0, 2900*time.Millisecond)).To(BeZero())
		Expect(countSent(service, "a", 3*time.Second, 4*time.Second)).To(BeNumerically(">", 10))
	})

	// Guards against a limit on concurrent requests only: with short requests, the quota would be used several times a
	// second.
	It("gets at most this host's quota in any second, however fast it answers", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{coldUpstream("a", 2)}, 0)
		Expect(countSent(service, "a", 0, 2900*time.Millisecond)).To(BeNumerically("~", 5, 1))
	})

	// Guards against a limit that applies only to upstreams that have joined, not to a known one that becomes cold.
	It("is limited even if it was warm before", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3)}, 0)
		Expect(countSent(service, "a", 0, 100*time.Millisecond)).To(Equal(5))
		service.SetUpstreams([]cherrykeel.Upstream{coldUpstream("a", 1)}, instantAt(100*time.Millisecond))
		Expect(countSent(service, "a", 100*time.Millisecond, time.Second)).To(Equal(1))
	})

	It("keeps its keys, but gets no more requests at once than it has slots", func() {
		service := flow.New("z", func(int) flow.Owner { return flow.Owner{ID: "a"} }, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{coldUpstream("a", 0)}, 0)
		acquired := 0
		for range 5 {
			_, decisions := submit(service, 0, func(ticket *flow.Ticket) { ticket.Key = 7 })
			if len(*decisions) == 1 && (*decisions)[0].Slot != nil {
				acquired++
			}
		}
		Expect(acquired).To(Equal(3))
	})
})
