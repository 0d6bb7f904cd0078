package flow

import (
	"sort"
	"time"

	"cherrykeel"
)

// Service schedules the requests to one service. It is not safe for use by several goroutines.
type Service struct {
	discipline discipline
	members    map[string]*member
	waiting    []*Ticket
	works      works
	arrivals   uint64
	// target is the time to the target that the last request had.
	target time.Duration
	random func() float64
	// doubt is how far counts are wrong.
	doubt  doubt
	trials trials
}

// New returns a scheduler for a service; owner is nil unless its keys are divided.
func New(zone string, owner func(key int) Owner, random func() float64) *Service {
	service := &Service{members: map[string]*member{}, random: random}
	all := &shared{service: service, zone: zone}
	service.discipline = all
	if owner != nil {
		service.discipline = &owned{service: service, find: owner, keyless: all}
	}
	return service
}

// SetUpstreams replaces the upstreams that may get requests; those that leave are not among them.
func (service *Service) SetUpstreams(upstreams []cherrykeel.Upstream, now cherrykeel.Instant) {
	members := map[string]*member{}
	for _, upstream := range upstreams {
		old, known := service.members[upstream.ID]
		if !known || old.upstream.StartedAt != upstream.StartedAt {
			// Another life of an upstream knows nothing, and nothing that was learned is about it.
			old = &member{decayed: now}
			if service.answered() {
				old.tryAt = now.Add(time.Duration(service.random() * float64(newcomerWithin)))
			}
		}
		old.upstream = upstream
		members[upstream.ID] = old
	}
	service.members = members
	service.works = works{}
	for _, member := range members {
		service.works.add(member.work)
	}
	service.discipline.changed()
	service.Dispatch(now)
}

// answered reports whether any upstream has answered yet. Before that all are unknown, and none has joined.
func (service *Service) answered() bool {
	return service.works.known > 0
}

// usual is the mean work time over the upstreams that have answered.
func (service *Service) usual() time.Duration {
	return service.works.mean()
}

// SetRemoteCounts replaces what the other hosts say: requests at upstreams, and requests waiting.
func (service *Service) SetRemoteCounts(running, waiting map[string]int, total int, now cherrykeel.Instant) {
	for id, member := range service.members {
		member.count(running[id], waiting[id], now)
	}
	service.discipline.setOthers(total)
	service.discipline.observe(now)
	service.Dispatch(now)
}

// Running returns this host's requests by upstream.
func (service *Service) Running() map[string]int {
	running := map[string]int{}
	for id, member := range service.members {
		if member.own > 0 {
			running[id] = member.own
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
	return service.discipline.waitingFor(), len(service.waiting)
}

// HasWaiting reports whether any request waits.
func (service *Service) HasWaiting() bool {
	return len(service.waiting) > 0
}

// ProcessingTimes returns the mean time that a request spends in a slot of each upstream that has answered.
func (service *Service) ProcessingTimes() map[string]time.Duration {
	times := map[string]time.Duration{}
	for id, member := range service.members {
		if member.work > 0 {
			times[id] = member.work.Round(time.Millisecond)
		}
	}
	return times
}

// Submit gives a ticket a place, lets it wait, or refuses it at once; Wake tells which, now or later.
func (service *Service) Submit(ticket *Ticket, now cherrykeel.Instant) {
	service.arrivals++
	service.target = ticket.Target.Sub(ticket.Arrived)
	ticket.order = service.arrivals
	service.discipline.count()
	answer := now.Add(service.discipline.wait(ticket, now))
	stood := service.discipline.standing(ticket).note(ticket, answer, now)
	place := service.discipline.place(ticket, now)
	if place != nil && !service.overtakes(ticket) {
		ticket.Notify(service.granted(ticket, place, now))
		return
	}
	member := service.trial(ticket, now)
	if member != nil {
		ticket.Notify(service.grantedTrial(ticket, member, now))
		return
	}
	reason, refused := service.refuse(ticket, answer, stood, now)
	if refused {
		ticket.Notify(service.refusal(ticket, reason, now))
		return
	}
	service.insert(ticket)
}

// refuse reports whether a ticket that finds no place should not even wait.
func (service *Service) refuse(ticket *Ticket, answer cherrykeel.Instant, stood time.Duration, now cherrykeel.Instant) (Reason, bool) {
	switch {
	case len(service.members) == 0:
		return NoUpstream, true
	case service.allClosed(now):
		return Evacuated, true
	case service.discipline.hopeless(ticket, now):
		return TooLate, true
	case answer > ticket.latest(stood):
		return Crowded, true
	default:
		return "", false
	}
}

// allClosed reports whether every upstream is in an availability zone that is evacuated.
func (service *Service) allClosed(now cherrykeel.Instant) bool {
	for _, member := range service.members {
		if !member.closed(now) {
			return false
		}
	}
	return len(service.members) > 0
}

// overtakes reports whether a waiting request should go before the ticket.
func (service *Service) overtakes(ticket *Ticket) bool {
	for _, other := range service.waiting {
		if other.before(ticket) && service.discipline.rivals(other, ticket) {
			return true
		}
	}
	return false
}

func (service *Service) insert(ticket *Ticket) {
	i := sort.Search(len(service.waiting), func(i int) bool { return ticket.before(service.waiting[i]) })
	service.waiting = append(service.waiting, nil)
	copy(service.waiting[i+1:], service.waiting[i:])
	service.waiting[i] = ticket
}

// Cancel takes back a ticket whose caller has gone; it reports false if the ticket was woken already.
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
	service.discipline.count()
	kept := make([]*Ticket, 0, len(service.waiting))
	var woken []func()
	for _, ticket := range service.waiting {
		verdict, done := service.decide(ticket, now)
		if !done {
			kept = append(kept, ticket)
			continue
		}
		woken = append(woken, func() { ticket.Notify(verdict) })
	}
	service.waiting = kept
	for _, wake := range woken {
		wake()
	}
}

func (service *Service) decide(ticket *Ticket, now cherrykeel.Instant) (Decision, bool) {
	member := service.discipline.place(ticket, now)
	if member != nil {
		return service.granted(ticket, member, now), true
	}
	if service.allClosed(now) {
		return service.refusal(ticket, Evacuated, now), true
	}
	if service.discipline.hopeless(ticket, now) {
		return service.refusal(ticket, TooLate, now), true
	}
	return Decision{}, false
}

func (service *Service) granted(ticket *Ticket, member *member, now cherrykeel.Instant) Decision {
	inputs := service.inputs(ticket, member, now)
	inputs.TimeToAnswer = member.expected(service.usual(), now)
	return Decision{Slot: member.take(ticket, now), Inputs: inputs}
}

func (service *Service) refusal(ticket *Ticket, reason Reason, now cherrykeel.Instant) Decision {
	owner := service.discipline.owner(ticket)
	inputs := service.inputs(ticket, service.members[owner.ID], now)
	inputs.Ahead = service.discipline.ahead(ticket)
	inputs.TimeToAnswer = service.discipline.wait(ticket, now)
	return Decision{Reason: reason, Inputs: inputs}
}

// inputs gathers what is known of the upstream in question, which may be nil.
func (service *Service) inputs(ticket *Ticket, member *member, now cherrykeel.Instant) Inputs {
	owner := service.discipline.owner(ticket)
	inputs := Inputs{Owner: owner.ID, InTransfer: owner.InTransfer, Fence: owner.Fence, ProcessingTime: service.usual()}
	if member != nil {
		inputs.Load = member.load()
		inputs.RemoteLoad = member.others
		inputs.ProcessingTime = member.workTime(inputs.ProcessingTime, now)
	}
	return inputs
}

func (member *member) take(ticket *Ticket, now cherrykeel.Instant) *Slot {
	member.own++
	member.sentAt = now
	member.tryAt = 0
	if member.upstream.IsColdLimited(now) {
		member.sent.Record(now)
	}
	return &Slot{Upstream: member.upstream, Load: member.load(), StartedAt: now, Deadline: ticket.Deadline, member: member}
}

// Release ends a place and gives it to the next request.
func (service *Service) Release(place *Slot, ending Result, load cherrykeel.UpstreamLoad, now cherrykeel.Instant) {
	member := place.member
	member.own--
	member.decay(now)
	switch ending {
	case Answered:
		member.answers++
		member.breaks = 0
		service.learn(place, max(place.Load, load.Running+load.Waiting), now)
	case Failed, Refused:
		member.failures++
	case Unreachable:
		member.failures++
		member.broke(now)
	case Abandoned:
	}
	if load.Known {
		service.doubt.note(member.load(), load.Running+load.Waiting-1, member.upstream.Slots)
		member.tell(load, now)
	}
	service.Dispatch(now)
}

// learn takes the time of an answer, unless its upstream has left meanwhile.
//
// An attempt ends when its request's time is up. An answer that is read later was there before: this host stood still, or
// had no processor. One that stood still for 6 s believed that its upstreams were as slow, so such an answer tells of no more
// than the request's time, and of that little.
func (service *Service) learn(place *Slot, load int, now cherrykeel.Instant) {
	member := place.member
	if service.members[member.upstream.ID] != member {
		return
	}
	took, weight := now.Sub(place.StartedAt), workWeight
	given := place.Deadline.Sub(place.StartedAt)
	if took > given {
		took, weight = given, lateWeight
	} else if place.Probe {
		service.noteTrial(place, now)
	}
	service.works.remove(member.work)
	member.learn(took, load, weight)
	service.works.add(member.work)
}
