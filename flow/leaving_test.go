package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

// leavingUpstream is an upstream that has stated that it is leaving, and gets no requests from a time on.
func leavingUpstream(id string, at time.Duration) cherrykeel.Upstream {
	upstream := upstream(id, 3)
	upstream.LeaveAt = cherrykeel.Instant(at)
	return upstream
}

var _ = Describe("upstreams that have stated that they are leaving", func() {
	const leftAt = time.Second

	// Guards against requests that wait at the host and go to an upstream that has stated meanwhile that it is leaving.
	It("get neither new nor waiting requests", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 1), upstream("b", 1)}, 0)
		service.SetRemoteCounts(map[string]int{"a": 2, "b": 2}, nil, 0, instantAt(leftAt))
		_, waiting := submit(service, leftAt, unchanged)
		service.SetUpstreams([]cherrykeel.Upstream{leavingUpstream("a", leftAt), upstream("b", 1)}, instantAt(leftAt))
		service.SetRemoteCounts(map[string]int{"b": 2}, nil, 0, instantAt(leftAt))
		_, decisions := submit(service, leftAt, unchanged)
		Expect(*waiting).To(BeEmpty())
		Expect(*decisions).To(BeEmpty())
		service.SetRemoteCounts(nil, nil, 0, instantAt(leftAt))
		Expect((*waiting)[0].Slot.Upstream.ID).To(Equal("b"))
	})

	// Guards against an owner that is used on for want of another, and against keys without an owner before that.
	It("serve their keys until they have left, and the keys' requests wait for the next owner then", func() {
		owner := "a"
		service := flow.New("z", func(int) flow.Owner { return flow.Owner{ID: owner} }, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{leavingUpstream("a", leftAt), upstream("b", 3)}, 0)
		keyed := func(ticket *flow.Ticket) { ticket.Key = 7 }
		_, before := submit(service, leftAt-1, keyed)
		Expect((*before)[0].Slot.Upstream.ID).To(Equal("a"))
		_, served := submit(service, leftAt, keyed)
		_, refused := submit(service, leftAt, keyed)
		Expect(*served).To(BeEmpty())
		owner = "b"
		service.Dispatch(instantAt(leftAt + 100*time.Millisecond))
		Expect((*served)[0].Slot.Upstream.ID).To(Equal("b"))
		Expect((*refused)[0].Slot.Upstream.ID).To(Equal("b"))
		owner = "a"
		_, late := submit(service, leftAt, keyed)
		service.Dispatch(instantAt(leftAt + 300*time.Millisecond))
		Expect((*late)[0].Reason).To(Equal(flow.TooLate), "the key had no owner for half of the request's time")
	})

	// Guards against callers that wait although nobody is left, and against a wrong reason in the log.
	It("have requests refused at once if the service has no other upstreams, and the refusal says why", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{leavingUpstream("a", leftAt), closedUpstream("b", leftAt)}, 0)
		_, decisions := submit(service, leftAt, unchanged)
		Expect((*decisions)[0].Reason).To(Equal(flow.Leaving))
		_, decisions = submit(service, leftAt/2, unchanged)
		Expect((*decisions)[0].Slot).NotTo(BeNil())
	})

	// Guards against requests that others can serve, and refusals of those that only the leaving one can.
	It("get a request only while no other one may get it, and none once they have left", func() {
		chosen := func(service *flow.Service, now time.Duration) string {
			_, decisions := submit(service, now, unchanged)
			if len(*decisions) == 0 || (*decisions)[0].Slot == nil {
				return ""
			}
			return (*decisions)[0].Slot.Upstream.ID
		}
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{leavingUpstream("a", leftAt), upstream("b", 1)}, 0)
		Expect(chosen(service, 0)).To(Equal("b"))
		Expect(chosen(service, 0)).To(Equal("b"))
		Expect(chosen(service, 0)).To(Equal("a"), "the other one is full")
		service.SetUpstreams([]cherrykeel.Upstream{leavingUpstream("a", leftAt), closedUpstream("b", 1)}, instantAt(1))
		Expect(chosen(service, leftAt-1)).To(Equal("a"), "the other one is closed")
		Expect(chosen(service, leftAt)).To(BeEmpty())
	})
})
