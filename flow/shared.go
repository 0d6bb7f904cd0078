package flow

import (
	"sort"
	"time"

	"cherrykeel"
)

const (
	// costJitter spreads equal choices of several hosts that know the same.
	costJitter = 0.15
	// remoteZonePenalty is the part of the serviceMean time by which an upstream in another zone has to be faster. The way
	// there and back is 1 to 3 ms; the rest is for the bytes between zones, which have a price.
	remoteZonePenalty = 0.25
	// sampleSize is how many upstreams of this availability zone a request may go to while counts say little, sampled anew for
	// each: hosts that all take the upstream with the lowest count overrun it.
	sampleSize = 2
	// remoteZoneSampleSize is how many of the other zones it may go to instead, if this zone has any.
	remoteZoneSampleSize = 1
	// firstSendSpread spreads over time when the hosts of an availability zone try an upstream that has joined.
	// With 18 hosts and a cold upstream that takes 0.46 s a request, that is some three requests at once.
	firstSendSpread = 3 * time.Second
)

// shared lets all requests wait in one queue for any upstream.
type shared struct {
	service *Service
	zone    string
	// members are the service's in order of their IDs.
	members []*member
	// remoteWaiting counts what waits at the other hosts.
	remoteWaiting int
	queue         standingQueue
}

func (shared *shared) upstreamsChanged() {
	shared.members = shared.members[:0]
	for _, member := range shared.service.members {
		shared.members = append(shared.members, member)
	}
	sort.Slice(shared.members, func(i, j int) bool { return shared.members[i].upstream.ID < shared.members[j].upstream.ID })
}

func (shared *shared) refreshCounts() {}

func (shared *shared) setRemoteWaiting(total int) {
	shared.remoteWaiting = total
}

func (shared *shared) observeQueues(cherrykeel.Instant) {}

func (shared *shared) waitingByOwner() map[string]int {
	return map[string]int{}
}

func (shared *shared) owner(*Ticket) Owner {
	return Owner{}
}

func (shared *shared) isCompeting(_, _ *Ticket) bool {
	return true
}

func (shared *shared) queueFor(*Ticket) *standingQueue {
	return &shared.queue
}

// chooseUpstream returns the upstream that will answer first, failures counted as time.
func (shared *shared) chooseUpstream(ticket *Ticket, now cherrykeel.Instant) *member {
	near, far := shared.candidates(ticket, now)
	for _, member := range near {
		if shared.needsFirstRequest(member, now) {
			return member
		}
	}
	nearFree, farFree := shared.latestReportedFree(near, ticket, now), shared.latestReportedFree(far, ticket, now)
	switch {
	case nearFree != nil:
		return nearFree
	case len(near) == 0 && farFree != nil:
		return farFree
	}
	if shared.service.uncertainty.isHigh() {
		near, far = shared.sampleCandidates(near, far, now)
	}
	if farFree != nil {
		far = []*member{farFree}
	}
	return shared.cheapest(append(near, far...), ticket, now)
}

// latestReportedFree returns the member that has told last that it has a free slot, if it will answer in time: this host knows
// of it before all others, whose counts do not show it for some 200 ms. It returns nil if none has told so lately.
func (shared *shared) latestReportedFree(members []*member, ticket *Ticket, now cherrykeel.Instant) *member {
	serviceMean := shared.service.meanProcessingTime()
	var latest *member
	for _, member := range members {
		if !member.hasReportedFreeSlot(serviceMean, now) || ticket.expiresWithin(member.expectedTime(serviceMean, now), now) {
			continue
		}
		if latest == nil || member.reportedAt > latest.reportedAt {
			latest = member
		}
	}
	return latest
}

// candidates returns the upstreams that may get the ticket, those of this host's availability zone apart.
func (shared *shared) candidates(ticket *Ticket, now cherrykeel.Instant) (near, far []*member) {
	uncertainty := &shared.service.uncertainty
	for _, member := range shared.members {
		switch {
		case !member.canAccept(uncertainty, now) || ticket.wasTried(member.upstream.ID):
		case member.upstream.Zone == shared.zone:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	return near, far
}

// sampleCandidates returns the upstreams that a request may go to while counts say little.
func (shared *shared) sampleCandidates(near, far []*member, now cherrykeel.Instant) ([]*member, []*member) {
	if len(near) == 0 {
		return nil, shared.sample(far, sampleSize, now)
	}
	return shared.sample(near, sampleSize, now), shared.sample(far, remoteZoneSampleSize, now)
}

// sample takes some members, each by what it can do.
func (shared *shared) sample(members []*member, count int, now cherrykeel.Instant) []*member {
	serviceMean := shared.service.meanProcessingTime()
	total := 0.0
	for _, member := range members {
		total += member.rate(serviceMean, now)
	}
	var sampled []*member
	for len(sampled) < count && len(members) > 0 {
		i := shared.pickWeighted(members, total, serviceMean, now)
		total -= members[i].rate(serviceMean, now)
		sampled = append(sampled, members[i])
		members[i] = members[len(members)-1]
		members = members[:len(members)-1]
	}
	return sampled
}

// pickWeighted draws one of the members, whose rates have a total.
func (shared *shared) pickWeighted(members []*member, total float64, serviceMean time.Duration, now cherrykeel.Instant) int {
	remaining := shared.service.random() * total
	for i, member := range members {
		remaining -= member.rate(serviceMean, now)
		if remaining < 0 {
			return i
		}
	}
	return len(members) - 1
}

// cheapest returns the candidate that will answer first, failures counted as time, or nil if none will in time.
func (shared *shared) cheapest(candidates []*member, ticket *Ticket, now cherrykeel.Instant) *member {
	serviceMean := shared.service.meanProcessingTime()
	var best *member
	var bestCost float64
	for _, member := range candidates {
		expected := member.expectedTime(serviceMean, now)
		if ticket.expiresWithin(expected, now) {
			continue
		}
		cost := shared.cost(member, expected, serviceMean, now)
		if best == nil || cost < bestCost {
			best = member
			bestCost = cost
		}
	}
	return best
}

// needsFirstRequest reports whether a request should go to an upstream that has joined and that this host has not
// tried. While the others have free slots an unknown, cold one is never the best choice; 22 of 32 that
// joined 72 hosts' upstreams got nothing in the rest of the day, and nobody learned how fast they are.
func (shared *shared) needsFirstRequest(member *member, now cherrykeel.Instant) bool {
	return member.firstSendAt != 0 && now >= member.firstSendAt && member.upstream.Zone == shared.zone && member.load() < member.upstream.Slots
}

func (shared *shared) cost(member *member, expected, serviceMean time.Duration, now cherrykeel.Instant) float64 {
	if member.upstream.IsColdLimited(now) {
		// Few hosts may send it anything, and what they leave nobody else uses.
		expected /= coldSlowdown
	}
	cost := float64(expected) * (1 + costJitter*shared.service.random())
	cost += float64(failureCost) * member.failureRate(now)
	if member.upstream.Zone != shared.zone {
		cost += remoteZonePenalty * float64(serviceMean)
	}
	return cost
}

func (shared *shared) countAhead(ticket *Ticket) int {
	ahead := shared.remoteWaiting
	for _, other := range shared.service.waiting {
		if other.isBefore(ticket) {
			ahead++
		}
	}
	return ahead
}

func (shared *shared) estimateTimeToAnswer(ticket *Ticket, now cherrykeel.Instant) time.Duration {
	serviceMean := shared.service.meanProcessingTime()
	ahead := shared.countAhead(ticket)
	if ahead == 0 {
		return serviceMean
	}
	rate := 0.0
	for _, member := range shared.members {
		if member.isAvailable(now) && !member.upstream.IsColdLimited(now) {
			rate += float64(member.upstream.Slots) / float64(member.expectedProcessingTime(serviceMean, now))
		}
	}
	if rate == 0 {
		return serviceMean
	}
	return time.Duration(float64(ahead+1)/rate) + serviceMean
}

// chooseProbe returns the upstream that is expected to answer first, unless this host has sent something lately to one that is
// ruled out, whose answer will tell. One that is not is only full, and its answers tell nothing of the others: while it held
// trials back, a restarted upstream that was in use all the time kept all others unused for ever.
func (shared *shared) chooseProbe(ticket *Ticket, now cherrykeel.Instant) *member {
	serviceMean := shared.service.meanProcessingTime()
	var best *member
	var bestCost float64
	for _, member := range shared.members {
		idle := member.isIdle(now)
		if !idle && ticket.expiresWithin(member.expectedProcessingTime(serviceMean, now), now) {
			return nil
		}
		if !member.canAccept(&shared.service.uncertainty, now) {
			continue
		}
		if !member.isRuledOut(ticket, serviceMean, now) {
			return nil
		}
		if !idle {
			continue
		}
		cost := shared.cost(member, member.expectedTime(serviceMean, now), serviceMean, now)
		if best == nil || cost < bestCost {
			best = member
			bestCost = cost
		}
	}
	return best
}

func (shared *shared) willMissDeadline(ticket *Ticket, now cherrykeel.Instant) bool {
	return ticket.expiresWithin(shared.service.meanProcessingTime(), now)
}
