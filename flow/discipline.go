package flow

import (
	"time"

	"cherrykeel"
)

// minTimeShare is the part of the expected time that has to be left; work times vary by about
// a third, so with less the answer comes too late more often than not.
const minTimeShare = 0.7

// discipline decides which requests compete for which upstreams: all for all, or those for one owner's keys
// for that owner. It knows how long each has to wait there.
type discipline interface {
	// upstreamsChanged is told that the service has other upstreams.
	upstreamsChanged()
	// refreshCounts takes stock of what waits; it is called before the other methods whenever that has changed.
	refreshCounts()
	// setRemoteWaiting takes how many requests wait at all other hosts together.
	setRemoteWaiting(total int)
	// observeQueues looks at the queues by the others' counts, whether or not this host has requests for them.
	observeQueues(now cherrykeel.Instant)
	// waitingByOwner counts this host's waiting requests by owner.
	waitingByOwner() map[string]int
	// owner returns who has the ticket's key: nobody, for requests without one.
	owner(ticket *Ticket) Owner
	// isCompeting reports whether two tickets compete for the same upstreams.
	isCompeting(ticket, other *Ticket) bool
	// chooseUpstream returns the upstream that the ticket may go to now, or nil.
	chooseUpstream(ticket *Ticket, now cherrykeel.Instant) *member
	// countAhead counts the requests that wait before a ticket: here in its order, and all at the other hosts.
	countAhead(ticket *Ticket) int
	// estimateTimeToAnswer estimates when a ticket that has to estimateTimeToAnswer will be answered.
	estimateTimeToAnswer(ticket *Ticket, now cherrykeel.Instant) time.Duration
	// willMissDeadline reports whether not even a place right now would bring an answer in time.
	willMissDeadline(ticket *Ticket, now cherrykeel.Instant) bool
	// chooseProbe returns the upstream that a ticket may be sent to though no answer is expected in time, or nil.
	chooseProbe(ticket *Ticket, now cherrykeel.Instant) *member
	// queueFor returns the state of the queue that a ticket waits in.
	queueFor(ticket *Ticket) *standingQueue
}

// expiresWithin reports whether the work would probably end after the ticket's deadline.
func (ticket *Ticket) expiresWithin(expected time.Duration, now cherrykeel.Instant) bool {
	return now.Add(time.Duration(minTimeShare*float64(expected))) > ticket.Deadline
}
