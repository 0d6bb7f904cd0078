package flow

import (
	"time"

	"cherrykeel"
)

// Ticket is a request that asks for an upstream.
type Ticket struct {
	Priority int
	Key      int
	Arrived  cherrykeel.Instant
	// Target is when an answer loses part of its worth, Deadline when all of it.
	Target   cherrykeel.Instant
	Deadline cherrykeel.Instant
	// Tried names upstreams that the request was sent to before.
	Tried []string
	// Notify is called once, with the place or the refusal.
	Notify func(decision Decision)
	// order is the place among requests of the same priority.
	order uint64
}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// TooLate means that the answer would come after the caller's deadline.
	TooLate Reason = "too-late"
	// Crowded means that more requests wait than can be answered in time.
	Crowded Reason = "crowded"
	// NoUpstream means that no upstream of the service is known.
	NoUpstream Reason = "no-upstream"
	// Evacuated means that all upstreams of the service are in availability zones that are evacuated.
	Evacuated Reason = "evacuated"
	// NoOwner means that no upstream holds the key in time.
	NoOwner Reason = "no-owner"
)

// Decision is a place on an upstream, or a refusal.
type Decision struct {
	Slot   *Slot
	Reason Reason
	// Inputs are what the verdict rests on.
	Inputs Inputs
}

// Inputs are the figures behind a verdict, for the log.
type Inputs struct {
	// Owner has the request's key; Fence is the version of the table that gave it to it.
	Owner      string
	InTransfer bool
	Fence      int64
	// Load is how many requests were at the upstream in question, Others the part that other hosts told.
	Load       int
	RemoteLoad int
	// Ahead is how many requests waited before this one, at all hosts.
	Ahead int
	// ProcessingTime is the expected time in a slot, Wait the expected time to the answer.
	ProcessingTime time.Duration
	TimeToAnswer   time.Duration
}

// Slot is a request's place on an upstream, counted until it is left.
type Slot struct {
	Upstream cherrykeel.Upstream
	// Load is how many requests were there, this one included.
	Load      int
	StartedAt cherrykeel.Instant
	// Deadline is the ticket's.
	Deadline cherrykeel.Instant
	// Probe says that no answer was expected in time.
	Probe  bool
	member *member
}

// Result says how a place was left.
type Result int

// The endings of a place.
const (
	// Answered means that a whole answer came.
	Answered Result = iota
	// Failed means that the upstream answered wrongly or not at all.
	Failed
	// Refused means that the upstream said that it did not act.
	Refused
	// Unreachable means that no connection could be made.
	Unreachable
	// Abandoned means that the caller left, which says nothing of the upstream.
	Abandoned
)

// Owner is who has a key: empty when nobody has, Moving when it is about to have another owner.
type Owner struct {
	ID         string
	InTransfer bool
	// Fence is the version that gave the key to its owner.
	Fence int64
}

func (ticket *Ticket) isBefore(other *Ticket) bool {
	if ticket.Priority != other.Priority {
		return ticket.Priority < other.Priority
	}
	return ticket.order < other.order
}

func (ticket *Ticket) wasTried(id string) bool {
	for _, other := range ticket.Tried {
		if other == id {
			return true
		}
	}
	return false
}
