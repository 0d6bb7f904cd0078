package poison

import (
	"slices"
	"time"

	"cherrykeel"
)

const (
	// pendingTimeout is how long after a break the end of its upstream is still taken for the reason: an entry in the
	// store lapses some 3 s after the last heartbeat, and is believed to be missing after 2 s more at the worst.
	pendingTimeout = 6 * time.Second
	// abandonedTimeout is how long an upstream may still begin to run a request that its caller or this host has given up:
	// some do not look whether anybody waits, and their own queues hold a second's work or two.
	abandonedTimeout = 2 * time.Second
	// maxPending bounds what is kept; an upstream has a few dozen requests at once, and few upstreams end together.
	maxPending = 1024
	// maxAbandoned does so apart: overloaded hosts give up many, and these must not push out what was lost.
	maxAbandoned = 512
)

// Incarnation is one life of an upstream, which may start again under its ID.
type Incarnation struct {
	Upstream string
	// StartedAt is in Unix milliseconds on the upstream's clock; 0 if it does not say.
	StartedAt int64 `json:"Born,omitempty"`
}

// IncarnationOf returns an upstream's present life.
func IncarnationOf(upstream cherrykeel.Upstream) Incarnation {
	return Incarnation{Upstream: upstream.ID, StartedAt: upstream.StartedAt}
}

// UnansweredAttempt is a request that was sent and got no answer: its connection ended, or this host gave it up.
type UnansweredAttempt struct {
	Fingerprint Fingerprint
	// CallerFingerprints are the caller's.
	CallerFingerprints []CallerFingerprint
	// RequestID is the ID of this attempt of the caller, for logs.
	RequestID   string
	Service     string
	Incarnation Incarnation
	Address     string
	// SentAt is when the request was sent, At when its connection ended.
	SentAt  cherrykeel.Instant
	EndedAt cherrykeel.Instant
	// ConnectionReset says that the connection was reset, not closed, and Abandoned that this host has closed it.
	ConnectionReset bool
	Abandoned       bool
}

// CrashDetector keeps one host's breaks until it is known whether their upstreams have ended. What a host sees first is a
// connection that ends, and so it does for many reasons: the upstream was full, the network cut, an answer lost.
type CrashDetector struct {
	pending   []UnansweredAttempt
	abandoned []UnansweredAttempt
}

// RecordUnanswered notes a break.
func (witness *CrashDetector) RecordUnanswered(found UnansweredAttempt) {
	witness.removeExpired(found.EndedAt)
	if found.Abandoned {
		witness.abandoned = appendBounded(witness.abandoned, found, maxAbandoned)
		return
	}
	witness.pending = appendBounded(witness.pending, found, maxPending)
}

// appendBounded adds a break, in place of the oldest one if there are as many as may be.
func appendBounded(list []UnansweredAttempt, found UnansweredAttempt, most int) []UnansweredAttempt {
	if len(list) >= most {
		list = list[1:]
	}
	return append(list, found)
}

// RecordAnswer takes it that an upstream's life has answered a request that was sent at the given time: breaks before
// that were no end of it. What was abandoned may still wait there.
func (witness *CrashDetector) RecordAnswer(life Incarnation, sent cherrykeel.Instant) {
	_, witness.pending = splitInPlace(witness.pending, func(found UnansweredAttempt) bool { return found.Incarnation == life && found.EndedAt <= sent })
}

// RemoveByAddress returns the breaks at an address where a connection is refused now, since no process listens there.
func (witness *CrashDetector) RemoveByAddress(address string, now cherrykeel.Instant) []UnansweredAttempt {
	witness.removeExpired(now)
	return witness.removeMatching(func(found UnansweredAttempt) bool { return found.Address == address })
}

// RemoveByIncarnation returns the breaks of a life that is known to have ended.
func (witness *CrashDetector) RemoveByIncarnation(life Incarnation, now cherrykeel.Instant) []UnansweredAttempt {
	witness.removeExpired(now)
	return witness.removeMatching(func(found UnansweredAttempt) bool { return found.Incarnation == life })
}

// HasPending reports whether any break at the address still waits for its reason.
func (witness *CrashDetector) HasPending(address string) bool {
	return slices.ContainsFunc(witness.pending, func(found UnansweredAttempt) bool { return found.Address == address })
}

// IsEmpty reports whether no break waits for its reason any more.
func (witness *CrashDetector) IsEmpty(now cherrykeel.Instant) bool {
	witness.removeExpired(now)
	return len(witness.pending)+len(witness.abandoned) == 0
}

func (witness *CrashDetector) removeExpired(now cherrykeel.Instant) {
	_, witness.pending = splitInPlace(witness.pending, func(found UnansweredAttempt) bool { return now.Sub(found.EndedAt) > pendingTimeout })
	_, witness.abandoned = splitInPlace(witness.abandoned, func(found UnansweredAttempt) bool { return now.Sub(found.EndedAt) > abandonedTimeout })
}

// removeMatching removes the breaks that match and returns them.
func (witness *CrashDetector) removeMatching(matches func(found UnansweredAttempt) bool) []UnansweredAttempt {
	var lost, left []UnansweredAttempt
	lost, witness.pending = splitInPlace(witness.pending, matches)
	left, witness.abandoned = splitInPlace(witness.abandoned, matches)
	return append(lost, left...)
}

// splitInPlace returns the breaks that match, and the others in the list's own place.
func splitInPlace(list []UnansweredAttempt, matches func(found UnansweredAttempt) bool) (matching, others []UnansweredAttempt) {
	others = list[:0]
	for _, found := range list {
		if matches(found) {
			matching = append(matching, found)
			continue
		}
		others = append(others, found)
	}
	return matching, others
}
