package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

// Guards against a host that was suspended while it waited for answers, counts that time as processing time, and
// refuses every request from then on, so that no answer can correct the estimate.
var _ = Describe("upstreams whose answers a suspended host read late", func() {
	const (
		suspension = 6 * time.Second
		interval   = 100 * time.Millisecond
		within     = 30 * time.Second
	)

	// isSentAgain reports whether any request is sent within some time of the late answer.
	isSentAgain := func(service *flow.Service, key int) bool {
		keyed := func(ticket *flow.Ticket) { ticket.Key = key }
		_, decisions := submit(service, 0, keyed)
		service.Release((*decisions)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(suspension))
		for now := suspension; now < suspension+within; now += interval {
			service.Dispatch(instantAt(now))
			_, decisions := submit(service, now, keyed)
			if len(*decisions) > 0 && (*decisions)[0].Slot != nil {
				return true
			}
		}
		return false
	}

	It("get requests again", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
		Expect(isSentAgain(service, cherrykeel.NoKey)).To(BeTrue())
	})

	It("get requests for their keys again", func() {
		service := flow.New("z", func(int) flow.Owner { return flow.Owner{ID: "a", Fence: 1} }, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
		Expect(isSentAgain(service, 7)).To(BeTrue())
	})
})
