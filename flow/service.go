package flow

import (
	"sort"
	"time"

	"cherrykeel"
)

// Service schedules the requests to one service. It is not safe for concurrent use.
type Service struct {
	// discipline chooses upstreams: for all requests from one queue, or for each key from its owner's queue.
	discipline discipline
	// members holds the state of each upstream by its ID.
	members map[string]*member
	// waiting holds the waiting tickets in the order in which they are served.
	waiting []*Ticket
	// processingTimes is the mean processing time over the upstreams that have answered.
	processingTimes processingTimes
	// arrivals numbers the tickets in the order of their arrival.
	arrivals uint64
	// target is the time from arrival to target of the last ticket that was submitted.
	target time.Duration
	// random returns a number in [0, 1).
	random func() float64
	// uncertainty is the error of the request counts.
	uncertainty uncertainty
	// probes limits requests that are sent although the estimate rules out an answer in time.
	probes probes
	// rests holds until when upstreams want no request from this host.
	rests rests
	// hasLimits is set while an upstream names a limit.
	hasLimits bool
	// spare is the upstream that a permit is wanted for though no request waits for it; spareWantedAt is when it was.
	spare         *member
	spareWantedAt cherrykeel.Instant
}

// New returns a scheduler for a service on a host in the given availability zone. findOwner returns the owner of a key;
// it is nil unless the service's keys are divided among its upstreams.
func New(zone string, findOwner func(key int) Owner, random func() float64) *Service {
	service := &Service{members: map[string]*member{}, rests: rests{}, random: random}
	keyless := &shared{service: service, zone: zone}
	service.discipline = keyless
	if findOwner != nil {
		service.discipline = &owned{service: service, findOwner: findOwner, keyless: keyless}
	}
	return service
}

// SetUpstreams replaces the upstreams that may get requests. Upstreams that are shutting down must not be among them.
func (service *Service) SetUpstreams(upstreams []cherrykeel.Upstream, now cherrykeel.Instant) {
	service.rests.dropEnded(now)
	members := map[string]*member{}
	for _, upstream := range upstreams {
		current, known := service.members[upstream.ID]
		if !known || current.upstream.StartedAt != upstream.StartedAt {
			// A new incarnation runs none of the previous one's requests, and nothing learned about that one applies to
			// it.
			if known {
				service.rests.carryOver(incarnationOf(current.upstream), incarnationOf(upstream))
			}
			current = &member{decayedAt: now, restUntil: service.rests[incarnationOf(upstream)].until}
			if service.hasAnswers() {
				current.firstSendAt = now.Add(time.Duration(service.random() * float64(firstSendSpread)))
			}
		}
		current.upstream = upstream
		members[upstream.ID] = current
	}
	service.members = members
	service.processingTimes = processingTimes{}
	service.hasLimits = false
	for _, member := range members {
		service.processingTimes.add(member.processingTime)
		service.hasLimits = service.hasLimits || member.upstream.HasRateLimit
	}
	service.discipline.upstreamsChanged()
	service.Dispatch(now)
}

// hasAnswers reports whether any upstream has answered yet. Before that, all upstreams are unknown, and none counts as
// newly joined.
func (service *Service) hasAnswers() bool {
	return service.processingTimes.count > 0
}

// meanProcessingTime returns the mean over the upstreams that have answered, or a default if none has.
func (service *Service) meanProcessingTime() time.Duration {
	return service.processingTimes.mean()
}

// SetRemoteCounts replaces the counts that the other hosts have reported: requests at each upstream, requests that wait
// for each owner, and the total of waiting requests.
func (service *Service) SetRemoteCounts(running, waiting map[string]int, total int, now cherrykeel.Instant) {
	for id, member := range service.members {
		member.setRemoteCounts(running[id], waiting[id], now)
	}
	service.discipline.setRemoteWaiting(total)
	service.discipline.observeQueues(now)
	service.Dispatch(now)
}

// Running returns the number of this host's requests at each upstream that has any.
func (service *Service) Running() map[string]int {
	running := map[string]int{}
	for id, member := range service.members {
		if member.localLoad > 0 {
			running[id] = member.localLoad
		}
	}
	return running
}

// HasFullUpstream reports whether an upstream that is neither leaving nor in an evacuated availability zone has no free
// slot.
func (service *Service) HasFullUpstream() bool {
	for _, member := range service.members {
		if !member.upstream.IsClosing() && member.load() >= member.upstream.Slots {
			return true
		}
	}
	return false
}

// Waiting returns the number of this host's waiting requests by owner, and their total.
func (service *Service) Waiting() (map[string]int, int) {
	return service.discipline.waitingByOwner(), len(service.waiting)
}

// HasWaiting reports whether any request of this host waits.
func (service *Service) HasWaiting() bool {
	return len(service.waiting) > 0
}

// ProcessingTimes returns the mean processing time of each upstream that has answered.
func (service *Service) ProcessingTimes() map[string]time.Duration {
	times := map[string]time.Duration{}
	for id, member := range service.members {
		if member.processingTime > 0 {
			times[id] = member.processingTime.Round(time.Millisecond)
		}
	}
	return times
}

// Submit assigns a slot to a ticket, queues the ticket, or refuses it at once. The decision is passed to the ticket's
// Notify, at once or later.
func (service *Service) Submit(ticket *Ticket, now cherrykeel.Instant) {
	service.arrivals++
	service.target = ticket.Target.Sub(ticket.Arrived)
	ticket.order = service.arrivals
	ticket.latestSend = service.latestSend(ticket, now)
	service.discipline.refreshCounts()
	answerAt := now.Add(service.discipline.estimateTimeToAnswer(ticket, now))
	standingFor := service.discipline.queueFor(ticket).recordArrival(ticket, answerAt, now)
	chosen := service.discipline.chooseUpstream(ticket, now)
	if chosen != nil && !service.isOvertaken(ticket) {
		service.wantSpare(ticket, now)
		ticket.Notify(service.assignSlot(ticket, chosen, now))
		return
	}
	member := service.chooseProbe(ticket, now)
	if member != nil {
		ticket.Notify(service.assignProbeSlot(ticket, member, now))
		return
	}
	reason, refused := service.refusalReason(ticket, answerAt, standingFor, now)
	if refused {
		ticket.Notify(service.newRefusal(ticket, reason, now))
		return
	}
	service.enqueue(ticket)
}

// refusalReason reports whether a ticket that gets no slot now is refused instead of queued, and why. Its answer is
// expected at answerAt, or later by the rest that is left, and its queue has been standing for standingFor.
func (service *Service) refusalReason(ticket *Ticket, answerAt cherrykeel.Instant, standingFor time.Duration, now cherrykeel.Instant) (Reason, bool) {
	switch {
	case len(service.members) == 0:
		return NoUpstream, true
	case service.areAllClosed(now):
		return service.closedReason(now), true
	case service.discipline.willMissDeadline(ticket, now):
		return TooLate, true
	case service.restsTooLongFor(ticket, answerAt.Sub(now), now):
		return service.heldBackReason(ticket, now), true
	case service.isBeyondLimit(ticket, now):
		return Limited, true
	case answerAt > ticket.latestAnswer(standingFor):
		return service.crowdedReason(ticket, now), true
	default:
		return "", false
	}
}

// areAllClosed reports whether every upstream is leaving or in an evacuated availability zone. It is false if there is
// no upstream.
func (service *Service) areAllClosed(now cherrykeel.Instant) bool {
	for _, member := range service.members {
		if !member.isClosed(now) {
			return false
		}
	}
	return len(service.members) > 0
}

// closedReason returns why every upstream is closed.
func (service *Service) closedReason(now cherrykeel.Instant) Reason {
	for _, member := range service.members {
		if !member.upstream.IsEvacuated(now) {
			return Leaving
		}
	}
	return Evacuated
}

// isOvertaken reports whether a waiting request that competes with the ticket goes before it.
func (service *Service) isOvertaken(ticket *Ticket) bool {
	for _, other := range service.waiting {
		if other.isBefore(ticket) && service.discipline.isCompeting(other, ticket) {
			return true
		}
	}
	return false
}

// enqueue inserts a ticket into the waiting tickets at its place in their order.
func (service *Service) enqueue(ticket *Ticket) {
	i := sort.Search(len(service.waiting), func(i int) bool { return ticket.isBefore(service.waiting[i]) })
	service.waiting = append(service.waiting, nil)
	copy(service.waiting[i+1:], service.waiting[i:])
	service.waiting[i] = ticket
}

// Cancel removes a waiting ticket whose caller has left. It returns false if the ticket does not wait any more because
// its decision has been made.
func (service *Service) Cancel(ticket *Ticket) bool {
	for i, other := range service.waiting {
		if other == ticket {
			service.waiting = append(service.waiting[:i], service.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Dispatch assigns slots to waiting requests in their order, and refuses those that can no longer meet their deadline.
func (service *Service) Dispatch(now cherrykeel.Instant) {
	if len(service.waiting) == 0 {
		return
	}
	service.discipline.refreshCounts()
	kept := make([]*Ticket, 0, len(service.waiting))
	var callbacks []func()
	for _, ticket := range service.waiting {
		decision, decided := service.decide(ticket, now)
		if !decided {
			kept = append(kept, ticket)
			continue
		}
		callbacks = append(callbacks, func() { ticket.Notify(decision) })
	}
	service.waiting = kept
	for _, notify := range callbacks {
		notify()
	}
}

// decide returns the decision on a waiting ticket, or false if the ticket has to keep waiting.
func (service *Service) decide(ticket *Ticket, now cherrykeel.Instant) (Decision, bool) {
	member := service.discipline.chooseUpstream(ticket, now)
	if member != nil {
		return service.assignSlot(ticket, member, now), true
	}
	if service.areAllClosed(now) {
		return service.newRefusal(ticket, service.closedReason(now), now), true
	}
	if service.discipline.willMissDeadline(ticket, now) {
		return service.newRefusal(ticket, TooLate, now), true
	}
	if service.RestsTooLong(ticket, now) {
		return service.newRefusal(ticket, service.heldBackReason(ticket, now), now), true
	}
	if service.isBeyondLimit(ticket, now) {
		return service.newRefusal(ticket, Limited, now), true
	}
	return Decision{}, false
}

// assignSlot returns the decision that gives a ticket a slot at an upstream.
func (service *Service) assignSlot(ticket *Ticket, member *member, now cherrykeel.Instant) Decision {
	inputs := service.inputs(ticket, member, now)
	inputs.TimeToAnswer = member.expectedTime(service.meanProcessingTime(), now)
	return Decision{Slot: member.acquireSlot(ticket, now), Inputs: inputs}
}

// newRefusal returns the decision that refuses a ticket.
func (service *Service) newRefusal(ticket *Ticket, reason Reason, now cherrykeel.Instant) Decision {
	owner := service.discipline.owner(ticket)
	inputs := service.inputs(ticket, service.members[owner.ID], now)
	inputs.Ahead = service.discipline.countAhead(ticket)
	inputs.TimeToAnswer = service.discipline.estimateTimeToAnswer(ticket, now)
	inputs.RestLeft = service.RestLeft(ticket, now)
	return Decision{Reason: reason, Inputs: inputs}
}

// inputs returns the figures behind a decision about an upstream, which may be nil.
func (service *Service) inputs(ticket *Ticket, member *member, now cherrykeel.Instant) Inputs {
	owner := service.discipline.owner(ticket)
	inputs := Inputs{Owner: owner.ID, InTransfer: owner.InTransfer, Fence: owner.Fence, ProcessingTime: service.meanProcessingTime()}
	if member != nil {
		inputs.Load = member.load()
		inputs.RemoteLoad = member.remoteLoad
		inputs.ProcessingTime = member.expectedProcessingTime(inputs.ProcessingTime, now)
		inputs.RateLimit = member.upstream.RateLimit
	}
	return inputs
}

// acquireSlot counts a request that this host sends to the upstream now.
func (member *member) acquireSlot(ticket *Ticket, now cherrykeel.Instant) *Slot {
	member.localLoad++
	member.lastSentAt = now
	member.firstSendAt = 0
	if member.upstream.IsColdLimited(now) {
		member.sendWindow.Record(now)
	}
	if member.upstream.HasRateLimit {
		member.permits.Take(now)
	}
	return &Slot{Upstream: member.upstream, Load: member.load(), StartedAt: now, Deadline: ticket.Deadline, member: member}
}

// Release ends the use of a slot and records the result and the load that the upstream reported with it. Then it
// assigns slots to waiting requests.
func (service *Service) Release(slot *Slot, result Result, load cherrykeel.UpstreamLoad, now cherrykeel.Instant) {
	member := slot.member
	member.localLoad--
	member.decayCounts(now)
	switch result {
	case Answered:
		member.answers++
		member.connectFailures = 0
		service.recordAnswer(slot, max(slot.Load, load.Running+load.Waiting), now)
	case Failed, Refused:
		member.failures++
	case Unreachable:
		member.failures++
		member.recordConnectFailure(now)
	case Abandoned:
	}
	if load.Known {
		service.uncertainty.record(member.load(), load.Running+load.Waiting-1, member.upstream.Slots)
		member.recordReportedLoad(load, now)
	}
	service.Dispatch(now)
}

// recordAnswer records the processing time of an answer, unless its upstream has been removed or replaced since.
//
// An attempt is canceled at its request's deadline, so an answer that is read later had already arrived: this host was
// suspended or got no CPU time. If the whole time counted, a host suspended for 6 s would take its upstreams to be that
// slow. So for such an answer only the time until the deadline counts, with a low weight.
func (service *Service) recordAnswer(slot *Slot, load int, now cherrykeel.Instant) {
	member := slot.member
	if service.members[member.upstream.ID] != member {
		return
	}
	took, weight := now.Sub(slot.StartedAt), answerWeight
	allowed := slot.Deadline.Sub(slot.StartedAt)
	if took > allowed {
		took, weight = allowed, lateAnswerWeight
	} else if slot.Probe {
		service.recordProbeAnswered(slot, now)
	}
	service.processingTimes.remove(member.processingTime)
	member.recordProcessingTime(took, load, weight)
	service.processingTimes.add(member.processingTime)
}
