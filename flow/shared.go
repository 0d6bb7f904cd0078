package flow

import (
	"sort"
	"time"

	"cherrykeel"
)

const (
	// jitterShare spreads equal choices of several hosts that know the same.
	jitterShare = 0.15
	// ownZone is the part of the usual time by which an upstream in another zone has to be faster. The way
	// there and back is 1 to 3 ms; the rest is for the bytes between zones, which have a price.
	ownZone = 0.25
	// newcomerWithin spreads over time when the hosts of an availability zone try an upstream that has joined.
	// With 18 hosts and a cold upstream that takes 0.46 s a request, that is some three requests at once.
	newcomerWithin = 3 * time.Second
)

// shared lets all requests wait in one queue for any upstream.
type shared struct {
	service *Service
	zone    string
	// members are the service's in order of their IDs.
	members []*member
	// otherWaiting counts what waits at the other hosts.
	otherWaiting int
	queue        standing
}

func (shared *shared) changed() {
	shared.members = shared.members[:0]
	for _, member := range shared.service.members {
		shared.members = append(shared.members, member)
	}
	sort.Slice(shared.members, func(i, j int) bool { return shared.members[i].upstream.ID < shared.members[j].upstream.ID })
}

func (shared *shared) count() {}

func (shared *shared) setOthers(total int) {
	shared.otherWaiting = total
}

func (shared *shared) observe(cherrykeel.Instant) {}

func (shared *shared) waitingFor() map[string]int {
	return map[string]int{}
}

func (shared *shared) owner(*Ticket) Owner {
	return Owner{}
}

func (shared *shared) rivals(_, _ *Ticket) bool {
	return true
}

func (shared *shared) standing(*Ticket) *standing {
	return &shared.queue
}

// place returns the upstream that will answer first, failures counted as time.
func (shared *shared) place(ticket *Ticket, now cherrykeel.Instant) *member {
	usual := shared.service.usual()
	var best *member
	var bestCost float64
	left := ticket.Deadline.Sub(now)
	for _, member := range shared.members {
		if !member.takes(now) || ticket.tried(member.upstream.ID) {
			continue
		}
		expected := member.expected(usual, now)
		if time.Duration(hopelessShare*float64(expected)) > left {
			continue
		}
		if shared.wantsTry(member, now) {
			return member
		}
		cost := shared.cost(member, expected, usual, now)
		if best == nil || cost < bestCost {
			best = member
			bestCost = cost
		}
	}
	return best
}

// wantsTry reports whether a request should go to an upstream that has joined and that this host has not
// tried. While the others have free slots an unknown, cold one is never the best choice; 22 of 32 that
// joined 72 hosts' upstreams got nothing in the rest of the day, and nobody learned how fast they are.
func (shared *shared) wantsTry(member *member, now cherrykeel.Instant) bool {
	return member.tryAt != 0 && now >= member.tryAt && member.upstream.Zone == shared.zone && member.load() < member.upstream.Slots
}

func (shared *shared) cost(member *member, expected, usual time.Duration, now cherrykeel.Instant) float64 {
	if member.upstream.BoundedAt(now) {
		// Few hosts may send it anything, and what they leave nobody else uses.
		expected /= coldFactor
	}
	cost := float64(expected) * (1 + jitterShare*shared.service.random())
	cost += float64(failureCost) * member.failing(now)
	if member.upstream.Zone != shared.zone {
		cost += ownZone * float64(usual)
	}
	return cost
}

func (shared *shared) ahead(ticket *Ticket) int {
	ahead := shared.otherWaiting
	for _, other := range shared.service.waiting {
		if other.before(ticket) {
			ahead++
		}
	}
	return ahead
}

func (shared *shared) wait(ticket *Ticket, now cherrykeel.Instant) time.Duration {
	usual := shared.service.usual()
	ahead := shared.ahead(ticket)
	if ahead == 0 {
		return usual
	}
	rate := 0.0
	for _, member := range shared.members {
		if member.reachable(now) && !member.upstream.BoundedAt(now) {
			rate += float64(member.upstream.Slots) / float64(member.workTime(usual, now))
		}
	}
	if rate == 0 {
		return usual
	}
	return time.Duration(float64(ahead+1)/rate) + usual
}

func (shared *shared) hopeless(ticket *Ticket, now cherrykeel.Instant) bool {
	return ticket.outlasts(shared.service.usual(), now)
}
