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
		pace   = 100 * time.Millisecond
		quick  = 50 * time.Millisecond
		slow   = 3 * time.Second
		rounds = 600
		burst  = 6
	)
	// slowed is a service whose three upstreams each took long for a request that had the time.
	slowed := func() *flow.Service {
		service := flow.New("z", nil, func() float64 { return 0 })
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 1), upstream("b", 1), upstream("c", 1)}, 0)
		var places []*flow.Slot
		for range 3 {
			_, verdicts := ask(service, 0, func(ticket *flow.Ticket) { ticket.Deadline = at(4 * time.Second) })
			places = append(places, (*verdicts)[0].Slot)
		}
		for _, place := range places {
			service.Release(place, flow.Answered, cherrykeel.UpstreamLoad{}, at(slow))
		}
		return service
	}
	// used asks for more than one upstream can do, all of which are quick now, and counts what each was sent.
	used := func(service *flow.Service) map[string]int {
		sent := map[string]int{}
		for now := slow; now < slow+rounds*pace; now += pace {
			var running []*flow.Slot
			for range burst {
				_, verdicts := ask(service, now, keep)
				if len(*verdicts) == 1 && (*verdicts)[0].Slot != nil {
					running = append(running, (*verdicts)[0].Slot)
					sent[(*verdicts)[0].Slot.Upstream.ID]++
				}
			}
			for _, place := range running {
				service.Release(place, flow.Answered, cherrykeel.UpstreamLoad{}, at(now+quick))
			}
		}
		return sent
	}

	// Guards against a host that refuses for ever what two upstreams could do that are quick again, since it always has a
	// request at the third, whose answers tell nothing of them.
	It("are sent requests again though another one is in use all the time", func() {
		service := slowed()
		restarted := upstream("a", 1)
		restarted.StartedAt = 1
		service.SetUpstreams([]cherrykeel.Upstream{restarted, upstream("b", 1), upstream("c", 1)}, at(slow))
		Expect(used(service)).To(SatisfyAll(HaveKey("a"), HaveKey("b"), HaveKey("c")))
	})
})
