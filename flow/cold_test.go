package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

// cold is an upstream that is cold until 3 s, and to which this host may send part requests a second.
func cold(id string, part int) cherrykeel.Upstream {
	upstream := upstream(id, 3)
	upstream.ColdUntil = at(3 * time.Second)
	upstream.HasColdLimit = true
	upstream.ColdQuota = part
	return upstream
}

var _ = Describe("a cold upstream that bears only so many requests a second", func() {
	// sent counts the requests that it gets until a time from a caller each 20 ms, each of which it answers at once.
	sent := func(service *flow.Service, id string, from, until time.Duration) int {
		count := 0
		for now := from; now < until; now += 20 * time.Millisecond {
			service.Dispatch(at(now))
			ask(service, now, func(ticket *flow.Ticket) {
				ticket.Notify = func(verdict flow.Decision) {
					if verdict.Slot == nil {
						return
					}
					if verdict.Slot.Upstream.ID == id {
						count++
					}
					service.Release(verdict.Slot, flow.Abandoned, cherrykeel.UpstreamLoad{}, verdict.Slot.StartedAt)
				}
			})
		}
		return count
	}

	It("gets none from a host that has no part, and is used once it is warm", func() {
		service := flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{cold("a", 0)}, 0)
		Expect(sent(service, "a", 0, 2900*time.Millisecond)).To(BeZero())
		Expect(sent(service, "a", 3*time.Second, 4*time.Second)).To(BeNumerically(">", 10))
	})

	// Guards against a part that is taken once more by requests which end soon.
	It("gets this host's part in any second, however fast it answers", func() {
		service := flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{cold("a", 2)}, 0)
		Expect(sent(service, "a", 0, 2900*time.Millisecond)).To(BeNumerically("~", 5, 1))
	})

	// Guards against coldness that a known upstream falls into, and that counts only for those that have joined.
	It("is one that was warm before", func() {
		service := flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3)}, 0)
		Expect(sent(service, "a", 0, 100*time.Millisecond)).To(Equal(5))
		service.SetUpstreams([]cherrykeel.Upstream{cold("a", 1)}, at(100*time.Millisecond))
		Expect(sent(service, "a", 100*time.Millisecond, time.Second)).To(Equal(1))
	})

	It("owns its keys as before, but gets no more at once than it has slots", func() {
		service := flow.New("z", func(int) flow.Owner { return flow.Owner{ID: "a"} }, half)
		service.SetUpstreams([]cherrykeel.Upstream{cold("a", 0)}, 0)
		places := 0
		for range 5 {
			_, verdicts := ask(service, 0, func(ticket *flow.Ticket) { ticket.Key = 7 })
			if len(*verdicts) == 1 && (*verdicts)[0].Slot != nil {
				places++
			}
		}
		Expect(places).To(Equal(3))
	})
})
