package flow

import (
	"time"

	"cherrykeel"
)

// minTimeShare is the share of the expected time that must be left before the deadline. Processing times vary by about
// a third, so with less time left the answer comes too late more often than not.
const minTimeShare = 0.7

// discipline is a queueing discipline. It decides which requests compete for which upstreams, all requests for all
// upstreams or the requests for one owner's keys for that owner, and estimates how long each request has to wait.
type discipline interface {
	// upstreamsChanged is called after the service's upstreams have changed.
	upstreamsChanged()
	// refreshCounts counts this host's waiting requests by owner, for chooseUpstream and chooseProbe. It is called before
	// these whenever the waiting requests may have changed.
	refreshCounts()
	// setRemoteWaiting records how many requests wait at all other hosts together.
	setRemoteWaiting(total int)
	// observeQueues checks for standing queues by the other hosts' counts, whether or not this host has requests for
	// them.
	observeQueues(now cherrykeel.Instant)
	// waitingByOwner counts this host's waiting requests by owner.
	waitingByOwner() map[string]int
	// owner returns the owner of the ticket's key; it is empty for a ticket without a key.
	owner(ticket *Ticket) Owner
	// isCompeting reports whether two tickets compete for the same upstreams.
	isCompeting(ticket, other *Ticket) bool
	// chooseUpstream returns the upstream that may get the ticket now, or nil.
	chooseUpstream(ticket *Ticket, now cherrykeel.Instant) *member
	// countAhead counts the requests that wait before a ticket: those of this host that go before it, and all of the
	// other hosts.
	countAhead(ticket *Ticket) int
	// estimateTimeToAnswer returns the expected time until the answer of a ticket that has to wait, from the end of the
	// rests on if all upstreams that may get it are at rest: a rest says nothing about the length of a queue.
	estimateTimeToAnswer(ticket *Ticket, now cherrykeel.Instant) time.Duration
	// willMissDeadline reports whether even a slot right now would not bring an answer in time.
	willMissDeadline(ticket *Ticket, now cherrykeel.Instant) bool
	// chooseProbe returns the upstream that may get a ticket although no answer is expected in time, or nil.
	chooseProbe(ticket *Ticket, now cherrykeel.Instant) *member
	// restEnd returns when the first upstream is no longer held back, if all that may get a ticket are, and 0 if one is not.
	restEnd(ticket *Ticket, now cherrykeel.Instant) cherrykeel.Instant
	// limitWaitEnd returns until when a ticket waits for a permit at least; 0 if that is not known, or if it needs none.
	limitWaitEnd(ticket *Ticket, now cherrykeel.Instant) cherrykeel.Instant
	// isLimited reports whether all upstreams that may get a ticket name limits.
	isLimited(ticket *Ticket, now cherrykeel.Instant) bool
	// limitedFor returns the upstream that would get a ticket now if there were a permit, or nil.
	limitedFor(ticket *Ticket, now cherrykeel.Instant) *member
	// queueFor returns the state of the queue that a ticket waits in.
	queueFor(ticket *Ticket) *standingQueue
}

// expiresWithin reports whether the ticket's deadline would probably pass before an answer that is expected to take the
// given time.
func (ticket *Ticket) expiresWithin(expected time.Duration, now cherrykeel.Instant) bool {
	return now.Add(time.Duration(minTimeShare*float64(expected))) > ticket.Deadline
}
