package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

var _ = Describe("a service none of whose upstreams can be connected to", func() {
	keyed := func(ticket *flow.Ticket) { ticket.Key = 7 }
	newService := func(owner string) *flow.Service {
		var findOwner func(int) flow.Owner
		if owner != "" {
			findOwner = func(int) flow.Owner { return flow.Owner{ID: owner} }
		}
		service := flow.New("z", findOwner, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
		return service
	}
	// failAll lets attempts to connect fail until a request gets no slot, and returns the decision on that.
	failAll := func(service *flow.Service, now time.Duration, change func(*flow.Ticket)) flow.Decision {
		GinkgoHelper()
		for range 200 {
			ticket, decisions := submit(service, now, change)
			if len(*decisions) == 0 {
				service.Cancel(ticket)
				now += 10 * time.Millisecond
				continue
			}
			decision := (*decisions)[0]
			if decision.Slot == nil {
				return decision
			}
			service.Release(decision.Slot, flow.Unreachable, cherrykeel.UpstreamLoad{}, instantAt(now))
			now += 400 * time.Millisecond
		}
		Fail("always a slot")
		return flow.Decision{}
	}

	// Guards against callers who wait for what can't come: a request waited until its time was almost over, although no
	// connection would be tried before its deadline.
	It("refuses at once, with the time until the next attempt", func() {
		decision := failAll(newService(""), 0, unchanged)
		Expect(decision.Reason).To(Equal(flow.Unreached))
		Expect(decision.Inputs.RestLeft).To(BeNumerically(">", 0))
	})

	It("refuses at once what only the owner of its key may serve", func() {
		Expect(failAll(newService("a"), 0, keyed).Reason).To(Equal(flow.Unreached))
	})

	It("lets requests wait that have the time until the next attempt", func() {
		service := newService("a")
		_, decisions := submit(service, 0, keyed)
		service.Release((*decisions)[0].Slot, flow.Unreachable, cherrykeel.UpstreamLoad{}, 0)
		_, decisions = submit(service, time.Millisecond, keyed)
		Expect(*decisions).To(BeEmpty())
		service.Dispatch(instantAt(301 * time.Millisecond))
		Expect(*decisions).To(HaveLen(1))
		Expect((*decisions)[0].Slot).NotTo(BeNil())
	})
})
