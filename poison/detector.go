package poison

import (
	"slices"
	"time"

	"cherrykeel"
)

const (
	// pendingTimeout is how long after an attempt's end a crash of its upstream is still taken for the cause. An
	// upstream's entry in the store expires about 3 s after its last heartbeat, and hosts see that it is missing at most
	// 2 s later.
	pendingTimeout = 6 * time.Second
	// abandonedTimeout is how long an upstream may still start to run a request that its caller or this host has
	// abandoned. Some upstreams do not check whether anyone still waits, and queue a second or two of requests.
	abandonedTimeout = 2 * time.Second
	// maxPending limits the attempts kept. An upstream has a few dozen requests at once, and few upstreams crash
	// together.
	maxPending = 1024
	// maxAbandoned limits abandoned attempts separately. Overloaded hosts abandon many, and these must not displace
	// attempts whose connection ended.
	maxAbandoned = 512
)

// Incarnation is one start of an upstream, which may restart under the same ID.
type Incarnation struct {
	// Upstream is the upstream's ID.
	Upstream string
	// StartedAt is in Unix milliseconds on the upstream's clock; 0 if it does not report it.
	StartedAt int64 `json:"Born,omitempty"`
}

// IncarnationOf returns an upstream's current incarnation.
func IncarnationOf(upstream cherrykeel.Upstream) Incarnation {
	return Incarnation{Upstream: upstream.ID, StartedAt: upstream.StartedAt}
}

// UnansweredAttempt is an attempt to send a request to an upstream that got no successful answer: its connection ended,
// or this host abandoned it. The upstream may have crashed while running it, or may be running it still.
type UnansweredAttempt struct {
	// Fingerprint is the request's, and CallerFingerprints are its caller's.
	Fingerprint        Fingerprint
	CallerFingerprints []CallerFingerprint
	// RequestID is the ID of the caller's attempt, for logs.
	RequestID string
	// Service is the request's service.
	Service string
	// Incarnation and Address are those of the upstream to which the request was sent.
	Incarnation Incarnation
	Address     string
	// SentAt is when the request was sent, and EndedAt when its connection ended or it was abandoned.
	SentAt  cherrykeel.Instant
	EndedAt cherrykeel.Instant
	// ConnectionReset means that the connection was reset, not closed. Abandoned means that this host closed it, or got
	// an error answer, so that the upstream may still be running the request.
	ConnectionReset bool
	Abandoned       bool
}

// CrashDetector holds one host's unanswered attempts until it is known whether their upstreams crashed. A connection
// that ends is no proof of that: the upstream may have been full, the network interrupted, or an answer lost. Its zero
// value is ready for use. It is not safe for concurrent use.
type CrashDetector struct {
	pending   []UnansweredAttempt
	abandoned []UnansweredAttempt
}

// RecordUnanswered records an unanswered attempt.
func (crashDetector *CrashDetector) RecordUnanswered(attempt UnansweredAttempt) {
	crashDetector.removeExpired(attempt.EndedAt)
	if attempt.Abandoned {
		crashDetector.abandoned = appendBounded(crashDetector.abandoned, attempt, maxAbandoned)
		return
	}
	crashDetector.pending = appendBounded(crashDetector.pending, attempt, maxPending)
}

// appendBounded appends an attempt, and removes the oldest one if the list is full.
func appendBounded(attempts []UnansweredAttempt, attempt UnansweredAttempt, limit int) []UnansweredAttempt {
	if len(attempts) >= limit {
		attempts = attempts[1:]
	}
	return append(attempts, attempt)
}

// RecordAnswer records that an incarnation has answered a request that was sent at a time. Attempts that ended before
// that time did not end by its crash and are removed. Abandoned attempts are kept, since they may still be queued there.
func (crashDetector *CrashDetector) RecordAnswer(incarnation Incarnation, sentAt cherrykeel.Instant) {
	_, crashDetector.pending = splitInPlace(crashDetector.pending, func(attempt UnansweredAttempt) bool {
		return attempt.Incarnation == incarnation && attempt.EndedAt <= sentAt
	})
}

// RemoveByAddress removes and returns the attempts at an address. Callers use it when a connection there was refused,
// so that no process listens any more.
func (crashDetector *CrashDetector) RemoveByAddress(address string, now cherrykeel.Instant) []UnansweredAttempt {
	crashDetector.removeExpired(now)
	return crashDetector.removeMatching(func(attempt UnansweredAttempt) bool { return attempt.Address == address })
}

// RemoveByIncarnation removes and returns the attempts at an incarnation that is known to have ended.
func (crashDetector *CrashDetector) RemoveByIncarnation(incarnation Incarnation, now cherrykeel.Instant) []UnansweredAttempt {
	crashDetector.removeExpired(now)
	return crashDetector.removeMatching(func(attempt UnansweredAttempt) bool { return attempt.Incarnation == incarnation })
}

// HasPending reports whether there is an attempt at an address, other than abandoned ones, whose cause is not known yet.
func (crashDetector *CrashDetector) HasPending(address string) bool {
	return slices.ContainsFunc(crashDetector.pending, func(attempt UnansweredAttempt) bool { return attempt.Address == address })
}

// IsEmpty reports whether no attempt is held any more, pending or abandoned.
func (crashDetector *CrashDetector) IsEmpty(now cherrykeel.Instant) bool {
	crashDetector.removeExpired(now)
	return len(crashDetector.pending)+len(crashDetector.abandoned) == 0
}

func (crashDetector *CrashDetector) removeExpired(now cherrykeel.Instant) {
	_, crashDetector.pending = splitInPlace(crashDetector.pending, func(attempt UnansweredAttempt) bool { return now.Sub(attempt.EndedAt) > pendingTimeout })
	_, crashDetector.abandoned = splitInPlace(crashDetector.abandoned, func(attempt UnansweredAttempt) bool { return now.Sub(attempt.EndedAt) > abandonedTimeout })
}

// removeMatching removes and returns the attempts that match, abandoned ones last.
func (crashDetector *CrashDetector) removeMatching(matches func(attempt UnansweredAttempt) bool) []UnansweredAttempt {
	var pending, abandoned []UnansweredAttempt
	pending, crashDetector.pending = splitInPlace(crashDetector.pending, matches)
	abandoned, crashDetector.abandoned = splitInPlace(crashDetector.abandoned, matches)
	return append(pending, abandoned...)
}

// splitInPlace returns the attempts that match in a new slice, and the others in the memory of the given one.
func splitInPlace(attempts []UnansweredAttempt, matches func(attempt UnansweredAttempt) bool) (matching, others []UnansweredAttempt) {
	others = attempts[:0]
	for _, attempt := range attempts {
		if matches(attempt) {
			matching = append(matching, attempt)
			continue
		}
		others = append(others, attempt)
	}
	return matching, others
}
