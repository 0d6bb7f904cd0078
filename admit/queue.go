package admit

import (
	"container/heap"
	"time"

	"cherrykeel"
)

// priorityStep is how much longer a request waits for each step of lower priority.
// Waiting requests are ordered by arrival plus this, so a search of priority 9
// goes after lookups of priority 1 that arrive up to 1.6 s later, and never starves.
const priorityStep = 200 * time.Millisecond

// meanWeight is the weight of the newest service time in the running mean.
const meanWeight = 0.1

// Ticket is one request that asks for admission.
type Ticket struct {
	Priority int
	Arrived  cherrykeel.Instant
	Deadline cherrykeel.Instant
	// Wake is called when the request's turn has come or, with false, when it is refused.
	Wake  func(admitted bool)
	index int
	gone  bool
}

func (ticket *Ticket) rank() cherrykeel.Instant {
	return ticket.Arrived.Add(time.Duration(ticket.Priority) * priorityStep)
}

// Decision is the answer to an offer.
type Decision int

// The decisions on an offer.
const (
	Admitted Decision = iota
	Queued
	// TooLong means that the queue is full.
	TooLong
	// TooLate means that the request's turn would come after its deadline.
	TooLate
)

// Queue admits requests to one upstream. It is not safe for use by several goroutines.
type Queue struct {
	limit    int
	length   int
	inFlight int
	waiting  ticketHeap
	// mean is the running mean of the time that a request spends on the upstream.
	mean time.Duration
}

// NewQueue returns a queue for limit requests at once and length waiting ones.
func NewQueue(limit, length int) *Queue {
	return &Queue{limit: max(1, limit), length: length}
}

// Resize changes the limits; waiting requests are admitted if there is room now.
func (queue *Queue) Resize(limit, length int, now cherrykeel.Instant) {
	queue.limit = max(1, limit)
	queue.length = length
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

// Offer admits a ticket, queues it, or refuses it at once when waiting cannot help.
func (queue *Queue) Offer(ticket *Ticket, now cherrykeel.Instant) Decision {
	if queue.inFlight < queue.limit && len(queue.waiting) == 0 {
		queue.inFlight++
		return Admitted
	}
	if len(queue.waiting) >= queue.length {
		return TooLong
	}
	if now.Add(queue.Wait(ticket)) >= ticket.Deadline {
		return TooLate
	}
	heap.Push(&queue.waiting, ticket)
	return Queued
}

// Wait estimates how long a ticket's turn and its service will take.
func (queue *Queue) Wait(ticket *Ticket) time.Duration {
	ahead := 0
	for _, other := range queue.waiting {
		if other.rank() <= ticket.rank() {
			ahead++
		}
	}
	turns := ahead/queue.limit + 1
	return time.Duration(turns) * queue.mean
}

// Done ends a request that took the given time, and admits the next; 0 stands for one that was not sent.
func (queue *Queue) Done(took time.Duration, now cherrykeel.Instant) {
	queue.inFlight--
	if queue.mean == 0 {
		queue.mean = took
	}
	if took > 0 {
		queue.mean += time.Duration(meanWeight * float64(took-queue.mean))
	}
	queue.admitWaiting(now)
}

// Cancel takes back a ticket whose caller has gone; it reports false if the ticket was woken already.
func (queue *Queue) Cancel(ticket *Ticket) bool {
	if ticket.gone {
		return false
	}
	heap.Remove(&queue.waiting, ticket.index)
	ticket.gone = true
	return true
}

func (queue *Queue) admitWaiting(now cherrykeel.Instant) {
	for len(queue.waiting) > 0 {
		ticket := queue.waiting[0]
		late := now.Add(queue.mean) >= ticket.Deadline
		if !late && queue.inFlight >= queue.limit {
			return
		}
		heap.Pop(&queue.waiting)
		ticket.gone = true
		if !late {
			queue.inFlight++
		}
		ticket.Wake(!late)
	}
}

type ticketHeap []*Ticket

func (tickets ticketHeap) Len() int { return len(tickets) }

func (tickets ticketHeap) Less(i, j int) bool { return tickets[i].rank() < tickets[j].rank() }

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
