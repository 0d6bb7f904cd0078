package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

var _ = Describe("a slot that an upstream tells to be free with its answer", func() {
	const answeredAt = 100 * time.Millisecond
	var service *flow.Service

	// next returns the upstream that the next request goes to.
	next := func(now time.Duration) string {
		_, verdicts := ask(service, now, keep)
		Expect(*verdicts).To(HaveLen(1))
		Expect((*verdicts)[0].Slot).NotTo(BeNil())
		return (*verdicts)[0].Slot.Upstream.ID
	}
	// counted has the other hosts count three requests at b, and none at a.
	counted := func(now time.Duration) {
		service.SetRemoteCounts(map[string]int{"b": 3}, nil, 0, at(now))
	}
	// answers has b answer a request with what it tells.
	answers := func(ending flow.Result, load cherrykeel.UpstreamLoad) {
		service.SetRemoteCounts(map[string]int{"a": 4}, nil, 0, 0)
		_, verdicts := ask(service, 0, keep)
		Expect((*verdicts)[0].Slot.Upstream.ID).To(Equal("b"))
		counted(answeredAt)
		service.Release((*verdicts)[0].Slot, ending, load, at(answeredAt))
	}

	BeforeEach(func() {
		service = flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
	})

	// Guards against slots that stay free until counts tell of them, while this host knows of them.
	It("gets the host's next request, whatever older counts say", func() {
		answers(flow.Answered, cherrykeel.UpstreamLoad{Known: true, Running: 1, Slots: 3, Slowness: 1})
		counted(answeredAt + time.Millisecond)
		Expect(next(answeredAt + 2*time.Millisecond)).To(Equal("b"))
	})

	It("gets no more than it has room for", func() {
		answers(flow.Answered, cherrykeel.UpstreamLoad{Known: true, Running: 3, Slots: 3, Slowness: 1})
		Expect(next(answeredAt)).To(Equal("b"))
		Expect(next(answeredAt)).To(Equal("a"))
	})

	It("is forgotten when counts are newer", func() {
		answers(flow.Answered, cherrykeel.UpstreamLoad{Known: true, Running: 1, Slots: 3, Slowness: 1})
		later := answeredAt + 300*time.Millisecond
		counted(later)
		Expect(next(later)).To(Equal("a"))
	})

	// Guards against a slow upstream that is sent the most since it has free slots.
	It("is left alone if the upstream is slower than others", func() {
		_, verdicts := ask(service, 0, func(ticket *flow.Ticket) { ticket.Tried = []string{"b"} })
		service.Release((*verdicts)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, at(20*time.Millisecond))
		answers(flow.Answered, cherrykeel.UpstreamLoad{Known: true, Running: 1, Slots: 3, Slowness: 1})
		Expect(next(answeredAt)).To(Equal("a"))
	})

	It("is left alone while its machine is slow", func() {
		answers(flow.Answered, cherrykeel.UpstreamLoad{Known: true, Running: 3, Slots: 3, Slowness: 3})
		Expect(next(answeredAt)).To(Equal("a"))
	})

	// Guards against an upstream that fails fast, and so always has a free slot to tell of.
	It("is left alone if the request failed there", func() {
		answers(flow.Refused, cherrykeel.UpstreamLoad{Known: true, Running: 1, Slots: 3, Slowness: 1})
		Expect(next(answeredAt)).To(Equal("a"))
	})

	// Guards against hosts of an evacuated availability zone, all of whose upstreams are far, that know of no free slot.
	It("is used in another availability zone by a host that has none in its own", func() {
		service = flow.New("y", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
		answers(flow.Answered, cherrykeel.UpstreamLoad{Known: true, Running: 1, Slots: 3, Slowness: 1})
		counted(answeredAt + time.Millisecond)
		Expect(next(answeredAt + 2*time.Millisecond)).To(Equal("b"))
	})
})
