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
		interval       = 100 * time.Millisecond
		processingTime = 600 * time.Millisecond
		slots          = 3
		rounds         = 600
	)

	// Guards against a host that sends an upstream nothing forever: by its estimate, only a request that does not share
	// a slot is answered in time, and other hosts keep all slots in use.
	DescribeTable("get requests from a host although other hosts keep them full",
		func(findOwner func(int) flow.Owner, key int) {
			service := flow.New("z", findOwner, fixedRandom)
			service.SetUpstreams([]cherrykeel.Upstream{upstream("a", slots)}, 0)
			_, decisions := submit(service, 0, func(ticket *flow.Ticket) { ticket.Key, ticket.Deadline = key, instantAt(4*time.Second) })
			service.Release((*decisions)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(processingTime))
			sent := 0
			for now := processingTime; now < processingTime+rounds*interval; now += interval {
				service.SetRemoteCounts(map[string]int{"a": slots}, nil, 0, instantAt(now))
				_, decisions := submit(service, now, func(ticket *flow.Ticket) { ticket.Key = key })
				if len(*decisions) == 1 && (*decisions)[0].Slot != nil {
					sent++
					service.Release((*decisions)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(now+interval/2))
				}
			}
			Expect(sent).To(BeNumerically(">", 0))
		},
		Entry("without keys", nil, cherrykeel.NoKey),
		Entry("for an owner", func(int) flow.Owner { return flow.Owner{ID: "a"} }, 7),
	)
})
