package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

// sharedMachines is a service of 18 upstreams with 3 slots of 160 ms on machines that others use too: for a fifth of the
// time work takes three times as long. They can do some 230 requests a second, asked for through 61 hosts whose counts of
// each other are 160 to 320 ms old.
func sharedMachines(perSecond float64, tells bool) func(seed uint64) crowd {
	return func(seed uint64) crowd {
		load := crowd{
			hosts: 61, slots: 3, work: 160 * time.Millisecond, target: 600 * time.Millisecond, deadline: 1500 * time.Millisecond,
			perSecond: []rate{{0, 120}, {2 * time.Second, perSecond}, {8 * time.Second, 120}}, length: 10 * time.Second, seed: seed,
			tellEvery: 160 * time.Millisecond, gatherEvery: 160 * time.Millisecond, ownQueue: 12,
			slowShare: 0.2, slowTimes: 3, tells: tells,
		}
		for range 6 {
			load.speeds = append(load.speeds, 0.6, 1, 1.4)
		}
		return load
	}
}

// The pattern is a busy service on shared machines among many hosts: counts are older than the work that they count.
var _ = Describe("upstreams that are asked for their load before a request is sent", func() {
	It("answer more in time than those that are chosen by counts, and reject none", func() {
		byCounts := mean(sharedMachines(230, false))
		asked := mean(sharedMachines(230, true))
		GinkgoWriter.Println("by counts", byCounts, "asked", asked)
		Expect(asked.inTarget).To(BeNumerically(">", byCounts.inTarget+0.05))
		Expect(asked.failed).To(BeNumerically("<", byCounts.failed))
		Expect(asked.rejected).To(BeZero())
	})

	It("refuse what is beyond them, and answer the rest in time", func() {
		byCounts := mean(sharedMachines(280, false))
		asked := mean(sharedMachines(280, true))
		GinkgoWriter.Println("by counts", byCounts, "asked", asked)
		Expect(asked.inTarget).To(BeNumerically(">", byCounts.inTarget+0.05))
		Expect(asked.rejected).To(BeZero())
	})
})

var _ = Describe("a probe", func() {
	var service *flow.Service
	load := func(running int, slowness float64) cherrykeel.UpstreamLoad {
		return cherrykeel.UpstreamLoad{Known: true, Running: running, Slots: 3, Slowness: slowness}
	}
	// offer returns a ticket and its place.
	offer := func(now time.Duration) (*flow.Ticket, flow.Verdict) {
		ticket, verdicts := ask(service, now, keep)
		return ticket, (*verdicts)[0]
	}

	BeforeEach(func() {
		service = flow.New("z", nil, half)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
	})

	tell := func() {
		_, verdict := offer(0)
		service.Leave(verdict.Place, flow.Answered, load(1, 1), at(80*time.Millisecond))
		service.SetOthers(map[string]int{"a": 2, "b": 2}, nil, 0, at(300*time.Millisecond))
	}

	It("is sent only while the service is busy and its upstreams tell how slow their machines are", func() {
		ticket, verdict := offer(0)
		Expect(service.WantsProbe(ticket, verdict.Place, 0)).To(BeFalse(), "nobody has told it")
		service.Leave(verdict.Place, flow.Answered, load(1, 1), at(80*time.Millisecond))
		service.SetOthers(nil, nil, 0, at(300*time.Millisecond))
		ticket, verdict = offer(300 * time.Millisecond)
		Expect(service.WantsProbe(ticket, verdict.Place, at(300*time.Millisecond))).To(BeFalse(), "it is not busy")
		service.SetOthers(map[string]int{"a": 2, "b": 2}, nil, 0, at(300*time.Millisecond))
		ticket, verdict = offer(300 * time.Millisecond)
		Expect(service.WantsProbe(ticket, verdict.Place, at(300*time.Millisecond))).To(BeTrue())
	})

	It("leaves a place at an upstream in a slow moment, and asks each upstream once", func() {
		tell()
		now := 300 * time.Millisecond
		ticket, verdict := offer(now)
		first := verdict.Place.Upstream.ID
		verdict = service.Probed(ticket, verdict.Place, load(1, 3), at(now))
		Expect(verdict.Place.Upstream.ID).NotTo(Equal(first))
		Expect(service.Running()).To(HaveLen(1))
		verdict = service.Probed(ticket, verdict.Place, load(1, 1), at(now))
		Expect(verdict.Place.Upstream.ID).NotTo(Equal(first))
		Expect(service.WantsProbe(ticket, verdict.Place, at(now))).To(BeFalse())
	})

	// Guards against upstreams that reset all that waits with them when their own queue is full.
	It("refuses a request if all that were asked are full, and leaves the place", func() {
		tell()
		now := 300 * time.Millisecond
		ticket, verdict := offer(now)
		for range 2 {
			verdict = service.Probed(ticket, verdict.Place, load(12, 1), at(now))
		}
		Expect(verdict.Place).To(BeNil())
		Expect(verdict.Reason).To(Equal(flow.Crowded))
		Expect(service.Running()).To(BeEmpty())
	})

	It("that gets no answer leaves the place as it is, and the upstream unasked for a while", func() {
		tell()
		now := 300 * time.Millisecond
		ticket, verdict := offer(now)
		place := verdict.Place
		verdict = service.Probed(ticket, place, cherrykeel.UpstreamLoad{}, at(now))
		Expect(verdict.Place).To(BeIdenticalTo(place))
		Expect(service.WantsProbe(ticket, place, at(now))).To(BeFalse())
	})

	It("is not sent to a cold upstream", func() {
		tell()
		cold := upstream("a", 3)
		cold.ColdUntil = at(5 * time.Second)
		service.SetUpstreams([]cherrykeel.Upstream{cold}, at(300*time.Millisecond))
		ticket, verdict := offer(300 * time.Millisecond)
		Expect(service.WantsProbe(ticket, verdict.Place, at(300*time.Millisecond))).To(BeFalse())
	})
})
