package flow_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

func TestFlow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "flow")
}

// instantAt returns the instant at which a duration has passed since the start.
func instantAt(duration time.Duration) cherrykeel.Instant {
	return cherrykeel.Instant(duration)
}

// fixedRandom replaces the random numbers of a scheduler.
func fixedRandom() float64 { return 0.5 }

// upstream returns an upstream in zone z.
func upstream(id string, slots int) cherrykeel.Upstream {
	return cherrykeel.Upstream{ID: id, Zone: "z", Slots: slots}
}

// submit submits a request with a target of 200 ms and a deadline of 500 ms, and returns the decisions on it.
func submit(service *flow.Service, now time.Duration, change func(*flow.Ticket)) (*flow.Ticket, *[]flow.Decision) {
	var decisions []flow.Decision
	ticket := &flow.Ticket{
		Key: cherrykeel.NoKey, Arrived: instantAt(now), Target: instantAt(now + 200*time.Millisecond), Deadline: instantAt(now + 500*time.Millisecond),
		Notify: func(decision flow.Decision) { decisions = append(decisions, decision) },
	}
	if change != nil {
		change(ticket)
	}
	service.Submit(ticket, instantAt(now))
	return ticket, &decisions
}

// unchanged leaves a ticket as it is.
func unchanged(*flow.Ticket) {}

var _ = Describe("one service's requests", func() {
	var service *flow.Service

	BeforeEach(func() {
		service = flow.New("z", nil, fixedRandom)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
	})

	// Guards against counts and processing times of a crashed incarnation that keep requests from the next one, which
	// has the same ID, no running requests and the usual speed.
	It("treats another incarnation of an upstream as unknown", func() {
		before := upstream("a", 3)
		before.StartedAt = 100
		service.SetUpstreams([]cherrykeel.Upstream{before}, 0)
		var acquired []*flow.Slot
		for range 3 {
			_, decisions := submit(service, 0, unchanged)
			acquired = append(acquired, (*decisions)[0].Slot)
		}
		service.Release(acquired[0], flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(400*time.Millisecond))
		Expect(service.ProcessingTimes()).To(HaveKey("a"))
		Expect(service.Running()["a"]).To(Equal(2))
		after := before
		after.StartedAt = 200
		service.SetUpstreams([]cherrykeel.Upstream{after}, instantAt(time.Second))
		Expect(service.ProcessingTimes()).To(BeEmpty())
		Expect(service.Running()).To(BeEmpty())
		service.Release(acquired[1], flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(2*time.Second))
		Expect(service.ProcessingTimes()).To(BeEmpty(), "an answer of the previous incarnation")
	})

	It("sends at once while slots are free, to the upstream with fewer requests", func() {
		counts := map[string]int{}
		for range 6 {
			_, decisions := submit(service, 0, unchanged)
			Expect(*decisions).To(HaveLen(1))
			counts[(*decisions)[0].Slot.Upstream.ID]++
		}
		Expect(counts).To(Equal(map[string]int{"a": 3, "b": 3}))
	})

	// Guards against eight hosts that overload an upstream with three slots. One that gets more requests than its slots
	// and its short queue hold resets connections, on which a payment may have run.
	It("counts the other hosts' requests at upstreams", func() {
		service.SetRemoteCounts(map[string]int{"a": 4, "b": 4}, nil, 0, 0)
		_, decisions := submit(service, 0, unchanged)
		Expect(*decisions).To(BeEmpty())
		service.SetRemoteCounts(map[string]int{"a": 4, "b": 3}, nil, 0, 0)
		Expect(*decisions).To(HaveLen(1))
		Expect((*decisions)[0].Slot.Upstream.ID).To(Equal("b"))
	})

	// Guards against an upstream that joins and never gets a request, since it is cold and unknown while others have
	// free slots. Each host of its zone sends it a first one at a random time, unless other hosts' requests fill it.
	It("sends a request to an upstream that has joined", func() {
		early := upstream("early", 3)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3), early}, 0)
		_, decisions := submit(service, 0, unchanged)
		service.Release((*decisions)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(50*time.Millisecond))
		cold := upstream("new", 3)
		cold.ColdUntil = instantAt(6 * time.Second)
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3), early, cold}, instantAt(time.Second))
		chosen := func(now time.Duration) string {
			_, decisions := submit(service, now, unchanged)
			slot := (*decisions)[0].Slot
			service.Release(slot, flow.Abandoned, cherrykeel.UpstreamLoad{}, instantAt(now))
			return slot.Upstream.ID
		}
		Expect(chosen(1100 * time.Millisecond)).NotTo(Equal("new"))
		service.SetRemoteCounts(map[string]int{"new": 3}, nil, 0, instantAt(3*time.Second))
		Expect(chosen(3 * time.Second)).NotTo(Equal("new"))
		service.SetRemoteCounts(nil, nil, 0, instantAt(3*time.Second))
		Expect(chosen(3 * time.Second)).To(Equal("new"))
		Expect(chosen(3100 * time.Millisecond)).NotTo(Equal("new"))
	})

	// Guards against first requests of 18 hosts at once to upstreams that are still registering while all hosts start:
	// these would have queues from the first second on.
	It("treats no upstream as newly joined before any has answered", func() {
		service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3), {ID: "c", Zone: "z", Slots: 3, ColdUntil: instantAt(1100 * time.Millisecond)}}, instantAt(100*time.Millisecond))
		_, decisions := submit(service, 4*time.Second, unchanged)
		first := (*decisions)[0].Slot
		_, decisions = submit(service, 4*time.Second, unchanged)
		Expect([]string{first.Upstream.ID, (*decisions)[0].Slot.Upstream.ID}).NotTo(ConsistOf("c", "c"))
		Expect(first.Upstream.ID).NotTo(Equal("c"))
	})

	It("serves urgent requests first and the others in order", func() {
		service.SetRemoteCounts(map[string]int{"a": 4, "b": 4}, nil, 0, 0)
		order := []string{}
		for i, priority := range []int{2, 2, 0} {
			submit(service, 0, func(ticket *flow.Ticket) {
				ticket.Priority = priority
				ticket.Notify = func(flow.Decision) { order = append(order, fmt.Sprint(priority, "/", i)) }
			})
		}
		service.SetRemoteCounts(nil, nil, 0, 0)
		Expect(order).To(Equal([]string{"0/2", "2/0", "2/1"}))
	})

	// Guards against callers that wait for nothing: with forty requests waiting for six slots of 80 ms, a new one
	// cannot be answered in time, and its caller can retry in time only if it is refused at once.
	It("refuses at once what cannot be answered in time", func() {
		service.SetRemoteCounts(map[string]int{"a": 4, "b": 4}, nil, 40, 0)
		_, decisions := submit(service, 0, unchanged)
		Expect(*decisions).To(HaveLen(1))
		Expect((*decisions)[0].Reason).To(Equal(flow.Crowded))
	})

	It("refuses a waiting request when its time has become too short", func() {
		service.SetRemoteCounts(map[string]int{"a": 4, "b": 4}, nil, 0, 0)
		_, decisions := submit(service, 0, unchanged)
		service.Dispatch(instantAt(400 * time.Millisecond))
		Expect(*decisions).To(BeEmpty())
		service.Dispatch(instantAt(460 * time.Millisecond))
		Expect((*decisions)[0].Reason).To(Equal(flow.TooLate))
	})

	It("refuses when there is no upstream", func() {
		service.SetUpstreams(nil, 0)
		_, decisions := submit(service, 0, unchanged)
		Expect((*decisions)[0].Reason).To(Equal(flow.NoUpstream))
	})

	// Guards against an upstream that fails some requests while its health check succeeds: requests go to others
	// instead. After some seconds without requests it gets some again, so that it is not left unused.
	It("prefers upstreams that do not fail, and forgets failures", func() {
		for range 3 {
			_, decisions := submit(service, 0, func(ticket *flow.Ticket) { ticket.Tried = []string{"b"} })
			service.Release((*decisions)[0].Slot, flow.Failed, cherrykeel.UpstreamLoad{}, 0)
		}
		for range 3 {
			_, decisions := submit(service, 0, unchanged)
			Expect((*decisions)[0].Slot.Upstream.ID).To(Equal("b"))
		}
		later := 12 * time.Second
		_, decisions := submit(service, later, unchanged)
		Expect((*decisions)[0].Slot.Upstream.ID).To(Equal("a"))
	})

	It("pauses an upstream that cannot be reached", func() {
		_, decisions := submit(service, 0, func(ticket *flow.Ticket) { ticket.Tried = []string{"b"} })
		service.Release((*decisions)[0].Slot, flow.Unreachable, cherrykeel.UpstreamLoad{}, 0)
		_, decisions = submit(service, 0, func(ticket *flow.Ticket) { ticket.Tried = []string{"b"} })
		Expect(*decisions).To(BeEmpty())
		service.Dispatch(instantAt(320 * time.Millisecond))
		Expect(*decisions).To(HaveLen(1))
	})

	It("measures which upstream is fast", func() {
		for _, id := range []string{"a", "b"} {
			other := map[string]string{"a": "b", "b": "a"}[id]
			took := map[string]time.Duration{"a": 150 * time.Millisecond, "b": 50 * time.Millisecond}[id]
			_, decisions := submit(service, 0, func(ticket *flow.Ticket) { ticket.Tried = []string{other} })
			service.Release((*decisions)[0].Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(took))
		}
		Expect(service.ProcessingTimes()).To(Equal(map[string]time.Duration{"a": 150 * time.Millisecond, "b": 50 * time.Millisecond}))
		for range 3 {
			_, decisions := submit(service, time.Second, unchanged)
			Expect((*decisions)[0].Slot.Upstream.ID).To(Equal("b"))
		}
	})

	// Guards against several hosts that send to one upstream before their counts include each other's requests: of 400
	// ms to the answer, 300 are spent in the upstream's queue, as its load shows. Counted as processing time, they
	// would make it look four times slower, and later requests would be refused without need.
	It("does not count time in an upstream's queue as processing time", func() {
		_, decisions := submit(service, 0, func(ticket *flow.Ticket) { ticket.Tried = []string{"b"} })
		load := cherrykeel.UpstreamLoad{Known: true, Running: 3, Waiting: 9, Slots: 3}
		service.Release((*decisions)[0].Slot, flow.Answered, load, instantAt(400*time.Millisecond))
		Expect(service.ProcessingTimes()).To(Equal(map[string]time.Duration{"a": 100 * time.Millisecond}))
	})

	It("removes a request whose caller left", func() {
		service.SetRemoteCounts(map[string]int{"a": 4, "b": 4}, nil, 0, 0)
		ticket, decisions := submit(service, 0, unchanged)
		Expect(service.Cancel(ticket)).To(BeTrue())
		service.SetRemoteCounts(nil, nil, 0, 0)
		Expect(*decisions).To(BeEmpty())
		Expect(service.Cancel(ticket)).To(BeFalse())
	})

	Describe("with keys", func() {
		var owner flow.Owner

		BeforeEach(func() {
			owner = flow.Owner{ID: "a"}
			service = flow.New("z", func(int) flow.Owner { return owner }, fixedRandom)
			service.SetUpstreams([]cherrykeel.Upstream{upstream("a", 3), upstream("b", 3)}, 0)
		})

		withKey := func(ticket *flow.Ticket) { ticket.Key = 7 }

		It("goes to the owner only", func() {
			for range 4 {
				_, decisions := submit(service, 0, withKey)
				Expect((*decisions)[0].Slot.Upstream.ID).To(Equal("a"))
			}
			_, decisions := submit(service, 0, withKey)
			Expect(*decisions).To(BeEmpty())
		})

		// Guards against requests that the old owner of a key refuses, at the cost of the retry budget, while the key
		// is transferred.
		It("waits while a key is transferred", func() {
			owner.InTransfer = true
			_, decisions := submit(service, 0, withKey)
			Expect(*decisions).To(BeEmpty())
			owner = flow.Owner{ID: "b"}
			service.Dispatch(instantAt(20 * time.Millisecond))
			Expect((*decisions)[0].Slot.Upstream.ID).To(Equal("b"))
		})

		It("refuses when the key has had no owner for half of the request's time", func() {
			owner = flow.Owner{}
			_, decisions := submit(service, 0, withKey)
			Expect(*decisions).To(BeEmpty())
			service.Dispatch(instantAt(300 * time.Millisecond))
			Expect((*decisions)[0].Reason).NotTo(BeEmpty())
		})
	})
})

// event is something that happens at a time in a simulated load.
type event struct {
	at  time.Duration
	run func(now time.Duration)
}

// eventQueue is a heap of events, earliest first.
type eventQueue []event

func (queue eventQueue) Len() int           { return len(queue) }
func (queue eventQueue) Less(i, j int) bool { return queue[i].at < queue[j].at }
func (queue eventQueue) Swap(i, j int)      { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(value any)    { *queue = append(*queue, value.(event)) }
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	value := (*queue)[last]
	*queue = (*queue)[:last]
	return value
}

// simulateSteadyLoad simulates a steady load on upstreams of unequal speed, and returns the share of requests answered
// within their target and the share answered before their deadline.
func simulateSteadyLoad(perSecond float64, speeds []float64, processingTime, target, deadline, length time.Duration) (inTarget, served float64) {
	random := rand.New(rand.NewPCG(7, 7))
	service := flow.New("z", nil, random.Float64)
	var upstreams []cherrykeel.Upstream
	speed := map[string]float64{}
	for i, factor := range speeds {
		id := fmt.Sprintf("u%d", i)
		upstreams = append(upstreams, upstream(id, 3))
		speed[id] = factor
	}
	service.SetUpstreams(upstreams, 0)
	running := map[string]int{}
	var events eventQueue
	submitted, onTime, total := 0, 0, 0
	arrive := func(now time.Duration) {
		submitted++
		ticket := &flow.Ticket{Key: cherrykeel.NoKey, Arrived: instantAt(now), Target: instantAt(now + target), Deadline: instantAt(now + deadline)}
		current := &now
		ticket.Notify = func(decision flow.Decision) {
			if decision.Slot == nil {
				return
			}
			id := decision.Slot.Upstream.ID
			running[id]++
			startedAt := time.Duration(decision.Slot.StartedAt)
			occupancy := max(1, float64(running[id])/3)
			took := time.Duration(float64(processingTime) / speed[id] * occupancy * (0.7 + 0.6*random.Float64()))
			heap.Push(&events, event{startedAt + took, func(end time.Duration) {
				running[id]--
				if end-*current <= target {
					onTime++
				}
				if end-*current <= deadline {
					total++
				}
				service.Release(decision.Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(end))
			}})
		}
		service.Submit(ticket, instantAt(now))
	}
	for now := time.Duration(0); now < length; now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		heap.Push(&events, event{now, arrive})
	}
	for events.Len() > 0 {
		next := heap.Pop(&events).(event)
		next.run(next.at)
	}
	return float64(onTime) / float64(submitted), float64(total) / float64(submitted)
}

var _ = Describe("a heavy load", func() {
	// Guards against slow upstreams that get as many requests as fast ones. 8 upstreams with 3 slots each, whose speeds
	// differ by a factor of three, can process about 300 requests a second, so nearly all of 147 a second of 78 ms can
	// be answered within 250 ms.
	It("is served in time by upstreams of unequal speed", func() {
		inTarget, served := simulateSteadyLoad(147, []float64{0.5, 1, 1, 1.5, 0.5, 1, 1, 1.5}, 78*time.Millisecond, 250*time.Millisecond, 600*time.Millisecond, 20*time.Second)
		Expect(inTarget).To(BeNumerically(">", 0.99))
		Expect(served).To(BeNumerically(">", 0.995))
	})

	// Guards against a queue that makes all requests late: at one and a half times the capacity for 20 s, requests that
	// cannot be answered in time are refused, and the others are served near capacity.
	It("beyond capacity is refused in part and served in part", func() {
		_, served := simulateSteadyLoad(460, []float64{0.5, 1, 1, 1.5, 0.5, 1, 1, 1.5}, 78*time.Millisecond, 250*time.Millisecond, 600*time.Millisecond, 20*time.Second)
		Expect(served).To(BeNumerically(">", 0.6))
	})
})
