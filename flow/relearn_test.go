package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

// Guards against a host that stood still while it waited for answers, takes that time for the upstreams' own, and refuses
// every request from then on, since none that is sent could show it otherwise.
var _ = Describe("upstreams whose answers a host has read late", func() {
	const (
		stoodStill = 6 * time.Second
		pace       = 100 * time.Millisecond
		within     = 30 * time.Second
	)

	// isAskedAgain reports whether any request is sent on within some time of the late answers.
	isAskedAgain := func(service *flow.Service, key int) bool {
		asked := func(ticket *flow.Ticket) { ticket.Key = key }
		_, verdicts := ask(service, 0, asked)
		service.Release((*verdicts)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, at(stoodStill))
		for now := stoodStill; now < stoodStill+within; now += pace {
			service.Dispatch(at(now))
			_, verdicts := ask(service, now, asked)
			if len(*verdicts) > 0 && (*verdicts)[0].Slot != nil {
				return true
			}
		}
		return false
	}

	It("are asked again", func() {
		service := flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
		Expect(isAskedAgain(service, cherrykeel.NoKey)).To(BeTrue())
	})

	It("are asked again for their keys", func() {
		service := flow.New("z", func(int) flow.Owner { return flow.Owner{ID: "a", Fence: 1} }, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
		Expect(isAskedAgain(service, 7)).To(BeTrue())
	})
})
