package flow

import (
	"time"

	"cherrykeel"
)

// hopelessShare is the part of the expected time that has to be left; work times vary by about
// a third, so with less the answer comes too late more often than not.
const hopelessShare = 0.7

// discipline decides which requests compete for which upstreams: all for all, or those for one owner's keys
// for that owner. It knows how long each has to wait there.
type discipline interface {
	// changed is told that the service has other upstreams.
	changed()
	// count takes stock of what waits; it is called before the other methods whenever that has changed.
	count()
	// setOthers takes how many requests wait at all other hosts together.
	setOthers(total int)
	// observe looks at the queues by the others' counts, whether or not this host has requests for them.
	observe(now cherrykeel.Instant)
	// waitingFor counts this host's waiting requests by owner.
	waitingFor() map[string]int
	// owner returns who has the ticket's key: nobody, for requests without one.
	owner(ticket *Ticket) Owner
	// rivals reports whether two tickets compete for the same upstreams.
	rivals(one, other *Ticket) bool
	// place returns the upstream that the ticket may go to now, or nil.
	place(ticket *Ticket, now cherrykeel.Instant) *member
	// ahead counts the requests that wait before a ticket: here in its order, and all at the other hosts.
	ahead(ticket *Ticket) int
	// wait estimates when a ticket that has to wait will be answered.
	wait(ticket *Ticket, now cherrykeel.Instant) time.Duration
	// hopeless reports whether not even a place right now would bring an answer in time.
	hopeless(ticket *Ticket, now cherrykeel.Instant) bool
	// trial returns the upstream that a ticket may be sent to though no answer is expected in time, or nil.
	trial(ticket *Ticket, now cherrykeel.Instant) *member
	// standing returns the state of the queue that a ticket waits in.
	standing(ticket *Ticket) *standing
}

// outlasts reports whether the work would probably end after the ticket's deadline.
func (ticket *Ticket) outlasts(work time.Duration, now cherrykeel.Instant) bool {
	return now.Add(time.Duration(hopelessShare*float64(work))) > ticket.Deadline
}
