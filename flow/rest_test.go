package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

var _ = Describe("an upstream that asked for a rest", func() {
	const (
		rest = 3 * time.Second
		// dispatchInterval is how often a host dispatches while requests wait.
		dispatchInterval = 10 * time.Millisecond
	)
	// ownerLimit is how many requests may be at an owner with 3 slots at once.
	const ownerLimit = 4

	keyed := func(ticket *flow.Ticket) { ticket.Key = 7 }
	// patient returns a change that gives a ticket a longer time to its deadline.
	patient := func(change func(*flow.Ticket), deadline time.Duration) func(*flow.Ticket) {
		return func(ticket *flow.Ticket) {
			change(ticket)
			ticket.Target = ticket.Arrived.Add(deadline / 2)
			ticket.Deadline = ticket.Arrived.Add(deadline)
		}
	}
	tried := func(id string) func(*flow.Ticket) {
		return func(ticket *flow.Ticket) { ticket.Tried = []string{id} }
	}
	// turnAway ends the use of a slot with a refusal that asks for a rest.
	turnAway := func(service *flow.Service, slot *flow.Slot, rest, now time.Duration) {
		service.RecordRest(slot.Upstream, rest, instantAt(now))
		service.Release(slot, flow.Refused, cherrykeel.UpstreamLoad{}, instantAt(now))
	}
	// sendTo submits a request that goes to one upstream of two, or to the owner, and returns its slot.
	sendTo := func(service *flow.Service, now time.Duration, change func(*flow.Ticket)) *flow.Slot {
		GinkgoHelper()
		_, decisions := submit(service, now, change)
		Expect(*decisions).To(HaveLen(1))
		Expect((*decisions)[0].Slot).NotTo(BeNil())
		return (*decisions)[0].Slot
	}
	sharedService := func(ids ...string) *flow.Service {
		service := flow.New("z", nil, fixedRandom)
		var upstreams []cherrykeel.Upstream
		for _, id := range ids {
			upstreams = append(upstreams, upstream(id, 3))
		}
		service.SetUpstreams(upstreams, 0)
		return service
	}
	ownedService := func() *flow.Service {
		service := flow.New("z", func(int) flow.Owner { return flow.Owner{ID: "a"} }, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
		return service
	}

	// Guards against requests that an upstream gets within the rest that it asked for, although others could serve them.
	It("gets no request until its end while others serve", func() {
		service := sharedService("a", "b")
		for range 5 {
			service.Release(sendTo(service, 0, tried("a")), flow.Failed, cherrykeel.UpstreamLoad{}, 0)
		}
		turnAway(service, sendTo(service, 0, tried("b")), rest, 0)
		for now := dispatchInterval; now < rest; now += dispatchInterval {
			slot := sendTo(service, now, unchanged)
			Expect(slot.Upstream.ID).To(Equal("b"), "the other one, which fails more often")
			service.Release(slot, flow.Abandoned, cherrykeel.UpstreamLoad{}, instantAt(now))
		}
		Expect(sendTo(service, rest, tried("b")).Upstream.ID).To(Equal("a"))
	})

	// Guards against a rest that a shorter one cuts short, or the answer to a request that was sent before.
	It("is left alone for the whole rest whatever it answers to requests that were sent before", func() {
		service := sharedService("a", "b")
		first, second, third := sendTo(service, 0, tried("b")), sendTo(service, 0, tried("b")), sendTo(service, 0, tried("b"))
		turnAway(service, first, rest, 0)
		turnAway(service, second, rest/10, 0)
		service.Release(third, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(dispatchInterval))
		_, decisions := submit(service, rest/2, unchanged)
		Expect((*decisions)[0].Slot.Upstream.ID).To(Equal("b"))
		_, decisions = submit(service, rest/2, patient(tried("b"), 10*rest))
		Expect(*decisions).To(BeEmpty())
	})

	// Guards against callers of a key whose owner rests, who wait until they are late, or whose requests reach it.
	It("as the owner of a key has requests refused at once that cannot wait for its end", func() {
		service := ownedService()
		turnAway(service, sendTo(service, 0, keyed), rest, 0)
		for now := dispatchInterval; now < rest-500*time.Millisecond; now += dispatchInterval {
			_, decisions := submit(service, now, keyed)
			Expect(*decisions).To(HaveLen(1))
			Expect((*decisions)[0].Reason).To(Equal(flow.Resting))
			Expect((*decisions)[0].Inputs.RestLeft).To(Equal(rest - now))
		}
		Expect(service.HasWaiting()).To(BeFalse())
	})

	// Guards against a request that waits through the rest and is refused then, since hosts look at waiting requests every 10 ms.
	It("as the owner of a key has a request refused at once whose time ends just after it", func() {
		service := ownedService()
		service.Release(sendTo(service, 0, keyed), flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(time.Millisecond))
		turnAway(service, sendTo(service, time.Millisecond, keyed), rest, 0)
		_, decisions := submit(service, rest-500*time.Millisecond+dispatchInterval, keyed)
		Expect(*decisions).To(HaveLen(1))
		Expect((*decisions)[0].Reason).To(Equal(flow.Resting))
		_, decisions = submit(service, rest-500*time.Millisecond+3*dispatchInterval, keyed)
		Expect(*decisions).To(BeEmpty())
	})

	// Guards against a request that waits for a free slot when the rest begins and learns only at its deadline that it has none.
	It("as the owner of a key has waiting requests refused when the rest begins", func() {
		service := ownedService()
		acquired := sendTo(service, 0, keyed)
		service.SetRemoteCounts(map[string]int{"a": ownerLimit}, nil, 0, 0)
		_, short := submit(service, 0, keyed)
		_, long := submit(service, 0, patient(keyed, 2*rest))
		Expect(*short).To(BeEmpty())
		turnAway(service, acquired, rest, dispatchInterval)
		Expect(*short).To(HaveLen(1))
		Expect((*short)[0].Reason).To(Equal(flow.Resting))
		Expect(*long).To(BeEmpty())
	})

	// Guards against requests refused although they could be served after the rest, and against a herd at its end.
	It("as the owner of a key serves requests after it that have time for it, a few at once", func() {
		service := ownedService()
		turnAway(service, sendTo(service, 0, keyed), rest, 0)
		var waiting []*[]flow.Decision
		for i := range 2 * ownerLimit {
			_, decisions := submit(service, time.Duration(i)*dispatchInterval, patient(keyed, 4*rest))
			waiting = append(waiting, decisions)
		}
		served := func() int {
			count := 0
			for _, decisions := range waiting {
				count += len(*decisions)
			}
			return count
		}
		for now := dispatchInterval; now < rest; now += dispatchInterval {
			service.Dispatch(instantAt(now))
			Expect(served()).To(BeZero())
		}
		service.Dispatch(instantAt(rest))
		Expect(served()).To(Equal(ownerLimit))
		for _, decisions := range waiting[:ownerLimit] {
			service.Release((*decisions)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(rest+dispatchInterval))
		}
		Expect(served()).To(Equal(2 * ownerLimit))
		for _, decisions := range waiting {
			Expect((*decisions)[0].Slot).NotTo(BeNil())
		}
	})

	// Guards against a service all of whose upstreams rest: its callers wait until they are late, or their requests reach one.
	It("leaves a service without any that serves refusing and waiting until the first rest ends", func() {
		service := sharedService("a", "b")
		turnAway(service, sendTo(service, 0, tried("b")), rest, 0)
		turnAway(service, sendTo(service, 0, tried("a")), 2*rest, 0)
		_, short := submit(service, dispatchInterval, unchanged)
		Expect(*short).To(HaveLen(1))
		Expect((*short)[0].Reason).To(Equal(flow.Resting))
		Expect((*short)[0].Inputs.RestLeft).To(Equal(rest - dispatchInterval))
		_, long := submit(service, dispatchInterval, patient(unchanged, 2*rest))
		service.Dispatch(instantAt(rest - dispatchInterval))
		Expect(*long).To(BeEmpty())
		service.Dispatch(instantAt(rest))
		Expect((*long)[0].Slot.Upstream.ID).To(Equal("a"))
	})

	// Guards against a request that was turned away by the only upstream and could be served by it after its rest, but waits until it is late.
	It("may get a request again after it that it turned away before", func() {
		service := sharedService("a")
		turnAway(service, sendTo(service, 0, unchanged), rest, 0)
		_, decisions := submit(service, dispatchInterval, func(ticket *flow.Ticket) {
			patient(tried("a"), 2*rest)(ticket)
			ticket.Arrived = 0
		})
		service.Dispatch(instantAt(rest - dispatchInterval))
		Expect(*decisions).To(BeEmpty())
		service.Dispatch(instantAt(rest))
		Expect((*decisions)[0].Slot.Upstream.ID).To(Equal("a"))
	})

	// Guards against probes of slow upstreams, which are sent although the estimate rules them out, during a rest.
	DescribeTable("gets no probe", func(service *flow.Service, change func(*flow.Ticket)) {
		slow := sendTo(service, 0, patient(change, 20*rest))
		service.Release(slow, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(rest))
		asking := sendTo(service, 2*rest, patient(change, 20*rest))
		turnAway(service, asking, rest, 2*rest)
		for now := 2*rest + dispatchInterval; now < 3*rest-500*time.Millisecond; now += dispatchInterval {
			_, decisions := submit(service, now, change)
			Expect((*decisions)[0].Slot).To(BeNil())
		}
	},
		Entry("without keys", sharedService("a"), unchanged),
		Entry("as an owner", ownedService(), keyed),
	)

	// Guards against the first request to an upstream that joined, which goes there before all others, during its rest.
	It("gets no first request as one that has joined", func() {
		service := sharedService("b")
		service.Release(sendTo(service, 0, unchanged), flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(dispatchInterval))
		service.SetUpstreams([]cherrykeel.Upstream{upstream("b", 3), upstream("c", 3)}, instantAt(dispatchInterval))
		joined := 4 * time.Second
		first := sendTo(service, joined, unchanged)
		Expect(first.Upstream.ID).To(Equal("c"))
		turnAway(service, first, rest, joined)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("b", 3)}, instantAt(joined))
		service.SetUpstreams([]cherrykeel.Upstream{upstream("b", 3), upstream("c", 3)}, instantAt(joined))
		for now := joined; now < joined+rest; now += dispatchInterval {
			slot := sendTo(service, now, unchanged)
			Expect(slot.Upstream.ID).To(Equal("b"))
			service.Release(slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(now))
		}
	})

	// Guards against a rest that is forgotten since the upstream's entry lapsed for a moment, and one that its next life inherits.
	DescribeTable("and whose entry lapses", func(change func(*cherrykeel.Upstream), atRest bool) {
		asking := upstream("a", 3)
		asking.StartedAt = 100
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{asking}, 0)
		early := sendTo(service, 0, unchanged)
		late := sendTo(service, 0, unchanged)
		turnAway(service, early, rest/2, 0)
		service.SetUpstreams(nil, instantAt(dispatchInterval))
		turnAway(service, late, rest, dispatchInterval)
		change(&asking)
		service.SetUpstreams([]cherrykeel.Upstream{asking}, instantAt(2*dispatchInterval))
		_, decisions := submit(service, rest-500*time.Millisecond, unchanged)
		Expect(*decisions).To(HaveLen(1))
		Expect((*decisions)[0].Slot == nil).To(Equal(atRest))
	},
		Entry("is still at rest when it comes back", func(*cherrykeel.Upstream) {}, true),
		Entry("is not at rest with another start", func(upstream *cherrykeel.Upstream) { upstream.StartedAt = 200 }, false),
		Entry("is not at rest with another id", func(upstream *cherrykeel.Upstream) { upstream.ID = "c" }, false),
	)

	// Guards against a rest that is lost with a late known restart, and one that outlives its incarnation.
	DescribeTable("and whose restart this host learns of", func(length, learnedAt, now time.Duration, atRest bool) {
		asking := upstream("a", 3)
		asking.StartedAt = 100
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{asking}, 0)
		turnAway(service, sendTo(service, 0, unchanged), length, 0)
		asking.StartedAt = 200
		service.SetUpstreams([]cherrykeel.Upstream{asking}, instantAt(learnedAt))
		_, decisions := submit(service, now, unchanged)
		Expect(*decisions).To(HaveLen(1))
		Expect((*decisions)[0].Slot == nil).To(Equal(atRest))
	},
		Entry("soon is still at rest", 2*rest, rest/6, 2*rest-500*time.Millisecond, true),
		Entry("late is still at rest", 2*rest, 2*rest-time.Second, 2*rest-500*time.Millisecond, true),
		Entry("is not at rest for as long as it had asked", time.Hour, rest, 4*rest, false),
	)

	// Guards against a new life of an upstream that gets nothing since the one before it asked for a rest with its last answer.
	It("in an earlier life is not at rest in the next one", func() {
		asking := upstream("a", 3)
		asking.StartedAt = 100
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{asking}, 0)
		late := sendTo(service, 0, unchanged)
		asking.StartedAt = 200
		service.SetUpstreams([]cherrykeel.Upstream{asking}, instantAt(dispatchInterval))
		turnAway(service, late, rest, dispatchInterval)
		Expect(sendTo(service, dispatchInterval, unchanged).Upstream.ID).To(Equal("a"))
	})

	// Guards against requests for a key that are refused for the sake of an owner that is about to lose it.
	DescribeTable("as an owner that loses its keys leaves requests to the next owner", func(inTransfer bool, closedAt time.Duration) {
		owner := flow.Owner{ID: "a"}
		service := flow.New("z", func(int) flow.Owner { return owner }, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
		acquired := sendTo(service, 0, keyed)
		owner.InTransfer = inTransfer
		service.SetUpstreams([]cherrykeel.Upstream{closedUpstream("a", closedAt), upstream("b", 3)}, 0)
		turnAway(service, acquired, rest, 0)
		_, decisions := submit(service, dispatchInterval, keyed)
		Expect(*decisions).To(BeEmpty())
		owner = flow.Owner{ID: "b"}
		service.Dispatch(instantAt(10 * dispatchInterval))
		Expect((*decisions)[0].Slot.Upstream.ID).To(Equal("b"))
	},
		Entry("in a transfer", true, time.Duration(0)),
		Entry("in an availability zone that is evacuated before the rest ends", false, rest/2),
	)

	// Guards against requests that wait for upstreams in an evacuated zone while all others rest.
	It("leaves no request waiting for evacuated ones", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), closedUpstream("b", 1)}, 0)
		turnAway(service, sendTo(service, 1, unchanged), rest, 1)
		_, decisions := submit(service, dispatchInterval, unchanged)
		Expect((*decisions)[0].Reason).To(Equal(flow.Resting))
	})

	// Guards against a queue that grows through the rest beyond what can be answered in time after it.
	DescribeTable("has no more requests waiting than it can answer in time after it", func(service *flow.Service, change func(*flow.Ticket)) {
		const (
			afterRest = time.Second
			// defaultTime is the processing time of upstreams that have not answered yet, shareOfTime the share of an
			// expected time that requests must have left.
			defaultTime = 80 * time.Millisecond
			shareOfTime = 0.7
		)
		turnAway(service, sendTo(service, 0, change), rest, 0)
		waiting := 0
		for range 200 {
			_, decisions := submit(service, 0, patient(change, rest+afterRest))
			if len(*decisions) == 0 {
				waiting++
				continue
			}
			Expect((*decisions)[0].Reason).To(Equal(flow.Resting))
		}
		Expect(waiting).To(BeNumerically(">", 0))
		Expect(float64(waiting)).To(BeNumerically("<=", 3*afterRest.Seconds()/defaultTime.Seconds()/shareOfTime))
	},
		Entry("without keys", sharedService("a"), unchanged),
		Entry("as an owner", ownedService(), keyed),
	)
})
