package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

var _ = Describe("upstreams that the estimate nearly rules out", func() {
	const (
		pace   = 100 * time.Millisecond
		work   = 600 * time.Millisecond
		slots  = 3
		rounds = 600
	)

	// Guards against a host that sends an upstream nothing for ever: by its estimate a request that has to share a slot
	// ends too late, one that has its own does not, and other hosts keep all slots in use.
	DescribeTable("are sent requests by a host though others keep them full",
		func(find func(int) flow.Owner, key int) {
			service := flow.New("z", find, half)
			service.SetUpstreams([]cherrykeel.Upstream{upstream("a", slots)}, 0)
			_, verdicts := ask(service, 0, func(ticket *flow.Ticket) { ticket.Key, ticket.Deadline = key, at(4*time.Second) })
			service.Release((*verdicts)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, at(work))
			sent := 0
			for now := work; now < work+rounds*pace; now += pace {
				service.SetRemoteCounts(map[string]int{"a": slots}, nil, 0, at(now))
				_, verdicts := ask(service, now, func(ticket *flow.Ticket) { ticket.Key = key })
				if len(*verdicts) == 1 && (*verdicts)[0].Slot != nil {
					sent++
					service.Release((*verdicts)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, at(now+pace/2))
				}
			}
			Expect(sent).To(BeNumerically(">", 0))
		},
		Entry("without keys", nil, cherrykeel.NoKey),
		Entry("for an owner", func(int) flow.Owner { return flow.Owner{ID: "a"} }, 7),
	)
})
