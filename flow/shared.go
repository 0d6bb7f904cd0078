package flow

import (
	"sort"
	"time"

	"cherrykeel"
)

const (
	// costJitter is the greatest random addition to a cost, as a share of it. It makes hosts with the same counts
	// choose different upstreams of equal cost.
	costJitter = 0.15
	// remoteZonePenalty is the share of the mean processing time by which an upstream in another availability zone has
	// to be faster. The round trip takes 1 to 3 ms; the rest accounts for the price of traffic between zones.
	remoteZonePenalty = 0.25
	// sampleSize is how many upstreams of this availability zone are considered while counts are uncertain. Each
	// request gets a new sample, because hosts that all choose the upstream with the lowest count overload it.
	sampleSize = 2
	// remoteZoneSampleSize is how many upstreams of other zones are considered in addition, if this zone has
	// candidates.
	remoteZoneSampleSize = 1
	// firstSendSpread is the time over which the hosts of an availability zone spread their first requests to an
	// upstream that has joined. With 18 hosts and a cold upstream that takes 0.46 s for a request, it runs about three
	// of these requests at once.
	firstSendSpread = 3 * time.Second
)

// shared is the discipline of a service without keys: all requests wait in one queue for any upstream.
type shared struct {
	service *Service
	zone    string
	// members are the upstreams of the service in the order of their IDs.
	members []*member
	// remoteWaiting counts the requests that wait at all other hosts.
	remoteWaiting int
	// queue is the state of the queue.
	queue standingQueue
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

// chooseUpstream returns an upstream that is due for its first request, or else one with a reported free slot, or else
// the one that is expected to answer first, with failures counted as time.
func (shared *shared) chooseUpstream(ticket *Ticket, now cherrykeel.Instant) *member {
	near, far := shared.candidates(ticket, now)
	for _, member := range near {
		if shared.needsFirstRequest(member, now) {
			return member
		}
	}
	if limited := shared.untriedLimited(ticket, now); limited != nil {
		return limited
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

// latestReportedFree returns the upstream that reported a free slot last and is expected to answer in time, or nil.
// This host learns of that slot before all others, whose counts show it only about 200 ms later.
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

// candidates returns the upstreams that may get the ticket, in this host's availability zone and in other zones. Those
// that are leaving are among them only if no other may get it.
func (shared *shared) candidates(ticket *Ticket, now cherrykeel.Instant) (near, far []*member) {
	near, far = shared.candidatesThat(false, ticket, now)
	if len(near)+len(far) > 0 {
		return near, far
	}
	return shared.candidatesThat(true, ticket, now)
}

// candidatesThat returns the candidates that are leaving, or those that are not.
func (shared *shared) candidatesThat(leave bool, ticket *Ticket, now cherrykeel.Instant) (near, far []*member) {
	uncertainty := &shared.service.uncertainty
	for _, member := range shared.members {
		switch {
		case member.isLeaving() != leave || !member.canAccept(uncertainty, now) || ticket.excludes(member):
		case member.upstream.Zone == shared.zone:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	return near, far
}

// sampleCandidates returns the upstreams that are considered for a request while counts are uncertain.
func (shared *shared) sampleCandidates(near, far []*member, now cherrykeel.Instant) ([]*member, []*member) {
	if len(near) == 0 {
		return nil, shared.sample(far, sampleSize, now)
	}
	return shared.sample(near, sampleSize, now), shared.sample(far, remoteZoneSampleSize, now)
}

// sample returns up to count different members, chosen at random with their rates as weights. It reorders members.
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

// pickWeighted returns the index of a random member, with the members' rates as weights; total is their sum.
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

// cheapest returns the candidate that is expected to answer first, with failures counted as time, or nil if none is
// expected to answer in time.
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

// needsFirstRequest reports whether this host now sends its first request to an upstream that has joined. Without that,
// an unknown and cold upstream would never be the best choice while others have free slots: 22 of 32 upstreams that
// joined the upstreams of 72 hosts got no request for the rest of the day, so that no host knew their speed.
func (shared *shared) needsFirstRequest(member *member, now cherrykeel.Instant) bool {
	return member.firstSendAt != 0 && now >= member.firstSendAt && member.upstream.Zone == shared.zone && member.load() < member.upstream.Slots
}

// cost returns the time by which candidates are compared: the expected time with jitter, plus penalties for failures
// and for another availability zone.
func (shared *shared) cost(member *member, expected, serviceMean time.Duration, now cherrykeel.Instant) float64 {
	if member.upstream.IsColdLimited(now) {
		// Only few hosts may send to this upstream, and no other host uses what they leave.
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
	start := max(now, shared.restEnd(ticket, now))
	for _, member := range shared.members {
		if member.isAvailable(start) && !member.upstream.IsColdLimited(now) {
			rate += member.rate(serviceMean, now) / float64(time.Second)
		}
	}
	if rate == 0 {
		return serviceMean
	}
	return time.Duration(float64(ahead+1)/rate) + serviceMean
}

// chooseProbe returns the upstream that is expected to answer first, if all that may get requests are ruled out. It
// returns nil if this host has recently sent a request to one that is ruled out, since the answer will show its speed.
// Recent requests to other upstreams do not count: those are only full, and their answers show nothing about the ones
// ruled out. If they held probes back, a restarted upstream that is always in use would keep all others unused forever.
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
