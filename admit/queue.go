package admit

import (
	"container/heap"
	"time"

	"cherrykeel"
)

// oldestEvery is how often the request that has waited longest goes first, whatever its
// priority. Requests of low priority so get a tenth of the slots at the least and are not
// starved, and those of high priority lose no more than that to them. Ordering by age plus
// priority was tried first: under overload, aged searches came before fresh lookups.
const oldestEvery = 10

// meanWeight is the weight of the newest service time in the running mean.
const meanWeight = 0.1

// Ticket is one request that asks for admission.
type Ticket struct {
	Priority int
	Arrived  cherrykeel.Instant
	Deadline cherrykeel.Instant
	// Notify is called when the request's turn has come or, with false, when it is refused.
	Notify  func(admitted bool)
	index   int
	removed bool
	// probe says that the mean rules it out.
	probe bool
}

// isBefore reports whether the ticket is to be admitted isBefore the other.
func (ticket *Ticket) isBefore(other *Ticket) bool {
	if ticket.Priority != other.Priority {
		return ticket.Priority < other.Priority
	}
	return ticket.Arrived < other.Arrived
}

// Decision is the answer to an offer.
type Decision int

// The decisions on an offer.
const (
	Admitted Decision = iota
	Queued
	// QueueFull means that the queue is full.
	QueueFull
	// TooLate means that the request's turn would come after its deadline.
	TooLate
)

// Queue admits requests to one upstream. It is not safe for use by several goroutines.
type Queue struct {
	limit      int
	maxWaiting int
	inFlight   int
	waiting    ticketHeap
	// mean is the running mean of the time that a request spends on the upstream.
	mean time.Duration
	// admissions counts admissions of waiting requests.
	admissions int
	// probing says that the request on the upstream is a trial.
	probing bool
}

// NewQueue returns a queue for limit requests at once, which may be 0 for a while, and length waiting ones.
func NewQueue(limit, maxWaiting int) *Queue {
	return &Queue{limit: limit, maxWaiting: maxWaiting}
}

// Resize changes the limits; waiting requests are admitted if there is room now.
func (queue *Queue) Resize(limit, maxWaiting int, now cherrykeel.Instant) {
	queue.limit = limit
	queue.maxWaiting = maxWaiting
	queue.admitWaiting(now)
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
	if queue.inFlight < queue.limit && len(queue.waiting) == 0 {
		queue.inFlight++
		return Admitted
	}
	if now.Add(queue.Wait(ticket)) >= ticket.Deadline {
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

// isIdle reports whether no request is on the upstream, nor waits for it. Then one may wait whatever the mean says: a host that
// stood still took that time for the upstream's own, refused all, asked for no slot, and got none while others had use for them.
func (queue *Queue) isIdle() bool {
	return queue.inFlight == 0 && len(queue.waiting) == 0
}

// Wait estimates how long a ticket's turn and its service will take.
func (queue *Queue) Wait(ticket *Ticket) time.Duration {
	ahead := 0
	for _, other := range queue.waiting {
		if other.isBefore(ticket) {
			ahead++
		}
	}
	turns := ahead/max(1, queue.limit) + 1
	return time.Duration(turns) * queue.mean
}

// Done ends a request that took the given time, and admits the next; 0 stands for one that was not sent.
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

// Cancel takes back a ticket whose caller has gone; it reports false if the ticket was woken already.
func (queue *Queue) Cancel(ticket *Ticket) bool {
	if ticket.removed {
		return false
	}
	queue.remove(ticket)
	return true
}

func (queue *Queue) admitWaiting(now cherrykeel.Instant) {
	for len(queue.waiting) > 0 {
		ticket := queue.next()
		late := now >= ticket.Deadline || !ticket.probe && now.Add(queue.mean) >= ticket.Deadline
		if !late && queue.inFlight >= queue.limit {
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

// next returns the ticket whose turn it is.
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

// displace makes room in a full queue by refusing the last in order, if that is not the newcomer.
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
