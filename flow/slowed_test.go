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

// slowed is a load on upstreams of 3 slots that are too slow for it until some time, as all hosts have learned.
type slowed struct {
	hosts, upstreams     int
	keyed                bool
	perSecond            float64
	slow, work, deadline time.Duration
	slowUntil, length    time.Duration
	seed                 uint64
}

// fates counts what became of requests; cut are those that were sent and got no answer in time.
type fates struct {
	asked, answered, refused, trials, cut, rejected int
}

// slowedPlay is a load that is being played. Hosts tell their counts each 160 ms and know the others' as old; attempts are
// cut off at their deadline, while the upstream works on.
type slowedPlay struct {
	load    slowed
	due     agenda
	random  *rand.Rand
	servers map[string]*server
	hosts   []*flow.Service
	told    []counts
	sum     counts
	// until are the fates of requests that came while the upstreams were slow, after of those that came later.
	until, after fates
}

const slowedSlots = 3

func playSlowed(load slowed) *slowedPlay {
	play := &slowedPlay{load: load, random: rand.New(rand.NewPCG(load.seed, 23)), servers: map[string]*server{}, told: make([]counts, load.hosts)}
	play.sum = counts{running: map[string]int{}, waiting: map[string]int{}}
	var upstreams []cherrykeel.Upstream
	for i := range load.upstreams {
		upstreams = append(upstreams, upstream(fmt.Sprint(i), slowedSlots))
		play.servers[fmt.Sprint(i)] = &server{}
	}
	var find func(int) flow.Owner
	if load.keyed {
		find = func(key int) flow.Owner { return flow.Owner{ID: fmt.Sprint(key)} }
	}
	for i := range load.hosts {
		service := flow.New("z", find, play.random.Float64)
		service.SetUpstreams(upstreams, 0)
		play.hosts = append(play.hosts, service)
		play.teach(service)
		play.at(time.Duration(play.random.Int64N(int64(tellPace))), func(now time.Duration) { play.tell(i, now) })
	}
	for now := time.Duration(0); now < load.length; now += time.Duration(play.random.ExpFloat64() / load.perSecond * float64(time.Second)) {
		play.at(now, play.ask)
	}
	for play.due.Len() > 0 {
		next := heap.Pop(&play.due).(happening)
		next.do(next.at)
	}
	return play
}

const tellPace = 160 * time.Millisecond

func (play *slowedPlay) at(at time.Duration, do func(now time.Duration)) {
	heap.Push(&play.due, happening{at, do})
}

// teach has a host learn how slow each upstream is.
func (play *slowedPlay) teach(service *flow.Service) {
	for i := range play.load.upstreams {
		ticket := &flow.Ticket{Key: cherrykeel.NoKey, Target: at(time.Hour), Deadline: at(time.Hour)}
		ticket.Notify = func(verdict flow.Decision) {
			service.Release(verdict.Slot, flow.Answered, cherrykeel.UpstreamLoad{}, at(play.load.slow))
		}
		if play.load.keyed {
			ticket.Key = i
		}
		for j := range play.load.upstreams {
			if !play.load.keyed && j != i {
				ticket.Tried = append(ticket.Tried, fmt.Sprint(j))
			}
		}
		service.Submit(ticket, 0)
	}
}

// tell takes what the other hosts have told, and tells what this one has.
func (play *slowedPlay) tell(host int, now time.Duration) {
	play.sum.remove(play.told[host])
	others := counts{running: maps.Clone(play.sum.running), waiting: maps.Clone(play.sum.waiting), queued: play.sum.queued}
	waiting, queued := play.hosts[host].Waiting()
	play.told[host] = counts{running: play.hosts[host].Running(), waiting: waiting, queued: queued}
	play.sum.add(play.told[host])
	play.hosts[host].SetRemoteCounts(others.running, others.waiting, others.queued, at(now))
	if now < play.load.length {
		play.at(now+tellPace, func(now time.Duration) { play.tell(host, now) })
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

func (play *slowedPlay) ask(now time.Duration) {
	fates := &play.until
	if now >= play.load.slowUntil {
		fates = &play.after
	}
	fates.asked++
	service := play.hosts[play.random.IntN(len(play.hosts))]
	ticket := &flow.Ticket{Key: cherrykeel.NoKey, Arrived: at(now), Target: at(now + play.load.deadline/2), Deadline: at(now + play.load.deadline)}
	if play.load.keyed {
		ticket.Key = play.random.IntN(play.load.upstreams)
	}
	ticket.Notify = func(verdict flow.Decision) {
		if verdict.Slot == nil {
			fates.refused++
			return
		}
		if verdict.Slot.Probe {
			fates.trials++
		}
		play.send(service, verdict.Slot, fates)
	}
	service.Submit(ticket, at(now))
}

// send has an upstream work on a request, or reject it if it has no room.
func (play *slowedPlay) send(service *flow.Service, place *flow.Slot, fates *fates) {
	server := play.servers[place.Upstream.ID]
	left := false
	leave := func(ending flow.Result, count *int, now time.Duration) {
		if left {
			return
		}
		left = true
		*count++
		service.Release(place, ending, cherrykeel.UpstreamLoad{}, at(now))
	}
	sent := time.Duration(place.StartedAt)
	finish := func(now time.Duration) { leave(flow.Answered, &fates.answered, now) }
	switch {
	case server.running < slowedSlots:
		play.run(server, sent, finish)
	case len(server.queue) < 4*slowedSlots:
		server.queue = append(server.queue, func(now time.Duration) { play.run(server, now, finish) })
	default:
		play.at(sent, func(now time.Duration) { leave(flow.Refused, &fates.rejected, now) })
		return
	}
	play.at(time.Duration(place.Deadline), func(now time.Duration) { leave(flow.Failed, &fates.cut, now) })
}

func (play *slowedPlay) run(server *server, now time.Duration, finish func(now time.Duration)) {
	work := play.load.work
	if now < play.load.slowUntil {
		work = play.load.slow
	}
	server.running++
	play.at(now+time.Duration(float64(work)*(0.7+0.6*play.random.Float64())), func(now time.Duration) {
		server.running--
		finish(now)
		if len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			next(now)
		}
	})
}

var _ = Describe("upstreams that are too slow for all that is asked of them, among 195 hosts", func() {
	const (
		hosts     = 195
		slowUntil = 20 * time.Second
		length    = 40 * time.Second
		// mostTrials is how many trials a host may send in that time: at 0, 1, 3, 7, 11 and 15 s or up to a quarter earlier.
		mostTrials = 7
	)

	// Guards against hosts that together send a slow service what each of them alone thinks is little, and against upstreams
	// that stay unused after they are quick again.
	DescribeTable("get few requests, and all when they are quick again",
		func(load slowed) {
			load.hosts, load.slowUntil, load.length = hosts, slowUntil, length
			play := playSlowed(load)
			Expect(play.until.trials).To(BeNumerically("<=", hosts*mostTrials))
			Expect(play.until.cut + play.until.rejected).To(BeNumerically("<=", play.until.trials))
			Expect(float64(play.after.answered) / float64(play.after.asked)).To(BeNumerically(">", 0.7))
			Expect(float64(play.after.rejected) / float64(play.after.asked)).To(BeNumerically("<", 0.05))
		},
		Entry("231 owners of keys", slowed{upstreams: 231, keyed: true, perSecond: 350, slow: 6 * time.Second, work: 1300 * time.Millisecond, deadline: 3 * time.Second}),
		Entry("one owner that all ask for", slowed{upstreams: 1, keyed: true, perSecond: 400, slow: 6 * time.Second, work: 5 * time.Millisecond, deadline: 3 * time.Second}),
		Entry("54 without keys", slowed{upstreams: 54, perSecond: 500, slow: 2 * time.Second, work: 160 * time.Millisecond, deadline: 500 * time.Millisecond}),
	)
})
