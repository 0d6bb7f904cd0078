package admit

import (
	"container/heap"
	"slices"
	"time"

	"cherrykeel"
)

// oldestEvery is how often the request that has waited longest goes first, regardless of its priority: once in
// oldestEvery admissions. Requests of low priority get at least a tenth of the slots that way and do not starve, and
// those of high priority lose no more than that tenth. An order by age plus priority is worse: under overload, old
// requests of low priority (searches) come before new ones of high priority (lookups).
const oldestEvery = 10

// meanWeight is the weight of the newest processing time in the mean.
const meanWeight = 0.1

// Ticket is a request that needs admission.
type Ticket struct {
	// Priority is lower for requests that go first.
	Priority int
	// Arrived is when the request arrived, Deadline when its answer becomes worthless.
	Arrived  cherrykeel.Instant
	Deadline cherrykeel.Instant
	// Notify is called for a ticket that was queued: with true when the request is admitted, or with false when it is
	// refused.
	Notify func(admitted bool)
	index  int
	// removed is set once the ticket has left the queue.
	removed bool
	// probe is set if the mean processing time rules out an answer in time.
	probe bool
}

// isBefore reports whether the ticket is admitted before another one: by priority, then by time of arrival.
func (ticket *Ticket) isBefore(other *Ticket) bool {
	if ticket.Priority != other.Priority {
		return ticket.Priority < other.Priority
	}
	return ticket.Arrived < other.Arrived
}

// Decision is the result of a submission.
type Decision int

// The decisions on a submission.
const (
	// Admitted means that the request may go to the upstream now.
	Admitted Decision = iota
	// Queued means that the request waits, and that the ticket's Notify is called later.
	Queued
	// QueueFull means that the highest allowed number of requests waits already.
	QueueFull
	// TooLate means that the request cannot meet its deadline.
	TooLate
)

// Queue admits requests to one upstream. It is not safe for concurrent use.
type Queue struct {
	// limit is how many requests may be on the upstream at once, maxWaiting how many may wait.
	limit      int
	maxWaiting int
	inFlight   int
	waiting    ticketHeap
	// pausedUntil is when the queue admits requests again.
	pausedUntil cherrykeel.Instant
	// mean is the running mean of the time that a request spends on the upstream.
	mean time.Duration
	// admissions counts the requests that were admitted after they waited.
	admissions int
	// probing is set while the request that was admitted last is a probe.
	probing bool
}

// NewQueue returns a queue that admits limit requests at once, which may be 0 for a while, and lets maxWaiting wait.
func NewQueue(limit, maxWaiting int) *Queue {
	return &Queue{limit: limit, maxWaiting: maxWaiting}
}

// Resize changes the limits, and admits waiting requests if there is room now.
func (queue *Queue) Resize(limit, maxWaiting int, now cherrykeel.Instant) {
	queue.limit = limit
	queue.maxWaiting = maxWaiting
	queue.admitWaiting(now)
}

// Pause makes the queue admit nothing until an instant, and refuses the waiting requests whose deadline is not later. It
// replaces an earlier pause.
func (queue *Queue) Pause(until cherrykeel.Instant) {
	longer := until > queue.pausedUntil
	queue.pausedUntil = until
	if !longer {
		return
	}
	for _, ticket := range slices.Clone(queue.waiting) {
		if ticket.Deadline <= until {
			queue.remove(ticket)
			ticket.Notify(false)
		}
	}
}

// PauseRemaining returns for how long the queue admits nothing.
func (queue *Queue) PauseRemaining(now cherrykeel.Instant) time.Duration {
	return max(0, queue.pausedUntil.Sub(now))
}

// InFlight returns how many requests are on the upstream.
func (queue *Queue) InFlight() int {
	return queue.inFlight
}

// Waiting returns how many requests wait.
func (queue *Queue) Waiting() int {
	return len(queue.waiting)
}

// Limit returns how many requests may be on the upstream at once.
func (queue *Queue) Limit() int {
	return queue.limit
}

// Submit admits a ticket, queues it, or refuses it at once when waiting cannot help.
func (queue *Queue) Submit(ticket *Ticket, now cherrykeel.Instant) Decision {
	if queue.hasRoom(now) && len(queue.waiting) == 0 {
		queue.inFlight++
		return Admitted
	}
	if now < queue.pausedUntil && queue.pausedUntil >= ticket.Deadline {
		return TooLate
	}
	if max(now, queue.pausedUntil).Add(queue.EstimateWait(ticket)) >= ticket.Deadline {
		if !queue.isIdle() {
			return TooLate
		}
		ticket.probe = true
	}
	if len(queue.waiting) >= queue.maxWaiting && !queue.displace(ticket) {
		return QueueFull
	}
	heap.Push(&queue.waiting, ticket)
	return Queued
}

// hasRoom reports whether a request may go to the upstream now.
func (queue *Queue) hasRoom(now cherrykeel.Instant) bool {
	return queue.inFlight < queue.limit && now >= queue.pausedUntil
}

// isIdle reports whether no request is on the upstream or waits for it. In that case, one request may wait regardless
// of the mean. A host that was suspended takes that time for the upstream's processing time; it would refuse all
// requests, request no slot, and get none while other hosts use them all.
func (queue *Queue) isIdle() bool {
	return queue.inFlight == 0 && len(queue.waiting) == 0
}

// EstimateWait estimates the time until the end of a ticket's request, its own processing time included.
func (queue *Queue) EstimateWait(ticket *Ticket) time.Duration {
	ahead := 0
	for _, other := range queue.waiting {
		if other.isBefore(ticket) {
			ahead++
		}
	}
	turns := ahead/max(1, queue.limit) + 1
	return time.Duration(turns) * queue.mean
}

// Done ends a request that took the given time, 0 if it was not sent, and admits waiting ones.
func (queue *Queue) Done(took time.Duration, now cherrykeel.Instant) {
	queue.inFlight--
	if queue.mean == 0 || queue.probing && took > 0 {
		queue.mean = took
	}
	queue.probing = false
	if took > 0 {
		queue.mean += time.Duration(meanWeight * float64(took-queue.mean))
	}
	queue.admitWaiting(now)
}

// Cancel removes a ticket whose caller has left. It returns false if the ticket does not wait any more because its
// Notify was called.
func (queue *Queue) Cancel(ticket *Ticket) bool {
	if ticket.removed {
		return false
	}
	queue.remove(ticket)
	return true
}

// admitWaiting admits waiting requests while there is room, and refuses those that can no longer meet their deadline.
func (queue *Queue) admitWaiting(now cherrykeel.Instant) {
	for len(queue.waiting) > 0 {
		ticket := queue.next()
		late := now >= ticket.Deadline || !ticket.probe && now.Add(queue.mean) >= ticket.Deadline
		if !late && !queue.hasRoom(now) {
			return
		}
		queue.remove(ticket)
		if !late {
			queue.inFlight++
			queue.admissions++
			queue.probing = ticket.probe
		}
		ticket.Notify(!late)
	}
}

// next returns the ticket that goes next.
func (queue *Queue) next() *Ticket {
	if queue.admissions%oldestEvery != oldestEvery-1 {
		return queue.waiting[0]
	}
	oldest := queue.waiting[0]
	for _, ticket := range queue.waiting {
		if ticket.Arrived < oldest.Arrived {
			oldest = ticket
		}
	}
	return oldest
}

func (queue *Queue) remove(ticket *Ticket) {
	heap.Remove(&queue.waiting, ticket.index)
	ticket.removed = true
}

// displace makes room in a full queue by refusing the ticket that is last in order. It returns false if that is the new
// one.
func (queue *Queue) displace(newcomer *Ticket) bool {
	if len(queue.waiting) == 0 {
		return false
	}
	last := queue.waiting[0]
	for _, ticket := range queue.waiting {
		if last.isBefore(ticket) {
			last = ticket
		}
	}
	if !newcomer.isBefore(last) {
		return false
	}
	queue.remove(last)
	last.Notify(false)
	return true
}

// ticketHeap is a heap of tickets in the order of admission; it implements heap.Interface.
type ticketHeap []*Ticket

func (tickets ticketHeap) Len() int { return len(tickets) }

func (tickets ticketHeap) Less(i, j int) bool { return tickets[i].isBefore(tickets[j]) }

func (tickets ticketHeap) Swap(i, j int) {
	tickets[i], tickets[j] = tickets[j], tickets[i]
	tickets[i].index = i
	tickets[j].index = j
}

func (tickets *ticketHeap) Push(value any) {
	ticket := value.(*Ticket)
	ticket.index = len(*tickets)
	*tickets = append(*tickets, ticket)
}

func (tickets *ticketHeap) Pop() any {
	last := len(*tickets) - 1
	ticket := (*tickets)[last]
	*tickets = (*tickets)[:last]
	return ticket
}
