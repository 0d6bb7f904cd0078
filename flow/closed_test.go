package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

// closed is an upstream whose availability zone is evacuated.
func closed(id string, at time.Duration) cherrykeel.Upstream {
	upstream := upstream(id, 3)
	upstream.EvacuateAt = cherrykeel.Instant(at)
	return upstream
}

var _ = Describe("upstreams in an evacuated availability zone", func() {
	const evacuatedAt = time.Second

	It("get no new request, and none that waited", func() {
		service := flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 1), upstream("b", 1)}, 0)
		service.SetRemoteCounts(map[string]int{"a": 2, "b": 2}, nil, 0, at(evacuatedAt))
		_, waiting := ask(service, evacuatedAt, keep)
		Expect(*waiting).To(BeEmpty())
		service.SetUpstreams([]cherrykeel.Upstream{closed("a", evacuatedAt), upstream("b", 1)}, at(evacuatedAt))
		service.SetRemoteCounts(map[string]int{"b": 2}, nil, 0, at(evacuatedAt))
		Expect(*waiting).To(BeEmpty())
		service.SetRemoteCounts(nil, nil, 0, at(evacuatedAt))
		Expect((*waiting)[0].Slot.Upstream.ID).To(Equal("b"))
	})

	It("are known again when they are taken back", func() {
		service := flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3)}, 0)
		_, verdicts := ask(service, 0, keep)
		service.SetUpstreams([]cherrykeel.Upstream{closed("a", evacuatedAt)}, at(evacuatedAt))
		service.Release((*verdicts)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, at(evacuatedAt))
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3)}, at(2*evacuatedAt))
		Expect(service.ProcessingTimes()).To(HaveKey("a"))
		Expect(service.Running()).To(BeEmpty())
	})

	It("have requests refused at once, also waiting ones, if the service has no others", func() {
		service := flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 1)}, 0)
		service.SetRemoteCounts(map[string]int{"a": 2}, nil, 0, 0)
		_, waiting := ask(service, 0, keep)
		service.SetUpstreams([]cherrykeel.Upstream{closed("a", 0+1)}, 1)
		_, verdicts := ask(service, time.Millisecond, keep)
		Expect((*waiting)[0].Reason).To(Equal(flow.Evacuated))
		Expect((*verdicts)[0].Reason).To(Equal(flow.Evacuated))
	})

	// Guards against keys that nobody serves while they are handed over one after the other, and against owners there
	// that are sent requests after the time for that.
	It("serve their keys for some time while these are handed over", func() {
		service := flow.New("z", func(int) flow.Owner { return flow.Owner{ID: "a"} }, half)
		service.SetUpstreams([]cherrykeel.Upstream{closed("a", evacuatedAt), upstream("b", 3)}, 0)
		keyed := func(ticket *flow.Ticket) { ticket.Key = 7 }
		_, verdicts := ask(service, evacuatedAt/2, keyed)
		Expect((*verdicts)[0].Slot.Upstream.ID).To(Equal("a"))
		_, verdicts = ask(service, evacuatedAt, keyed)
		Expect(*verdicts).To(BeEmpty())
		service.Dispatch(at(evacuatedAt + 300*time.Millisecond))
		Expect((*verdicts)[0].Reason).To(Equal(flow.TooLate), "half of its time is over")
	})
})
