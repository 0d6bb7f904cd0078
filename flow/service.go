package flow

import (
	"sort"
	"time"

	"cherrykeel"
)

// Service schedules the requests to one service. It is not safe for use by several goroutines.
type Service struct {
	discipline      discipline
	members         map[string]*member
	waiting         []*Ticket
	processingTimes processingTimes
	arrivals        uint64
	// target is the time to the target that the last request had.
	target time.Duration
	random func() float64
	// uncertainty is how far counts are wrong.
	uncertainty uncertainty
	probes      probes
}

// New returns a scheduler for a service; owner is nil unless its keys are divided.
func New(zone string, findOwner func(key int) Owner, random func() float64) *Service {
	service := &Service{members: map[string]*member{}, random: random}
	keyless := &shared{service: service, zone: zone}
	service.discipline = keyless
	if findOwner != nil {
		service.discipline = &owned{service: service, findOwner: findOwner, keyless: keyless}
	}
	return service
}

// SetUpstreams replaces the upstreams that may get requests; those that leave are not among them.
func (service *Service) SetUpstreams(upstreams []cherrykeel.Upstream, now cherrykeel.Instant) {
	members := map[string]*member{}
	for _, upstream := range upstreams {
		current, known := service.members[upstream.ID]
		if !known || current.upstream.StartedAt != upstream.StartedAt {
			// Another life of an upstream knows nothing, and nothing that was learned is about it.
			current = &member{decayedAt: now}
			if service.hasAnswers() {
				current.firstSendAt = now.Add(time.Duration(service.random() * float64(firstSendSpread)))
			}
		}
		current.upstream = upstream
		members[upstream.ID] = current
	}
	service.members = members
	service.processingTimes = processingTimes{}
	for _, member := range members {
		service.processingTimes.add(member.processingTime)
	}
	service.discipline.upstreamsChanged()
	service.Dispatch(now)
}

// hasAnswers reports whether any upstream has hasAnswers yet. Before that all are unknown, and none has joined.
func (service *Service) hasAnswers() bool {
	return service.processingTimes.count > 0
}

// meanProcessingTime is the mean work time over the upstreams that have answered.
func (service *Service) meanProcessingTime() time.Duration {
	return service.processingTimes.mean()
}

// SetRemoteCounts replaces what the other hosts say: requests at upstreams, and requests waiting.
func (service *Service) SetRemoteCounts(running, waiting map[string]int, total int, now cherrykeel.Instant) {
	for id, member := range service.members {
		member.setRemoteCounts(running[id], waiting[id], now)
	}
	service.discipline.setRemoteWaiting(total)
	service.discipline.observeQueues(now)
	service.Dispatch(now)
}

// Running returns this host's requests by upstream.
func (service *Service) Running() map[string]int {
	running := map[string]int{}
	for id, member := range service.members {
		if member.localLoad > 0 {
			running[id] = member.localLoad
		}
	}
	return running
}

// HasFullUpstream reports whether some upstream has no free slot.
func (service *Service) HasFullUpstream() bool {
	for _, member := range service.members {
		if member.upstream.EvacuateAt == 0 && member.load() >= member.upstream.Slots {
			return true
		}
	}
	return false
}

// Waiting returns this host's waiting requests by owner, and in all.
func (service *Service) Waiting() (map[string]int, int) {
	return service.discipline.waitingByOwner(), len(service.waiting)
}

// HasWaiting reports whether any request waits.
func (service *Service) HasWaiting() bool {
	return len(service.waiting) > 0
}

// ProcessingTimes returns the mean time that a request spends in a slot of each upstream that has answered.
func (service *Service) ProcessingTimes() map[string]time.Duration {
	times := map[string]time.Duration{}
	for id, member := range service.members {
		if member.processingTime > 0 {
			times[id] = member.processingTime.Round(time.Millisecond)
		}
	}
	return times
}

// Submit gives a ticket a place, lets it wait, or refuses it at once; Wake tells which, now or later.
func (service *Service) Submit(ticket *Ticket, now cherrykeel.Instant) {
	service.arrivals++
	service.target = ticket.Target.Sub(ticket.Arrived)
	ticket.order = service.arrivals
	service.discipline.refreshCounts()
	answerAt := now.Add(service.discipline.estimateTimeToAnswer(ticket, now))
	standingFor := service.discipline.queueFor(ticket).recordArrival(ticket, answerAt, now)
	chosen := service.discipline.chooseUpstream(ticket, now)
	if chosen != nil && !service.isOvertaken(ticket) {
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

// refusalReason reports whether a ticket that finds no place should not even wait.
func (service *Service) refusalReason(ticket *Ticket, answerAt cherrykeel.Instant, standingFor time.Duration, now cherrykeel.Instant) (Reason, bool) {
	switch {
	case len(service.members) == 0:
		return NoUpstream, true
	case service.areAllClosed(now):
		return Evacuated, true
	case service.discipline.willMissDeadline(ticket, now):
		return TooLate, true
	case answerAt > ticket.latestAnswer(standingFor):
		return Crowded, true
	default:
		return "", false
	}
}

// areAllClosed reports whether every upstream is in an availability zone that is evacuated.
func (service *Service) areAllClosed(now cherrykeel.Instant) bool {
	for _, member := range service.members {
		if !member.isClosed(now) {
			return false
		}
	}
	return len(service.members) > 0
}

// isOvertaken reports whether a waiting request should go before the ticket.
func (service *Service) isOvertaken(ticket *Ticket) bool {
	for _, other := range service.waiting {
		if other.isBefore(ticket) && service.discipline.isCompeting(other, ticket) {
			return true
		}
	}
	return false
}

func (service *Service) enqueue(ticket *Ticket) {
	i := sort.Search(len(service.waiting), func(i int) bool { return ticket.isBefore(service.waiting[i]) })
	service.waiting = append(service.waiting, nil)
	copy(service.waiting[i+1:], service.waiting[i:])
	service.waiting[i] = ticket
}

// Cancel takes back a ticket whose caller has gone; it reports false if the ticket was callbacks already.
func (service *Service) Cancel(ticket *Ticket) bool {
	for i, other := range service.waiting {
		if other == ticket {
			service.waiting = append(service.waiting[:i], service.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Dispatch gives places to waiting requests in their order and refuses those that became hopeless.
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

func (service *Service) decide(ticket *Ticket, now cherrykeel.Instant) (Decision, bool) {
	member := service.discipline.chooseUpstream(ticket, now)
	if member != nil {
		return service.assignSlot(ticket, member, now), true
	}
	if service.areAllClosed(now) {
		return service.newRefusal(ticket, Evacuated, now), true
	}
	if service.discipline.willMissDeadline(ticket, now) {
		return service.newRefusal(ticket, TooLate, now), true
	}
	return Decision{}, false
}

func (service *Service) assignSlot(ticket *Ticket, member *member, now cherrykeel.Instant) Decision {
	inputs := service.inputs(ticket, member, now)
	inputs.TimeToAnswer = member.expectedTime(service.meanProcessingTime(), now)
	return Decision{Slot: member.acquireSlot(ticket, now), Inputs: inputs}
}

func (service *Service) newRefusal(ticket *Ticket, reason Reason, now cherrykeel.Instant) Decision {
	owner := service.discipline.owner(ticket)
	inputs := service.inputs(ticket, service.members[owner.ID], now)
	inputs.Ahead = service.discipline.countAhead(ticket)
	inputs.TimeToAnswer = service.discipline.estimateTimeToAnswer(ticket, now)
	return Decision{Reason: reason, Inputs: inputs}
}

// inputs gathers what is known of the upstream in question, which may be nil.
func (service *Service) inputs(ticket *Ticket, member *member, now cherrykeel.Instant) Inputs {
	owner := service.discipline.owner(ticket)
	inputs := Inputs{Owner: owner.ID, InTransfer: owner.InTransfer, Fence: owner.Fence, ProcessingTime: service.meanProcessingTime()}
	if member != nil {
		inputs.Load = member.load()
		inputs.RemoteLoad = member.remoteLoad
		inputs.ProcessingTime = member.expectedProcessingTime(inputs.ProcessingTime, now)
	}
	return inputs
}

func (member *member) acquireSlot(ticket *Ticket, now cherrykeel.Instant) *Slot {
	member.localLoad++
	member.lastSentAt = now
	member.firstSendAt = 0
	if member.upstream.IsColdLimited(now) {
		member.sendWindow.Record(now)
	}
	return &Slot{Upstream: member.upstream, Load: member.load(), StartedAt: now, Deadline: ticket.Deadline, member: member}
}

// Release ends a place and gives it to the next request.
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

// recordAnswer takes the time of an answer, unless its upstream has left meanwhile.
//
// An attempt ends when its request's time is up. An answer that is read later was there before: this host stood still, or
// had no processor. One that stood still for 6 s believed that its upstreams were as slow, so such an answer tells of no more
// than the request's time, and of that little.
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
