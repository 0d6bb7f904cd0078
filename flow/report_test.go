package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

var _ = Describe("a slot that an upstream reports as free with its answer", func() {
	const answeredAt = 100 * time.Millisecond
	var service *flow.Service

	// next returns the upstream that gets the next request.
	next := func(now time.Duration) string {
		_, decisions := submit(service, now, unchanged)
		Expect(*decisions).To(HaveLen(1))
		Expect((*decisions)[0].Slot).NotTo(BeNil())
		return (*decisions)[0].Slot.Upstream.ID
	}
	// setCounts sets the other hosts' counts to three requests at b, and none at a.
	setCounts := func(now time.Duration) {
		service.SetRemoteCounts(map[string]int{"b": 3}, nil, 0, instantAt(now))
	}
	// answer makes b answer a request with a load report.
	answer := func(result flow.Result, load cherrykeel.UpstreamLoad) {
		service.SetRemoteCounts(map[string]int{"a": 4}, nil, 0, 0)
		_, decisions := submit(service, 0, unchanged)
		Expect((*decisions)[0].Slot.Upstream.ID).To(Equal("b"))
		setCounts(answeredAt)
		service.Release((*decisions)[0].Slot, result, load, instantAt(answeredAt))
	}

	BeforeEach(func() {
		service = flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
	})

	// Guards against slots that stay free until counts show them, while this host already knows of them.
	It("gets the host's next request, despite older counts", func() {
		answer(flow.Answered, cherrykeel.UpstreamLoad{Known: true, Running: 1, Slots: 3, Slowness: 1})
		setCounts(answeredAt + time.Millisecond)
		Expect(next(answeredAt + 2*time.Millisecond)).To(Equal("b"))
	})

	It("gets only one request", func() {
		answer(flow.Answered, cherrykeel.UpstreamLoad{Known: true, Running: 3, Slots: 3, Slowness: 1})
		Expect(next(answeredAt)).To(Equal("b"))
		Expect(next(answeredAt)).To(Equal("a"))
	})

	It("is ignored when counts are newer", func() {
		answer(flow.Answered, cherrykeel.UpstreamLoad{Known: true, Running: 1, Slots: 3, Slowness: 1})
		later := answeredAt + 300*time.Millisecond
		setCounts(later)
		Expect(next(later)).To(Equal("a"))
	})

	// Guards against a slow upstream that gets the most requests because it has free slots.
	It("is not preferred if the upstream is slower than others", func() {
		_, decisions := submit(service, 0, func(ticket *flow.Ticket) { ticket.Tried = []string{"b"} })
		service.Release((*decisions)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(20*time.Millisecond))
		answer(flow.Answered, cherrykeel.UpstreamLoad{Known: true, Running: 1, Slots: 3, Slowness: 1})
		Expect(next(answeredAt)).To(Equal("a"))
	})

	It("is not preferred while its machine is slow", func() {
		answer(flow.Answered, cherrykeel.UpstreamLoad{Known: true, Running: 3, Slots: 3, Slowness: 3})
		Expect(next(answeredAt)).To(Equal("a"))
	})

	// Guards against an upstream that fails fast, and so always reports a free slot.
	It("is not preferred if the request failed there", func() {
		answer(flow.Refused, cherrykeel.UpstreamLoad{Known: true, Running: 1, Slots: 3, Slowness: 1})
		Expect(next(answeredAt)).To(Equal("a"))
	})

	// Guards against hosts of an evacuated availability zone, whose upstreams are all in other zones, that ignore
	// reported free slots.
	It("is used in another availability zone by a host without upstreams in its own", func() {
		service = flow.New("y", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
		answer(flow.Answered, cherrykeel.UpstreamLoad{Known: true, Running: 1, Slots: 3, Slowness: 1})
		setCounts(answeredAt + time.Millisecond)
		Expect(next(answeredAt + 2*time.Millisecond)).To(Equal("b"))
	})
})
