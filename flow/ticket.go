package flow

import (
	"time"

	"cherrykeel"
	"cherrykeel/permit"
)

// Ticket is a request to be scheduled.
type Ticket struct {
	// Priority is lower for requests that go first.
	Priority int
	// Key is the request's key, or cherrykeel.NoKey.
	Key int
	// Arrived is when the request arrived.
	Arrived cherrykeel.Instant
	// Target is when an answer loses part of its value, Deadline when it loses all of it.
	Target   cherrykeel.Instant
	Deadline cherrykeel.Instant
	// Tried lists the IDs of upstreams to which the request was sent before.
	Tried []string
	// Notify is called once, with the decision on the ticket.
	Notify func(decision Decision)
	// order is the position among tickets of the same priority.
	order uint64
	// latestSend is until when it waits for a permit.
	latestSend cherrykeel.Instant
	// declined has the incarnations that have no permit for this request in time, and wanted the one that it waits for a
	// permit of, if it has no key.
	declined map[permit.Incarnation]bool
	wanted   permit.Incarnation
}

// Reason is why a request was refused.
type Reason string

// The reasons for refusals.
const (
	// TooLate means that the request cannot meet its deadline.
	TooLate Reason = "too-late"
	// Crowded means that more requests wait than can be answered in time.
	Crowded Reason = "crowded"
	// NoUpstream means that no upstream of the service is known.
	NoUpstream Reason = "no-upstream"
	// Evacuated means that all upstreams of the service are in evacuated availability zones.
	Evacuated Reason = "evacuated"
	// Leaving means that each upstream of the service is leaving or in an evacuated availability zone.
	Leaving Reason = "leaving"
	// NoOwner means that the key got no owner in time.
	NoOwner Reason = "no-owner"
	// Resting means that every upstream that may serve the request has asked this host for a rest that ends too late.
	Resting Reason = "resting"
	// Unreached means that no connection could be opened to any upstream that may serve the request.
	Unreached Reason = "unreachable"
	// Limited means that the limits which the upstreams name leave no room for the request in time.
	Limited Reason = "limited"
)

// Decision is the result of scheduling a ticket: a slot at an upstream, or the reason for a refusal.
type Decision struct {
	// Slot is nil if the request is refused.
	Slot *Slot
	// Reason is empty if the request gets a slot.
	Reason Reason
	// Inputs are the figures behind the decision.
	Inputs Inputs
}

// Inputs are the figures behind a decision, for the log.
type Inputs struct {
	// Owner is the ID of the upstream that owns the request's key, and InTransfer reports whether the key is about to
	// get another owner. Fence is the version of the table that granted the key.
	Owner      string
	InTransfer bool
	Fence      int64
	// Load is how many requests were at the upstream in question, RemoteLoad how many of them came from other hosts.
	Load       int
	RemoteLoad int
	// Ahead is how many requests waited before this one, at all hosts.
	Ahead int
	// ProcessingTime is the expected processing time, TimeToAnswer the expected time until the answer.
	ProcessingTime time.Duration
	TimeToAnswer   time.Duration
	// RestLeft is how long the upstreams that may serve the request are all still held back; 0 if one is not.
	RestLeft time.Duration
	// RateLimit is the limit that the upstream in question names; 0 if it names none.
	RateLimit float64
}

// Slot is the use of an upstream's capacity by one request, counted until it is released.
type Slot struct {
	// Upstream is the upstream that runs the request.
	Upstream cherrykeel.Upstream
	// Load is how many requests were at the upstream, this one included.
	Load int
	// StartedAt is when the slot was acquired.
	StartedAt cherrykeel.Instant
	// Deadline is the ticket's deadline.
	Deadline cherrykeel.Instant
	// Probe is set if no answer was expected in time.
	Probe  bool
	member *member
}

// Result is how the use of a slot ended.
type Result int

// The results of using a slot.
const (
	// Answered means that a complete answer was received.
	Answered Result = iota
	// Failed means that the upstream sent a wrong answer or none.
	Failed
	// Refused means that the upstream reported that it did not run the request.
	Refused
	// Unreachable means that no connection could be established.
	Unreachable
	// Abandoned means that the caller left, which shows nothing about the upstream.
	Abandoned
)

// Owner is the upstream that owns a key. ID is empty if the key has no owner.
type Owner struct {
	ID string
	// InTransfer is set if the key is about to get another owner.
	InTransfer bool
	// Fence is the version of the table that granted the key to its owner.
	Fence int64
}

// isBefore reports whether the ticket goes before another one: by priority, then in the order of arrival.
func (ticket *Ticket) isBefore(other *Ticket) bool {
	if ticket.Priority != other.Priority {
		return ticket.Priority < other.Priority
	}
	return ticket.order < other.order
}

// wasTried reports whether the request was sent to the upstream before.
func (ticket *Ticket) wasTried(id string) bool {
	for _, other := range ticket.Tried {
		if other == id {
			return true
		}
	}
	return false
}
