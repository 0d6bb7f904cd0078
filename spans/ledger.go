package spans

import (
	"math"
	"time"

	"cherrykeel"
)

// maxClockDrift is how much slower than this host's clock an upstream's clock may run, as a share. The platform
// guarantees at most 2%.
const maxClockDrift = 0.02

// Never is the end of a lease whose end is not known yet.
const Never = cherrykeel.Instant(1 << 62)

// GrantedSpan is a span that an upstream was granted under a fence.
type GrantedSpan struct {
	Service string
	Owner   string
	Span    cherrykeel.KeySpan
	Fence   int64
}

// lease is a span that an upstream may hold until a time.
type lease struct {
	GrantedSpan
	until cherrykeel.Instant
	// call is the number of the grant if it was sent and not answered, or 0. The upstream may still apply such a
	// grant, even after later ones.
	call int64
}

// Ledger records until when each upstream may hold each span. Two upstreams that hold the same key would both change
// its state, so a span is granted only when no other upstream can hold any of its keys. The zero value is an empty
// ledger.
type Ledger struct {
	leases   []lease
	lastCall int64
}

// LatestLeaseEnd returns when a lease has ended for certain, on this host's clock, if its grant arrived by the given
// time. An upstream whose clock runs slow counts the duration for that much longer.
func LatestLeaseEnd(arrived cherrykeel.Instant, duration time.Duration) cherrykeel.Instant {
	return arrived.Add(time.Duration(math.Ceil(float64(duration) / (1 - maxClockDrift))))
}

// RecordLease records that an upstream may hold a span until a time, in addition to what it may hold already.
//
// An answered grant does not shorten an earlier lease with a later end: an upstream renews a lease on a repeated
// grant, but need not shorten it. If a lease of 10 s, granted while the store was unavailable, counted as replaced by
// a later grant of 2.5 s, the keys would be transferred while the upstream still uses the longer lease, and two
// upstreams would work on one key for up to 7 s. Only a release, the end of the process, or the end of the longest
// lease frees keys.
func (ledger *Ledger) RecordLease(held GrantedSpan, until cherrykeel.Instant) {
	kept := ledger.leases[:0]
	for _, old := range ledger.leases {
		if old.call != 0 || old.until > until || !held.supersedes(old.GrantedSpan) {
			kept = append(kept, old)
		}
	}
	ledger.leases = append(kept, lease{GrantedSpan: held, until: until})
}

// supersedes reports whether an upstream that holds this span also holds the other one, and no release can free this
// one without freeing the other.
func (held GrantedSpan) supersedes(other GrantedSpan) bool {
	same := held.Service == other.Service && held.Owner == other.Owner
	return same && other.Fence <= held.Fence && held.Span.Covers(other.Span)
}

// RecordSent records a grant that is sent, and returns its number for RecordAnswer. Until it is answered the upstream
// may apply it at any time up to until, even after a later grant of the same fence that was answered.
func (ledger *Ledger) RecordSent(held GrantedSpan, until cherrykeel.Instant) int64 {
	ledger.lastCall++
	ledger.leases = append(ledger.leases, lease{GrantedSpan: held, until: until, call: ledger.lastCall})
	return ledger.lastCall
}

// RecordAnswer records that a sent grant was applied or refused, and will not be applied later.
func (ledger *Ledger) RecordAnswer(call int64) {
	kept := ledger.leases[:0]
	for _, old := range ledger.leases {
		if old.call != call {
			kept = append(kept, old)
		}
	}
	ledger.leases = kept
}

// RecordRelease records that a release was answered: the upstream no longer holds the span under a lower fence, and
// refuses grants with one. The answer does not affect a grant under a higher fence, which was sent after the release.
func (ledger *Ledger) RecordRelease(release GrantedSpan) {
	ledger.removeSpan(release.Span, func(old lease) bool {
		return old.Service == release.Service && old.Owner == release.Owner && old.Fence < release.Fence
	})
}

// removeSpan removes a span from the leases for which matches returns true.
func (ledger *Ledger) removeSpan(span cherrykeel.KeySpan, matches func(old lease) bool) {
	var kept []lease
	for _, old := range ledger.leases {
		if !matches(old) {
			kept = append(kept, old)
			continue
		}
		kept = append(kept, old.without(span)...)
	}
	ledger.leases = kept
}

// RecordProcessEnd records that an upstream's process has ended and holds nothing.
func (ledger *Ledger) RecordProcessEnd(owner string) {
	kept := ledger.leases[:0]
	for _, old := range ledger.leases {
		if old.Owner != owner {
			kept = append(kept, old)
		}
	}
	ledger.leases = kept
}

// BoundUnknownLeases sets the end of all leases whose end was not known, since an earlier keeper may have granted them.
func (ledger *Ledger) BoundUnknownLeases(until cherrykeel.Instant) {
	for i := range ledger.leases {
		if ledger.leases[i].until == Never {
			ledger.leases[i].until = until
		}
	}
}

// FreeAt returns when no upstream except the given one can hold any key of the span. It returns Never if that is not
// known.
func (ledger *Ledger) FreeAt(service, owner string, span cherrykeel.KeySpan) cherrykeel.Instant {
	var free cherrykeel.Instant
	for _, old := range ledger.leases {
		other := old.Service == service && old.Owner != owner
		if other && old.Span.Overlaps(span) {
			free = max(free, old.until)
		}
	}
	return free
}

// HeldUntil returns until when an upstream may hold any span.
func (ledger *Ledger) HeldUntil(owner string) cherrykeel.Instant {
	var until cherrykeel.Instant
	for _, old := range ledger.leases {
		if old.Owner == owner {
			until = max(until, old.until)
		}
	}
	return until
}

// RemoveExpired drops the leases that have ended.
func (ledger *Ledger) RemoveExpired(now cherrykeel.Instant) {
	kept := ledger.leases[:0]
	for _, old := range ledger.leases {
		if old.until > now {
			kept = append(kept, old)
		}
	}
	ledger.leases = kept
}

// without returns the parts of a lease that remain when a span is removed from it.
func (old lease) without(span cherrykeel.KeySpan) []lease {
	if span.Last < old.Span.First || span.First > old.Span.Last {
		return []lease{old}
	}
	var parts []lease
	if span.First > old.Span.First {
		left := old
		left.Span.Last = span.First - 1
		parts = append(parts, left)
	}
	if span.Last < old.Span.Last {
		right := old
		right.Span.First = span.Last + 1
		parts = append(parts, right)
	}
	return parts
}
