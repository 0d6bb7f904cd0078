package permit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cherrykeel"
	"cherrykeel/permit"
)

const (
	stepLength = 5 * time.Millisecond
	// reportEvery and staleAfter are the interval and the age limit of the hosts' reports to each other.
	reportEvery = 250 * time.Millisecond
	staleAfter  = time.Second
	hubs        = 4
	hubChoices  = 8
	lostShare   = 0.01
	maxDelay    = 15 * time.Millisecond
	// patience is how long a request may wait for a permit.
	patience = 600 * time.Millisecond
	// windowLength is the time in which the requests that an upstream gets are counted.
	windowLength = 4 * time.Second
)

// simRequest is a request that waits on a host.
type simRequest struct {
	id      uint64
	arrived cherrykeel.Instant
	latest  cherrykeel.Instant
}

// simHost is a host of the simulated fleet.
type simHost struct {
	name      string
	demand    float64
	asker     *permit.Asker
	allocator *permit.Allocator
	held      permit.Held
	waiting   []simRequest
	// startsAt and endsAt bound the host's life; from suspendAt to resumeAt it is suspended; from stopsAt on it reports
	// that it stops.
	startsAt, endsAt, suspendAt, resumeAt, stopsAt cherrykeel.Instant
	// knowsAt is when it learns of the limit.
	knowsAt cherrykeel.Instant
	// old hosts know no permits; side is the part of a cut fleet.
	old  bool
	side int
	// heardAt has when the reports of other hosts were last heard, and saysStop who reports a stop.
	heardAt  map[string]cherrykeel.Instant
	saysStop map[string]bool
}

func (host *simHost) isRunning(now cherrykeel.Instant) bool {
	alive := now >= host.startsAt && (host.endsAt == 0 || now < host.endsAt)
	return alive && (now < host.suspendAt || now >= host.resumeAt)
}

// simMessage is an ask or a reply on its way.
type simMessage struct {
	from, to string
	at       cherrykeel.Instant
	ask      *permit.Ask
	reply    *permit.Reply
}

// simFleet is a fleet of hosts with one upstream that names a limit, in virtual time.
type simFleet struct {
	random   *rand.Rand
	hosts    []*simHost
	byName   map[string]*simHost
	messages []simMessage
	now      cherrykeel.Instant
	upstream permit.Incarnation
	limit    float64
	nextID   uint64
	// cutFrom and cutUntil bound a cut between hosts of different sides.
	cutFrom, cutUntil cherrykeel.Instant
	// sent has the times of the requests of hosts that know permits; asked, served and refused count requests.
	sent                   []cherrykeel.Instant
	asked, served, refused int
	sentMessages           int
	// changes are applied once at their time.
	changes map[cherrykeel.Instant]func()
}

func newSimFleet(hosts int, demand, busyShare, limit float64) *simFleet {
	fleet := &simFleet{random: rand.New(rand.NewPCG(uint64(hosts), math.Float64bits(demand+limit+busyShare))), byName: map[string]*simHost{}, limit: limit, upstream: permit.Incarnation{ID: "u"}, changes: map[cherrykeel.Instant]func(){}}
	for i := range hosts {
		part := demand / float64(hosts)
		if busyShare > 0 && hosts > 1 {
			part = demand * (1 - busyShare) / float64(hosts-1)
			if i == hosts-1 {
				part = demand * busyShare
			}
		}
		host := &simHost{
			name: fmt.Sprintf("host-%d", i), demand: part, asker: permit.NewAsker(fleet.random.Float64), allocator: permit.NewAllocator(),
			heardAt: map[string]cherrykeel.Instant{}, saysStop: map[string]bool{},
			knowsAt: cherrykeel.Instant(fleet.random.Int64N(int64(200 * time.Millisecond))),
		}
		fleet.hosts = append(fleet.hosts, host)
		fleet.byName[host.name] = host
	}
	return fleet
}

func (fleet *simFleet) areConnected(one, other *simHost) bool {
	isCut := fleet.now >= fleet.cutFrom && fleet.now < fleet.cutUntil
	return !isCut || one.side == other.side
}

// send sends a message, which may be lost.
func (fleet *simFleet) send(message simMessage) {
	fleet.sentMessages++
	if fleet.random.Float64() < lostShare {
		return
	}
	message.at = fleet.now.Add(time.Duration(fleet.random.Int64N(int64(maxDelay))))
	fleet.messages = append(fleet.messages, message)
}

// report lets all hosts hear the reports of the hubs, and the hubs those of all hosts.
func (fleet *simFleet) report() {
	for i, from := range fleet.hosts {
		if !from.isRunning(fleet.now) {
			continue
		}
		for j, to := range fleet.hosts {
			heard := (i < hubChoices || j < hubChoices) && to.isRunning(fleet.now) && fleet.areConnected(from, to)
			if heard && fleet.random.Float64() >= lostShare {
				to.heardAt[from.name] = fleet.now
				to.saysStop[from.name] = from.stopsAt != 0 && fleet.now >= from.stopsAt
			}
		}
	}
}

func (fleet *simFleet) hears(host *simHost, name string) bool {
	if host.name == name {
		return true
	}
	heardAt, known := host.heardAt[name]
	return known && fleet.now.Sub(heardAt) <= staleAfter
}

// allocatorOf returns the upstream's allocator as a host sees it.
func (fleet *simFleet) allocatorOf(host *simHost) string {
	var names []string
	for i := 0; i < min(hubChoices, len(fleet.hosts)) && len(names) < hubs; i++ {
		hub := fleet.hosts[i]
		stops := host.saysStop[hub.name] || hub == host && hub.stopsAt != 0 && fleet.now >= hub.stopsAt
		if fleet.hears(host, hub.name) && !stops && !hub.old {
			names = append(names, hub.name)
		}
	}
	return permit.Choose(fleet.upstream.ID, names)
}

// shareOf returns the share of the hosts that a host hears and that know permits.
func (fleet *simFleet) shareOf(host *simHost) float64 {
	heard, stopped := 0, 0
	for _, other := range fleet.hosts {
		switch {
		case host.saysStop[other.name]:
			stopped++
		case fleet.hears(host, other.name) && !other.old:
			heard++
		}
	}
	return float64(heard) / float64(len(fleet.hosts)-stopped)
}

// updateAllocator sets the rate of a host that is the allocator.
func (fleet *simFleet) updateAllocator(host *simHost) {
	rates := map[permit.Incarnation]float64{}
	if fleet.allocatorOf(host) == host.name {
		rates[fleet.upstream] = permit.RateOf(fleet.limit) * fleet.shareOf(host)
	}
	host.allocator.SetRates(rates, fleet.now)
}

func (fleet *simFleet) deliver(message simMessage) {
	from, to := fleet.byName[message.from], fleet.byName[message.to]
	if !to.isRunning(fleet.now) || !fleet.areConnected(from, to) {
		return
	}
	if message.ask != nil {
		fleet.updateAllocator(to)
		fleet.pass(to, to.allocator.Ask(from.name, *message.ask, fleet.now))
		return
	}
	fleet.receive(to, from.name, *message.reply)
}

// pass passes on an allocator's replies.
func (fleet *simFleet) pass(allocator *simHost, replies []permit.HostReply) {
	for _, reply := range replies {
		if reply.Host == allocator.name {
			fleet.receive(allocator, allocator.name, reply.Reply)
			continue
		}
		fleet.send(simMessage{from: allocator.name, to: reply.Host, reply: &reply.Reply})
	}
}

func (fleet *simFleet) receive(host *simHost, from string, reply permit.Reply) {
	if !host.asker.RecordReply(reply.Upstream, from) {
		return
	}
	host.held.Add(reply.Permits, fleet.now)
	declined := map[uint64]bool{}
	for _, id := range reply.Declined {
		declined[id] = true
	}
	var kept []simRequest
	for _, request := range host.waiting {
		if declined[request.id] {
			fleet.refused++
			continue
		}
		kept = append(kept, request)
	}
	host.waiting = kept
	fleet.dispatch(host)
}

// dispatch sends what a host has permits for, and refuses what can't be sent in time any more.
func (fleet *simFleet) dispatch(host *simHost) {
	var kept []simRequest
	for _, request := range host.waiting {
		switch {
		case request.latest < fleet.now:
			fleet.refused++
		case len(kept) == 0 && host.held.Take(fleet.now):
			fleet.served++
			fleet.sent = append(fleet.sent, fleet.now)
		default:
			kept = append(kept, request)
		}
	}
	host.waiting = kept
}

// step runs one host for a step.
func (fleet *simFleet) step(host *simHost) {
	for arrivals := fleet.poisson(host.demand * stepLength.Seconds()); arrivals > 0; arrivals-- {
		fleet.nextID++
		fleet.asked++
		host.waiting = append(host.waiting, simRequest{id: fleet.nextID, arrived: fleet.now, latest: fleet.now.Add(patience)})
	}
	if host.old || fleet.now < host.knowsAt {
		host.waiting = nil
		return
	}
	fleet.dispatch(host)
	fleet.updateAllocator(host)
	ask := permit.Ask{Upstream: fleet.upstream}
	for _, request := range host.waiting {
		ask.Wants = append(ask.Wants, permit.Want{ID: request.id, Left: request.latest.Sub(fleet.now)})
	}
	allocator := fleet.allocatorOf(host)
	if host.asker.IsDue(ask, allocator, fleet.now) {
		if allocator == host.name {
			fleet.pass(host, host.allocator.Ask(host.name, ask, fleet.now))
		} else {
			fleet.send(simMessage{from: host.name, to: allocator, ask: &ask})
		}
	}
	if host.asker.TakePart(fleet.upstream, fleet.limit, len(fleet.hosts), fleet.now) {
		host.held.Add(1, fleet.now)
		fleet.dispatch(host)
	}
	fleet.pass(host, host.allocator.Assign(fleet.now))
}

func (fleet *simFleet) poisson(mean float64) int {
	limit, product, count := math.Exp(-mean), fleet.random.Float64(), 0
	for product > limit {
		product *= fleet.random.Float64()
		count++
	}
	return count
}

// run runs the fleet for a time.
func (fleet *simFleet) run(length time.Duration) {
	end := fleet.now.Add(length)
	for ; fleet.now < end; fleet.now = fleet.now.Add(stepLength) {
		if change, due := fleet.changes[fleet.now]; due {
			change()
		}
		if time.Duration(fleet.now)%reportEvery == 0 {
			fleet.report()
		}
		pending := fleet.messages
		fleet.messages = nil
		for _, message := range pending {
			if message.at > fleet.now {
				fleet.messages = append(fleet.messages, message)
				continue
			}
			fleet.deliver(message)
		}
		for _, host := range fleet.hosts {
			if host.isRunning(fleet.now) {
				fleet.step(host)
			}
		}
	}
}

// mostInWindow returns the most requests that were sent in any window that begins after a time.
func (fleet *simFleet) mostInWindow(after cherrykeel.Instant) int {
	most, first := 0, 0
	for i, sentAt := range fleet.sent {
		if sentAt < after {
			first = i + 1
			continue
		}
		for sentAt.Sub(fleet.sent[first]) >= windowLength {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// usedShare returns the share of the limit that was used between two times.
func (fleet *simFleet) usedShare(from, until cherrykeel.Instant) float64 {
	used := 0
	for _, sentAt := range fleet.sent {
		if sentAt >= from && sentAt < until {
			used++
		}
	}
	return float64(used) / (fleet.limit * until.Sub(from).Seconds())
}
