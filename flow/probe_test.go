package flow_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

var _ = Describe("requests that the estimate rules out", func() {
	const (
		interval = 100 * time.Millisecond
		quick    = 50 * time.Millisecond
		slow     = 3 * time.Second
		slowEnd  = 20 * time.Second
		key      = 7
		// recovery is the longest pause between two probes, with its jitter, plus the duration of the last probe
		// before.
		recovery = 7 * time.Second
	)
	var now time.Duration

	// setLongDeadline sets a deadline that slow upstreams can meet.
	setLongDeadline := func(ticket *flow.Ticket) { ticket.Deadline = ticket.Arrived.Add(4 * time.Second) }
	keyed := func(ticket *flow.Ticket) { ticket.Key = key }
	// learn makes the service's upstreams each answer a request with a long deadline after some time.
	learn := func(service *flow.Service, change func(*flow.Ticket), count int, took time.Duration) {
		var acquired []*flow.Slot
		for range count {
			_, decisions := submit(service, now, func(ticket *flow.Ticket) { change(ticket); setLongDeadline(ticket) })
			Expect(*decisions).To(HaveLen(1))
			acquired = append(acquired, (*decisions)[0].Slot)
		}
		now += took
		for _, slot := range acquired {
			service.Release(slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(now))
		}
	}
	// submitUntil submits a request every 100 ms until some time, and returns when requests were sent. Upstreams are
	// slow until slowUntil, and requests that they do not answer in time are canceled.
	submitUntil := func(service *flow.Service, change func(*flow.Ticket), slowUntil, until time.Duration) []time.Duration {
		var sent []time.Duration
		releases := map[time.Duration]func(){}
		for ; now < until; now += interval {
			if release := releases[now]; release != nil {
				release()
			}
			_, decisions := submit(service, now, change)
			Expect(*decisions).To(HaveLen(1))
			slot := (*decisions)[0].Slot
			switch {
			case slot == nil:
				Expect((*decisions)[0].Reason).To(Equal(flow.TooLate))
				continue
			case now < slowUntil:
				releases[now+5*interval] = func() { service.Release(slot, flow.Failed, cherrykeel.UpstreamLoad{}, slot.Deadline) }
			default:
				service.Release(slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(now+quick))
			}
			sent = append(sent, now)
		}
		return sent
	}
	sharedService := func() *flow.Service {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3)}, 0)
		return service
	}
	ownedService := func() *flow.Service {
		service := flow.New("z", func(int) flow.Owner { return flow.Owner{ID: "a"} }, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
		return service
	}

	BeforeEach(func() { now = 0 })

	for name, kind := range map[string]struct {
		service func() *flow.Service
		change  func(*flow.Ticket)
	}{"without keys": {sharedService, unchanged}, "for an owner": {ownedService, keyed}} {
		// Guards against an upstream that is never used again because it was slow for a while, and against callers that
		// all wait until their deadline while it is slow.
		It(name+" are rarely sent while the upstream is slow, and all are sent some seconds after it", func() {
			service := kind.service()
			learn(service, kind.change, 1, slow)
			while := submitUntil(service, kind.change, slowEnd, slowEnd)
			Expect(len(while)).To(BeNumerically("~", 5, 2))
			after := submitUntil(service, kind.change, slowEnd, slowEnd+recovery)
			Expect(after).NotTo(BeEmpty())
			Expect(after[0]).To(BeNumerically("<", slowEnd+recovery-interval))
			Expect(submitUntil(service, kind.change, slowEnd, slowEnd+2*recovery)).To(HaveLen(int(recovery / interval)))
		})

		// Guards against a host that takes longer after each further suspension to use its upstreams again.
		It(name+" are sent soon after each suspension of the host", func() {
			service := kind.service()
			for range 5 {
				var acquired []*flow.Slot
				for range 3 {
					_, decisions := submit(service, now, func(ticket *flow.Ticket) { kind.change(ticket); setLongDeadline(ticket) })
					acquired = append(acquired, (*decisions)[0].Slot)
				}
				now += 2 * slow
				for _, slot := range acquired {
					service.Release(slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(now))
				}
				resumed := now
				Expect(submitUntil(service, kind.change, 0, resumed+2*time.Second)).NotTo(BeEmpty())
				Expect(submitUntil(service, kind.change, 0, resumed+3*time.Second)).To(HaveLen(int(time.Second / interval)))
			}
		})
	}

	// Guards against a host that sends a probe to each of hundreds of owners because it has sent none of them a request
	// for a while.
	It("are sent as rarely to many owners as to one", func() {
		const owners = 40
		service := flow.New("z", func(key int) flow.Owner { return flow.Owner{ID: fmt.Sprint(key)} }, fixedRandom)
		var upstreams []cherrykeel.Upstream
		for i := range owners {
			upstreams = append(upstreams, upstream(fmt.Sprint(i), 3))
		}
		service.SetUpstreams(upstreams, 0)
		next := 0
		each := func(ticket *flow.Ticket) {
			ticket.Key = next % owners
			next++
		}
		learn(service, each, owners, slow)
		Expect(len(submitUntil(service, each, slowEnd, slowEnd))).To(BeNumerically("~", 5, 2))
	})

	// Guards against long pauses between probes because of an earlier slow period.
	It("are sent with short pauses again once one has been answered in time", func() {
		service := sharedService()
		learn(service, unchanged, 1, slow)
		submitUntil(service, unchanged, slowEnd, slowEnd+recovery)
		for range 10 {
			learn(service, unchanged, 1, slow)
		}
		until := now + 4*time.Second
		Expect(len(submitUntil(service, unchanged, until, until))).To(BeNumerically(">=", 2))
	})

	// Guards against a service with many upstreams of which only one a second gets a new estimate.
	It("renew the estimates of all upstreams that were ruled out with it", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 1), upstream("b", 1), upstream("c", 1)}, 0)
		learn(service, unchanged, 3, slow)
		now += time.Second
		_, decisions := submit(service, now, unchanged)
		service.Release((*decisions)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(now+quick))
		now += quick
		used := map[string]bool{}
		for range 3 {
			_, decisions := submit(service, now, unchanged)
			used[(*decisions)[0].Slot.Upstream.ID] = true
		}
		Expect(used).To(HaveLen(3))
	})

	It("are marked as probes, and others are not", func() {
		service := sharedService()
		learn(service, unchanged, 1, slow)
		now += time.Second
		_, decisions := submit(service, now, unchanged)
		Expect((*decisions)[0].Slot.Probe).To(BeTrue())
		service.Release((*decisions)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(now+quick))
		_, decisions = submit(service, now+quick, unchanged)
		Expect((*decisions)[0].Slot.Probe).To(BeFalse())
	})

	// isSent reports whether a request is sent to one of two upstreams that both seem too slow.
	isSent := func(change func(*flow.Ticket), prepare func(service *flow.Service)) bool {
		service := ownedService()
		learn(service, keyed, 1, slow)
		learn(service, func(ticket *flow.Ticket) { ticket.Tried = []string{"a"} }, 1, slow)
		now += 2 * time.Second
		prepare(service)
		_, decisions := submit(service, now, change)
		return len(*decisions) > 0 && (*decisions)[0].Slot != nil
	}

	It("are sent if nothing else rules them out", func() {
		Expect(isSent(unchanged, unchangedService)).To(BeTrue())
		Expect(isSent(keyed, unchangedService)).To(BeTrue())
	})

	// Guards against probes that add load where another rule refuses the request, or that show nothing new.
	DescribeTable("are refused",
		func(change func(*flow.Ticket), prepare func(service *flow.Service)) {
			Expect(isSent(change, prepare)).To(BeFalse())
		},
		Entry("in an evacuated availability zone", keyed, func(service *flow.Service) {
			service.SetUpstreams([]cherrykeel.Upstream{closedUpstream("a", now), closedUpstream("b", now)}, instantAt(now))
		}),
		Entry("in an evacuated availability zone, without a key", unchanged, func(service *flow.Service) {
			service.SetUpstreams([]cherrykeel.Upstream{closedUpstream("a", now), closedUpstream("b", now)}, instantAt(now))
		}),
		Entry("at cold upstreams for which this host has no quota", unchanged, func(service *flow.Service) {
			a, b := coldUpstream("a", 0), coldUpstream("b", 0)
			a.ColdUntil, b.ColdUntil = instantAt(now+time.Second), instantAt(now+time.Second)
			service.SetUpstreams([]cherrykeel.Upstream{a, b}, instantAt(now))
		}),
		Entry("at an owner that is full", keyed, func(service *flow.Service) {
			service.SetRemoteCounts(map[string]int{"a": 4}, nil, 0, instantAt(now))
		}),
		Entry("at upstreams that are full", unchanged, func(service *flow.Service) {
			service.SetRemoteCounts(map[string]int{"a": 4, "b": 4}, nil, 0, instantAt(now))
		}),
		Entry("at an owner that is unreachable", keyed, func(service *flow.Service) {
			_, decisions := submit(service, now, func(ticket *flow.Ticket) { keyed(ticket); setLongDeadline(ticket) })
			now += time.Second
			service.Release((*decisions)[0].Slot, flow.Unreachable, cherrykeel.UpstreamLoad{}, instantAt(now))
		}),
		Entry("while this host has a request at the owner", keyed, func(service *flow.Service) {
			submit(service, now, func(ticket *flow.Ticket) { keyed(ticket); setLongDeadline(ticket) })
			now += 2 * time.Second
		}),
		Entry("while this host has a request at the service", unchanged, func(service *flow.Service) {
			submit(service, now, setLongDeadline)
			now += 2 * time.Second
		}),
		Entry("that were sent before", func(ticket *flow.Ticket) { keyed(ticket); ticket.Tried = []string{"a"} }, unchangedService),
		Entry("that have waited", func(ticket *flow.Ticket) {
			keyed(ticket)
			ticket.Arrived, ticket.Deadline = instantAt(now-20*time.Second), instantAt(now+500*time.Millisecond)
		}, unchangedService),
	)
})

func unchangedService(*flow.Service) {}

var _ = Describe("the processing time of an upstream", func() {
	answerAfter := func(service *flow.Service, took time.Duration) {
		_, decisions := submit(service, 0, unchanged)
		service.Release((*decisions)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(took))
	}

	// Guards against a slow upstream that gets the most requests because its answers are ignored.
	It("is the time to the answer if that came before the deadline", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3)}, 0)
		for range 20 {
			answerAfter(service, 450*time.Millisecond)
		}
		Expect(service.ProcessingTimes()["a"]).To(Equal(450 * time.Millisecond))
	})

	// Guards against a host that was suspended and takes that time for its upstreams' processing time.
	It("changes little by an answer that this host read after the deadline", func() {
		service := flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3)}, 0)
		answerAfter(service, 50*time.Millisecond)
		answerAfter(service, 6*time.Second)
		Expect(service.ProcessingTimes()["a"]).To(BeNumerically("<", 100*time.Millisecond))
	})
})
