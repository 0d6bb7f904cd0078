package flow_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

// slowLoad is a load on upstreams of 3 slots that are too slow for it until some time, which all hosts have learned.
type slowLoad struct {
	hosts, upstreams               int
	keyed                          bool
	perSecond                      float64
	slow, processingTime, deadline time.Duration
	slowUntil, length              time.Duration
	seed                           uint64
}

// requestCounts counts what became of requests; canceled ones were sent and not answered in time.
type requestCounts struct {
	submitted, answered, refused, probes, canceled, rejected int
}

// slowSimulation simulates a load. Hosts report their counts every 160 ms and have others' counts of that age. Attempts
// are canceled at their deadline, while the upstream keeps processing them.
type slowSimulation struct {
	load     slowLoad
	events   eventQueue
	random   *rand.Rand
	servers  map[string]*server
	hosts    []*flow.Service
	reported []counts
	sum      counts
	// whileSlow counts requests that were submitted while the upstreams were slow, afterwards those submitted later.
	whileSlow, afterwards requestCounts
}

const slowLoadSlots = 3

func simulateSlow(load slowLoad) *slowSimulation {
	simulation := &slowSimulation{load: load, random: rand.New(rand.NewPCG(load.seed, 23)), servers: map[string]*server{}, reported: make([]counts, load.hosts)}
	simulation.sum = counts{running: map[string]int{}, waiting: map[string]int{}}
	var upstreams []cherrykeel.Upstream
	for i := range load.upstreams {
		upstreams = append(upstreams, upstream(fmt.Sprint(i), slowLoadSlots))
		simulation.servers[fmt.Sprint(i)] = &server{}
	}
	var findOwner func(int) flow.Owner
	if load.keyed {
		findOwner = func(key int) flow.Owner { return flow.Owner{ID: fmt.Sprint(key)} }
	}
	for i := range load.hosts {
		service := flow.New("z", findOwner, simulation.random.Float64)
		service.SetUpstreams(upstreams, 0)
		simulation.hosts = append(simulation.hosts, service)
		simulation.learnSlowness(service)
		simulation.schedule(time.Duration(simulation.random.Int64N(int64(reportInterval))), func(now time.Duration) { simulation.exchangeCounts(i, now) })
	}
	for now := time.Duration(0); now < load.length; now += time.Duration(simulation.random.ExpFloat64() / load.perSecond * float64(time.Second)) {
		simulation.schedule(now, simulation.submitRequest)
	}
	for simulation.events.Len() > 0 {
		next := heap.Pop(&simulation.events).(event)
		next.run(next.at)
	}
	return simulation
}

const reportInterval = 160 * time.Millisecond

func (simulation *slowSimulation) schedule(at time.Duration, run func(now time.Duration)) {
	heap.Push(&simulation.events, event{at, run})
}

// learnSlowness makes a host record how slow each upstream is.
func (simulation *slowSimulation) learnSlowness(service *flow.Service) {
	for i := range simulation.load.upstreams {
		ticket := &flow.Ticket{Key: cherrykeel.NoKey, Target: instantAt(time.Hour), Deadline: instantAt(time.Hour)}
		ticket.Notify = func(decision flow.Decision) {
			service.Release(decision.Slot, flow.Answered, cherrykeel.UpstreamLoad{}, instantAt(simulation.load.slow))
		}
		if simulation.load.keyed {
			ticket.Key = i
		}
		for j := range simulation.load.upstreams {
			if !simulation.load.keyed && j != i {
				ticket.Tried = append(ticket.Tried, fmt.Sprint(j))
			}
		}
		service.Submit(ticket, 0)
	}
}

// exchangeCounts makes a host receive the other hosts' last reports and report its own counts.
func (simulation *slowSimulation) exchangeCounts(host int, now time.Duration) {
	simulation.sum.remove(simulation.reported[host])
	others := counts{running: maps.Clone(simulation.sum.running), waiting: maps.Clone(simulation.sum.waiting), queued: simulation.sum.queued}
	waiting, queued := simulation.hosts[host].Waiting()
	simulation.reported[host] = counts{running: simulation.hosts[host].Running(), waiting: waiting, queued: queued}
	simulation.sum.add(simulation.reported[host])
	simulation.hosts[host].SetRemoteCounts(others.running, others.waiting, others.queued, instantAt(now))
	if now < simulation.load.length {
		simulation.schedule(now+reportInterval, func(now time.Duration) { simulation.exchangeCounts(host, now) })
	}
}

func (counts *counts) remove(other counts) {
	for id, count := range other.running {
		counts.running[id] -= count
	}
	for id, count := range other.waiting {
		counts.waiting[id] -= count
	}
	counts.queued -= other.queued
}

func (simulation *slowSimulation) submitRequest(now time.Duration) {
	counts := &simulation.whileSlow
	if now >= simulation.load.slowUntil {
		counts = &simulation.afterwards
	}
	counts.submitted++
	service := simulation.hosts[simulation.random.IntN(len(simulation.hosts))]
	ticket := &flow.Ticket{Key: cherrykeel.NoKey, Arrived: instantAt(now), Target: instantAt(now + simulation.load.deadline/2), Deadline: instantAt(now + simulation.load.deadline)}
	if simulation.load.keyed {
		ticket.Key = simulation.random.IntN(simulation.load.upstreams)
	}
	ticket.Notify = func(decision flow.Decision) {
		if decision.Slot == nil {
			counts.refused++
			return
		}
		if decision.Slot.Probe {
			counts.probes++
		}
		simulation.send(service, decision.Slot, counts)
	}
	service.Submit(ticket, instantAt(now))
}

// send makes an upstream process a request, or reject it if its queue is full.
func (simulation *slowSimulation) send(service *flow.Service, slot *flow.Slot, counts *requestCounts) {
	server := simulation.servers[slot.Upstream.ID]
	released := false
	release := func(result flow.Result, count *int, now time.Duration) {
		if released {
			return
		}
		released = true
		*count++
		service.Release(slot, result, cherrykeel.UpstreamLoad{}, instantAt(now))
	}
	sentAt := time.Duration(slot.StartedAt)
	finish := func(now time.Duration) { release(flow.Answered, &counts.answered, now) }
	switch {
	case server.running < slowLoadSlots:
		simulation.run(server, sentAt, finish)
	case len(server.queue) < 4*slowLoadSlots:
		server.queue = append(server.queue, func(now time.Duration) { simulation.run(server, now, finish) })
	default:
		simulation.schedule(sentAt, func(now time.Duration) { release(flow.Refused, &counts.rejected, now) })
		return
	}
	simulation.schedule(time.Duration(slot.Deadline), func(now time.Duration) { release(flow.Failed, &counts.canceled, now) })
}

func (simulation *slowSimulation) run(server *server, now time.Duration, finish func(now time.Duration)) {
	processingTime := simulation.load.processingTime
	if now < simulation.load.slowUntil {
		processingTime = simulation.load.slow
	}
	server.running++
	simulation.schedule(now+time.Duration(float64(processingTime)*(0.7+0.6*simulation.random.Float64())), func(now time.Duration) {
		server.running--
		finish(now)
		if len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			next(now)
		}
	})
}

var _ = Describe("upstreams that are too slow for their requests, among 195 hosts", func() {
	const (
		hosts     = 195
		slowUntil = 20 * time.Second
		length    = 40 * time.Second
		// maxProbes is how many probes a host may send in that time: at 0, 1, 3, 7, 11 and 15 s or up to a quarter
		// earlier.
		maxProbes = 7
	)

	// Guards against hosts that together overload a slow service with probes that are few for each host, and against
	// upstreams that stay unused after they are fast again.
	DescribeTable("get few requests, and all when they are fast again",
		func(load slowLoad) {
			load.hosts, load.slowUntil, load.length = hosts, slowUntil, length
			simulation := simulateSlow(load)
			Expect(simulation.whileSlow.probes).To(BeNumerically("<=", hosts*maxProbes))
			Expect(simulation.whileSlow.canceled + simulation.whileSlow.rejected).To(BeNumerically("<=", simulation.whileSlow.probes))
			Expect(float64(simulation.afterwards.answered) / float64(simulation.afterwards.submitted)).To(BeNumerically(">", 0.7))
			Expect(float64(simulation.afterwards.rejected) / float64(simulation.afterwards.submitted)).To(BeNumerically("<", 0.05))
		},
		Entry("231 owners of keys", slowLoad{upstreams: 231, keyed: true, perSecond: 350, slow: 6 * time.Second, processingTime: 1300 * time.Millisecond, deadline: 3 * time.Second}),
		Entry("one owner of all requests' keys", slowLoad{upstreams: 1, keyed: true, perSecond: 400, slow: 6 * time.Second, processingTime: 5 * time.Millisecond, deadline: 3 * time.Second}),
		Entry("54 without keys", slowLoad{upstreams: 54, perSecond: 500, slow: 2 * time.Second, processingTime: 160 * time.Millisecond, deadline: 500 * time.Millisecond}),
	)
})
