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
	// draws is how many upstreams of this availability zone a request may go to while counts say little, drawn anew for
	// each: hosts that all take the upstream with the lowest count overrun it.
	draws = 2
	// farDraws is how many of the other zones it may go to instead, if this zone has any.
	farDraws = 1
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
	near, far := shared.takers(ticket, now)
	for _, member := range near {
		if shared.wantsTry(member, now) {
			return member
		}
	}
	nearFree, farFree := shared.latestFree(near, ticket, now), shared.latestFree(far, ticket, now)
	switch {
	case nearFree != nil:
		return nearFree
	case len(near) == 0 && farFree != nil:
		return farFree
	}
	if shared.service.doubt.much() {
		near, far = shared.drawn(near, far, now)
	}
	if farFree != nil {
		far = []*member{farFree}
	}
	return shared.cheapest(append(near, far...), ticket, now)
}

// latestFree returns the member that has told last that it has a free slot, if it will answer in time: this host knows
// of it before all others, whose counts do not show it for some 200 ms. It returns nil if none has told so lately.
func (shared *shared) latestFree(members []*member, ticket *Ticket, now cherrykeel.Instant) *member {
	usual := shared.service.usual()
	var latest *member
	for _, member := range members {
		if !member.toldFree(usual, now) || ticket.outlasts(member.expected(usual, now), now) {
			continue
		}
		if latest == nil || member.toldAt > latest.toldAt {
			latest = member
		}
	}
	return latest
}

// takers returns the upstreams that may get the ticket, those of this host's availability zone apart.
func (shared *shared) takers(ticket *Ticket, now cherrykeel.Instant) (near, far []*member) {
	doubt := &shared.service.doubt
	for _, member := range shared.members {
		switch {
		case !member.takes(doubt, now) || ticket.tried(member.upstream.ID):
		case member.upstream.Zone == shared.zone:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	return near, far
}

// drawn returns the upstreams that a request may go to while counts say little.
func (shared *shared) drawn(near, far []*member, now cherrykeel.Instant) ([]*member, []*member) {
	if len(near) == 0 {
		return nil, shared.draw(far, draws, now)
	}
	return shared.draw(near, draws, now), shared.draw(far, farDraws, now)
}

// draw takes some members, each by what it can do.
func (shared *shared) draw(members []*member, count int, now cherrykeel.Instant) []*member {
	usual := shared.service.usual()
	total := 0.0
	for _, member := range members {
		total += member.rate(usual, now)
	}
	var drawn []*member
	for len(drawn) < count && len(members) > 0 {
		i := shared.pick(members, total, usual, now)
		total -= members[i].rate(usual, now)
		drawn = append(drawn, members[i])
		members[i] = members[len(members)-1]
		members = members[:len(members)-1]
	}
	return drawn
}

// pick draws one of the members, whose rates have a total.
func (shared *shared) pick(members []*member, total float64, usual time.Duration, now cherrykeel.Instant) int {
	left := shared.service.random() * total
	for i, member := range members {
		left -= member.rate(usual, now)
		if left < 0 {
			return i
		}
	}
	return len(members) - 1
}

// cheapest returns the candidate that will answer first, failures counted as time, or nil if none will in time.
func (shared *shared) cheapest(candidates []*member, ticket *Ticket, now cherrykeel.Instant) *member {
	usual := shared.service.usual()
	var best *member
	var bestCost float64
	for _, member := range candidates {
		expected := member.expected(usual, now)
		if ticket.outlasts(expected, now) {
			continue
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
	if member.upstream.IsColdLimited(now) {
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
		if member.reachable(now) && !member.upstream.IsColdLimited(now) {
			rate += float64(member.upstream.Slots) / float64(member.workTime(usual, now))
		}
	}
	if rate == 0 {
		return usual
	}
	return time.Duration(float64(ahead+1)/rate) + usual
}

// trial returns the upstream that is expected to answer first, unless this host has sent something lately to one that is
// ruled out, whose answer will tell. One that is not is only full, and its answers tell nothing of the others: while it held
// trials back, a restarted upstream that was in use all the time kept all others unused for ever.
func (shared *shared) trial(ticket *Ticket, now cherrykeel.Instant) *member {
	usual := shared.service.usual()
	var best *member
	var bestCost float64
	for _, member := range shared.members {
		quiet := member.quiet(now)
		if !quiet && ticket.outlasts(member.workTime(usual, now), now) {
			return nil
		}
		if !member.takes(&shared.service.doubt, now) {
			continue
		}
		if !member.ruledOut(ticket, usual, now) {
			return nil
		}
		if !quiet {
			continue
		}
		cost := shared.cost(member, member.expected(usual, now), usual, now)
		if best == nil || cost < bestCost {
			best = member
			bestCost = cost
		}
	}
	return best
}

func (shared *shared) hopeless(ticket *Ticket, now cherrykeel.Instant) bool {
	return ticket.outlasts(shared.service.usual(), now)
}
