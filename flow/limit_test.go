package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
	"cherrykeel/permit"
)

var _ = Describe("requests to an upstream that names a limit", func() {
	const moment = time.Millisecond
	limited := func(id string, perSecond float64) cherrykeel.Upstream {
		upstream := upstream(id, 3)
		upstream.HasRateLimit, upstream.RateLimit = true, perSecond
		return upstream
	}
	keyed := func(ticket *flow.Ticket) { ticket.Key = 7 }
	ownedService := func(perSecond float64) *flow.Service {
		service := flow.New("z", func(int) flow.Owner { return flow.Owner{ID: "a"} }, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{limited("a", perSecond), upstream("b", 3)}, 0)
		return service
	}
	sharedService := func(upstreams ...cherrykeel.Upstream) *flow.Service {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams(upstreams, 0)
		return service
	}
	// wantsOf returns what is wanted of an upstream.
	wantsOf := func(service *flow.Service, id string, now time.Duration) []permit.Want {
		for _, ask := range service.Wants(instantAt(now)) {
			if ask.Upstream.ID == id {
				return ask.Wants
			}
		}
		return nil
	}
	addPermits := func(service *flow.Service, id string, count int, now time.Duration) {
		service.AddPermits(permit.Incarnation{ID: id}, count, instantAt(now))
	}
	slotAt := func(decisions *[]flow.Decision) string {
		GinkgoHelper()
		Expect(*decisions).To(HaveLen(1))
		Expect((*decisions)[0].Slot).NotTo(BeNil())
		return (*decisions)[0].Slot.Upstream.ID
	}

	// Guards against an owner in need that is sent what it has slots for.
	It("wait for a permit if it is their key's owner, one request a permit", func() {
		service := ownedService(9.5)
		_, first := submit(service, 0, keyed)
		Expect(*first).To(BeEmpty())
		Expect(wantsOf(service, "a", moment)).To(HaveLen(1))
		_, second := submit(service, moment, keyed)
		Expect(wantsOf(service, "a", 2*moment)).To(HaveLen(2))
		addPermits(service, "a", 1, 3*moment)
		Expect(slotAt(first)).To(Equal("a"))
		Expect(*second).To(BeEmpty())
		Expect(wantsOf(service, "a", 4*moment)).To(HaveLen(1))
	})

	// Guards against permits that are saved up and used all at once.
	It("can't use a permit that has waited for too long", func() {
		service := ownedService(9.5)
		addPermits(service, "a", 3, 0)
		_, decisions := submit(service, time.Second, keyed)
		Expect(*decisions).To(BeEmpty())
	})

	// Guards against a permit of an ended incarnation, or of one that did not name the limit, that is used for another.
	It("don't use permits of another incarnation", func() {
		service := ownedService(9.5)
		service.AddPermits(permit.Incarnation{ID: "a", StartedAt: 7}, 1, instantAt(0))
		_, decisions := submit(service, moment, keyed)
		Expect(*decisions).To(BeEmpty())
	})

	// Guards against browsing that takes a permit before a payment, and against one that has less time left.
	It("go by priority, and are asked for in that order", func() {
		service := ownedService(9.5)
		browsing, _ := submit(service, 0, func(ticket *flow.Ticket) { ticket.Key, ticket.Priority = 7, 2 })
		_, paid := submit(service, moment, func(ticket *flow.Ticket) { ticket.Key, ticket.Priority = 7, 1 })
		wants := wantsOf(service, "a", 2*moment)
		Expect(wants).To(HaveLen(2))
		Expect(wants[0].Priority).To(Equal(1))
		Expect(wants[1].Priority).To(Equal(browsing.Priority))
		addPermits(service, "a", 1, 3*moment)
		Expect(slotAt(paid)).To(Equal("a"))
	})

	// Guards against callers who wait for what the allocator knows can't come.
	It("are refused at once when their owner's permits can't come in time", func() {
		service := ownedService(9.5)
		_, decisions := submit(service, 0, keyed)
		id := wantsOf(service, "a", moment)[0].ID
		service.DeclineWants(permit.Incarnation{ID: "a"}, []uint64{id}, instantAt(2*moment))
		Expect(*decisions).To(HaveLen(1))
		Expect((*decisions)[0].Reason).To(Equal(flow.Limited))
		Expect((*decisions)[0].Inputs.RateLimit).To(Equal(9.5))
	})

	// Guards against a long queue of one host's callers before an owner that takes some a second.
	It("are refused at once when this host's own queue is longer than the limit allows", func() {
		service := ownedService(9.5)
		reasons := map[flow.Reason]int{}
		for i := range 20 {
			_, decisions := submit(service, time.Duration(i)*moment, keyed)
			for _, decision := range *decisions {
				reasons[decision.Reason]++
			}
		}
		Expect(reasons).To(Equal(map[flow.Reason]int{flow.Limited: 18}))
	})

	// Guards against a request that waits on though its permit would come too late for an answer.
	It("are refused when they have waited for as long as they may", func() {
		service := ownedService(9.5)
		_, decisions := submit(service, 0, keyed)
		service.Dispatch(instantAt(100 * time.Millisecond))
		Expect(*decisions).To(BeEmpty())
		service.Dispatch(instantAt(300 * time.Millisecond))
		Expect(*decisions).To(HaveLen(1))
		Expect((*decisions)[0].Reason).To(Equal(flow.Limited))
	})

	// Guards against requests without keys that wait, or press an upstream in need, while another one has room; and against
	// a limit whose end nobody hears of, since all go to others.
	It("go to another upstream if they have no key, and a permit is asked for beside", func() {
		service := sharedService(limited("a", 9.5), upstream("b", 3))
		_, decisions := submit(service, time.Second, nil)
		Expect(slotAt(decisions)).To(Equal("b"))
		wants := wantsOf(service, "a", time.Second+moment)
		Expect(wants).To(HaveLen(1))
		Expect(wants[0].ID).To(BeZero())
		addPermits(service, "a", 1, time.Second+2*moment)
		_, next := submit(service, time.Second+3*moment, nil)
		Expect(slotAt(next)).To(Equal("a"))
	})

	// Guards against permits of an owner that nobody needs: those for keys are asked for by request.
	It("are not asked for beside if they have keys", func() {
		service := flow.New("z", func(int) flow.Owner { return flow.Owner{ID: "b"} }, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{limited("a", 9.5), upstream("b", 3)}, 0)
		_, decisions := submit(service, 0, keyed)
		Expect(slotAt(decisions)).To(Equal("b"))
		Expect(wantsOf(service, "a", moment)).To(BeEmpty())
	})

	// Guards against one request that takes a permit of each upstream of its service.
	It("are asked for at one upstream if all of the service name limits, then at another, then refused", func() {
		service := sharedService(limited("a", 9.5), limited("b", 9.5))
		_, decisions := submit(service, 0, nil)
		asked := func() (string, uint64) {
			GinkgoHelper()
			wantsA, wantsB := wantsOf(service, "a", moment), wantsOf(service, "b", moment)
			Expect(len(wantsA) + len(wantsB)).To(Equal(1))
			if len(wantsA) > 0 {
				return "a", wantsA[0].ID
			}
			return "b", wantsB[0].ID
		}
		first, id := asked()
		service.DeclineWants(permit.Incarnation{ID: first}, []uint64{id}, instantAt(2*moment))
		Expect(*decisions).To(BeEmpty())
		second, id := asked()
		Expect(second).NotTo(Equal(first))
		service.DeclineWants(permit.Incarnation{ID: second}, []uint64{id}, instantAt(3*moment))
		Expect(*decisions).To(HaveLen(1))
		Expect((*decisions)[0].Reason).To(Equal(flow.Limited))
	})

	// Guards against a limit that is kept after its end for requests that wait.
	It("are sent at once when the limit has ended", func() {
		service := ownedService(9.5)
		_, decisions := submit(service, 0, keyed)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, instantAt(moment))
		Expect(slotAt(decisions)).To(Equal("a"))
		Expect(service.Wants(instantAt(2 * moment))).To(BeEmpty())
	})

	// Guards against permits that are asked for and lost, since something else holds the requests back.
	It("want no permits while their owner is at rest", func() {
		service := ownedService(9.5)
		service.RecordRest(limited("a", 9.5), 100*time.Millisecond, instantAt(0))
		_, decisions := submit(service, 0, keyed)
		Expect(*decisions).To(BeEmpty())
		Expect(wantsOf(service, "a", moment)).To(BeEmpty())
		Expect(wantsOf(service, "a", 110*time.Millisecond)).To(HaveLen(1))
	})
})
