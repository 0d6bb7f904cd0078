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
		pace   = 100 * time.Millisecond
		quick  = 50 * time.Millisecond
		slow   = 3 * time.Second
		slowed = 20 * time.Second
		key    = 7
		// soon is the longest pause between two trials, its spread included, and what the last one before takes.
		soon = 7 * time.Second
	)
	var now time.Duration

	patient := func(ticket *flow.Ticket) { ticket.Deadline = ticket.Arrived.Add(4 * time.Second) }
	keyed := func(ticket *flow.Ticket) { ticket.Key = key }
	// learn has the service's upstreams answer each a patient request after some time.
	learn := func(service *flow.Service, change func(*flow.Ticket), count int, took time.Duration) {
		var places []*flow.Slot
		for range count {
			_, verdicts := ask(service, now, func(ticket *flow.Ticket) { change(ticket); patient(ticket) })
			Expect(*verdicts).To(HaveLen(1))
			places = append(places, (*verdicts)[0].Slot)
		}
		now += took
		for _, place := range places {
			service.Release(place, flow.Answered, cherrykeel.UpstreamLoad{}, at(now))
		}
	}
	// play asks every tenth of a second until some time, and returns when requests were sent. Upstreams are slow for a
	// while, and what they do not answer in time is given up.
	play := func(service *flow.Service, change func(*flow.Ticket), slowUntil, until time.Duration) []time.Duration {
		var sent []time.Duration
		leaves := map[time.Duration]func(){}
		for ; now < until; now += pace {
			if leave := leaves[now]; leave != nil {
				leave()
			}
			_, verdicts := ask(service, now, change)
			Expect(*verdicts).To(HaveLen(1))
			place := (*verdicts)[0].Slot
			switch {
			case place == nil:
				Expect((*verdicts)[0].Reason).To(Equal(flow.TooLate))
				continue
			case now < slowUntil:
				leaves[now+5*pace] = func() { service.Release(place, flow.Failed, cherrykeel.UpstreamLoad{}, place.Deadline) }
			default:
				service.Release(place, flow.Answered, cherrykeel.UpstreamLoad{}, at(now+quick))
			}
			sent = append(sent, now)
		}
		return sent
	}
	alone := func() *flow.Service {
		service := flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3)}, 0)
		return service
	}
	owned := func() *flow.Service {
		service := flow.New("z", func(int) flow.Owner { return flow.Owner{ID: "a"} }, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
		return service
	}

	BeforeEach(func() { now = 0 })

	for name, how := range map[string]struct {
		service func() *flow.Service
		change  func(*flow.Ticket)
	}{"without keys": {alone, keep}, "for an owner": {owned, keyed}} {
		// Guards against an upstream that is given up for ever since it was slow for a while, and against callers who all
		// wait in vain while it is.
		It(name+" are few while the upstream is slow, and all are sent some seconds after", func() {
			service := how.service()
			learn(service, how.change, 1, slow)
			while := play(service, how.change, slowed, slowed)
			Expect(len(while)).To(BeNumerically("~", 5, 2))
			after := play(service, how.change, slowed, slowed+soon)
			Expect(after).NotTo(BeEmpty())
			Expect(after[0]).To(BeNumerically("<", slowed+soon-pace))
			Expect(play(service, how.change, slowed, slowed+2*soon)).To(HaveLen(int(soon / pace)))
		})

		// Guards against a host that stands still again and again and gets slower to use what it has.
		It(name+" are sent soon after each time that the host has stood still", func() {
			service := how.service()
			for range 5 {
				var places []*flow.Slot
				for range 3 {
					_, verdicts := ask(service, now, func(ticket *flow.Ticket) { how.change(ticket); patient(ticket) })
					places = append(places, (*verdicts)[0].Slot)
				}
				now += 2 * slow
				for _, place := range places {
					service.Release(place, flow.Answered, cherrykeel.UpstreamLoad{}, at(now))
				}
				thawed := now
				Expect(play(service, how.change, 0, thawed+2*time.Second)).NotTo(BeEmpty())
				Expect(play(service, how.change, 0, thawed+3*time.Second)).To(HaveLen(int(time.Second / pace)))
			}
		})
	}

	// Guards against a host that sends a request to each of hundreds of owners, since it has sent none of them anything lately.
	It("are as few for many owners as for one", func() {
		const owners = 40
		service := flow.New("z", func(key int) flow.Owner { return flow.Owner{ID: fmt.Sprint(key)} }, half)
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
		Expect(len(play(service, each, slowed, slowed))).To(BeNumerically("~", 5, 2))
	})

	// Guards against a host that takes long to find out that it was wrong since upstreams were slow some other time.
	It("are sent with short pauses again once one has been answered in time", func() {
		service := alone()
		learn(service, keep, 1, slow)
		play(service, keep, slowed, slowed+soon)
		for range 10 {
			learn(service, keep, 1, slow)
		}
		until := now + 4*time.Second
		Expect(len(play(service, keep, until, until))).To(BeNumerically(">=", 2))
	})

	// Guards against a service of many upstreams whose estimates are renewed one a second.
	It("renew the estimates of all upstreams that were ruled out with it", func() {
		service := flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 1), upstream("b", 1), upstream("c", 1)}, 0)
		learn(service, keep, 3, slow)
		now += time.Second
		_, verdicts := ask(service, now, keep)
		service.Release((*verdicts)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, at(now+quick))
		now += quick
		used := map[string]bool{}
		for range 3 {
			_, verdicts := ask(service, now, keep)
			used[(*verdicts)[0].Slot.Upstream.ID] = true
		}
		Expect(used).To(HaveLen(3))
	})

	It("are told from those that are expected to be answered", func() {
		service := alone()
		learn(service, keep, 1, slow)
		now += time.Second
		_, verdicts := ask(service, now, keep)
		Expect((*verdicts)[0].Slot.Probe).To(BeTrue())
		service.Release((*verdicts)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, at(now+quick))
		_, verdicts = ask(service, now+quick, keep)
		Expect((*verdicts)[0].Slot.Probe).To(BeFalse())
	})

	// isSent reports whether a request is sent to one of two upstreams, both of which seem too slow.
	isSent := func(change func(*flow.Ticket), prepare func(service *flow.Service)) bool {
		service := owned()
		learn(service, keyed, 1, slow)
		learn(service, func(ticket *flow.Ticket) { ticket.Tried = []string{"a"} }, 1, slow)
		now += 2 * time.Second
		prepare(service)
		_, verdicts := ask(service, now, change)
		return len(*verdicts) > 0 && (*verdicts)[0].Slot != nil
	}

	It("are sent if nothing else speaks against it", func() {
		Expect(isSent(keep, keepService)).To(BeTrue())
		Expect(isSent(keyed, keepService)).To(BeTrue())
	})

	// Guards against trials that add load to what would refuse the request anyway, or bring no news.
	DescribeTable("are refused as ever",
		func(change func(*flow.Ticket), prepare func(service *flow.Service)) {
			Expect(isSent(change, prepare)).To(BeFalse())
		},
		Entry("in an evacuated availability zone", keyed, func(service *flow.Service) {
			service.SetUpstreams([]cherrykeel.Upstream{closed("a", now), closed("b", now)}, at(now))
		}),
		Entry("in an evacuated availability zone, without a key", keep, func(service *flow.Service) {
			service.SetUpstreams([]cherrykeel.Upstream{closed("a", now), closed("b", now)}, at(now))
		}),
		Entry("at upstreams that are cold and not this host's to warm", keep, func(service *flow.Service) {
			a, b := cold("a", 0), cold("b", 0)
			a.ColdUntil, b.ColdUntil = at(now+time.Second), at(now+time.Second)
			service.SetUpstreams([]cherrykeel.Upstream{a, b}, at(now))
		}),
		Entry("at an owner that is full", keyed, func(service *flow.Service) {
			service.SetRemoteCounts(map[string]int{"a": 4}, nil, 0, at(now))
		}),
		Entry("at upstreams that are full", keep, func(service *flow.Service) {
			service.SetRemoteCounts(map[string]int{"a": 4, "b": 4}, nil, 0, at(now))
		}),
		Entry("at an owner that cannot be reached", keyed, func(service *flow.Service) {
			_, verdicts := ask(service, now, func(ticket *flow.Ticket) { keyed(ticket); patient(ticket) })
			now += time.Second
			service.Release((*verdicts)[0].Slot, flow.Unreachable, cherrykeel.UpstreamLoad{}, at(now))
		}),
		Entry("while one of this host's is at work at the owner", keyed, func(service *flow.Service) {
			ask(service, now, func(ticket *flow.Ticket) { keyed(ticket); patient(ticket) })
			now += 2 * time.Second
		}),
		Entry("while one of this host's is at work in the service", keep, func(service *flow.Service) {
			ask(service, now, patient)
			now += 2 * time.Second
		}),
		Entry("that were sent before", func(ticket *flow.Ticket) { keyed(ticket); ticket.Tried = []string{"a"} }, keepService),
		Entry("that have waited", func(ticket *flow.Ticket) {
			keyed(ticket)
			ticket.Arrived, ticket.Deadline = at(now-20*time.Second), at(now+500*time.Millisecond)
		}, keepService),
	)
})

func keepService(*flow.Service) {}

var _ = Describe("what an answer tells of its upstream", func() {
	took := func(service *flow.Service, took time.Duration) {
		_, verdicts := ask(service, 0, keep)
		service.Release((*verdicts)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, at(took))
	}

	// Guards against an upstream that is slow and is sent the most since nothing is learned of it.
	It("is how slow it is, as long as the answer came in time", func() {
		service := flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3)}, 0)
		for range 20 {
			took(service, 450*time.Millisecond)
		}
		Expect(service.ProcessingTimes()["a"]).To(Equal(450 * time.Millisecond))
	})

	// Guards against a host that stood still and takes that time for its upstreams' own.
	It("is little if this host has read it too late", func() {
		service := flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3)}, 0)
		took(service, 50*time.Millisecond)
		took(service, 6*time.Second)
		Expect(service.ProcessingTimes()["a"]).To(BeNumerically("<", 100*time.Millisecond))
	})
})
