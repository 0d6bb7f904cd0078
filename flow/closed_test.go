package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

// closedUpstream is an upstream whose availability zone is evacuated at a time.
func closedUpstream(id string, at time.Duration) cherrykeel.Upstream {
	upstream := upstream(id, 3)
	upstream.EvacuateAt = cherrykeel.Instant(at)
	return upstream
}

var _ = Describe("upstreams in an evacuated availability zone", func() {
	const evacuatedAt = time.Second

	It("get neither new nor waiting requests", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 1), upstream("b", 1)}, 0)
		service.SetRemoteCounts(map[string]int{"a": 2, "b": 2}, nil, 0, instantAt(evacuatedAt))
		_, waiting := submit(service, evacuatedAt, unchanged)
		Expect(*waiting).To(BeEmpty())
		service.SetUpstreams([]cherrykeel.Upstream{closedUpstream("a", evacuatedAt), upstream("b", 1)}, instantAt(evacuatedAt))
		service.SetRemoteCounts(map[string]int{"b": 2}, nil, 0, instantAt(evacuatedAt))
		Expect(*waiting).To(BeEmpty())
		service.SetRemoteCounts(nil, nil, 0, instantAt(evacuatedAt))
		Expect((*waiting)[0].Slot.Upstream.ID).To(Equal("b"))
	})

	It("keep their state when the evacuation ends", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3)}, 0)
		_, decisions := submit(service, 0, unchanged)
		service.SetUpstreams([]cherrykeel.Upstream{closedUpstream("a", evacuatedAt)}, instantAt(evacuatedAt))
		service.Release((*decisions)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(evacuatedAt))
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3)}, instantAt(2*evacuatedAt))
		Expect(service.ProcessingTimes()).To(HaveKey("a"))
		Expect(service.Running()).To(BeEmpty())
	})

	It("have new and waiting requests refused at once if the service has no other upstreams", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 1)}, 0)
		service.SetRemoteCounts(map[string]int{"a": 2}, nil, 0, 0)
		_, waiting := submit(service, 0, unchanged)
		service.SetUpstreams([]cherrykeel.Upstream{closedUpstream("a", 0+1)}, 1)
		_, decisions := submit(service, time.Millisecond, unchanged)
		Expect((*waiting)[0].Reason).To(Equal(flow.Evacuated))
		Expect((*decisions)[0].Reason).To(Equal(flow.Evacuated))
	})

	// Guards against keys without an owner while the upstream's keys are transferred one after the other, and against
	// requests to the upstream after its closing time.
	It("serve their keys until their closing time, while the keys are transferred", func() {
		service := flow.New("z", func(int) flow.Owner { return flow.Owner{ID: "a"} }, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{closedUpstream("a", evacuatedAt), upstream("b", 3)}, 0)
		keyed := func(ticket *flow.Ticket) { ticket.Key = 7 }
		_, decisions := submit(service, evacuatedAt/2, keyed)
		Expect((*decisions)[0].Slot.Upstream.ID).To(Equal("a"))
		_, decisions = submit(service, evacuatedAt, keyed)
		Expect(*decisions).To(BeEmpty())
		service.Dispatch(instantAt(evacuatedAt + 300*time.Millisecond))
		Expect((*decisions)[0].Reason).To(Equal(flow.TooLate), "the key had no owner for half of the request's time")
	})
})
