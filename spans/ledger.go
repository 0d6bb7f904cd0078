package spans

import (
	"math"
	"time"

	"cherrykeel"
)

// driftShare is how much slower than ours an upstream's clock may run, by the platform's word: 2%.
const maxClockDrift = 0.02

// Never is an end that has not been bounded yet.
const Never = cherrykeel.Instant(1 << 62)

// GrantedSpan is a span that an upstream was granted under a fence.
type GrantedSpan struct {
	Service string
	Owner   string
	Span    cherrykeel.KeySpan
	Fence   int64
}

// hold is a span that an upstream may hold until a time.
type lease struct {
	GrantedSpan
	until cherrykeel.Instant
	// call is the grant that was sent and not answered, or 0. It may be carried out after later ones.
	call int64
}

// Ledger knows the latest time until which each upstream may hold each span. Two upstreams
// that hold one key are two owners of its state, so nothing is granted that another may hold.
type Ledger struct {
	leases   []lease
	lastCall int64
}

// LatestLeaseEnd returns when a hold that arrives by the given time has surely ended: an upstream's clock that runs slow shows
// its length that much later.
func LatestLeaseEnd(arrived cherrykeel.Instant, duration time.Duration) cherrykeel.Instant {
	return arrived.Add(time.Duration(math.Ceil(float64(duration) / (1 - maxClockDrift))))
}

// RecordLease notes that an upstream may hold a span until a time, besides what it may hold already.
//
// A grant that was answered ends no earlier one that reaches further: the same call again renews a grant, and
// nothing says that it can shorten it. Upstreams that had been granted 10 s while the store was away went by that
// after a grant of 2.5 s, and their keys had been given on: two upstreams worked on one key for up to 7 s. Only a
// release, the end of the process, or the end of the longest hold frees keys.
func (ledger *Ledger) RecordLease(held GrantedSpan, until cherrykeel.Instant) {
	kept := ledger.leases[:0]
	for _, old := range ledger.leases {
		if old.call != 0 || old.until > until || !held.supersedes(old.GrantedSpan) {
			kept = append(kept, old)
		}
	}
	ledger.leases = append(kept, lease{GrantedSpan: held, until: until})
}

// covers reports whether whoever holds this holds the other too, and no release frees this one alone.
func (held GrantedSpan) supersedes(other GrantedSpan) bool {
	same := held.Service == other.Service && held.Owner == other.Owner
	return same && other.Fence <= held.Fence && held.Span.Covers(other.Span)
}

// RecordSent notes a grant that is under way, and returns its number. Until it is answered it may be carried out at
// any time up to until, also after a later one of the same fence that was answered.
func (ledger *Ledger) RecordSent(held GrantedSpan, until cherrykeel.Instant) int64 {
	ledger.lastCall++
	ledger.leases = append(ledger.leases, lease{GrantedSpan: held, until: until, call: ledger.lastCall})
	return ledger.lastCall
}

// RecordAnswer notes that a grant was carried out or refused, and will not be carried out later.
func (ledger *Ledger) RecordAnswer(call int64) {
	kept := ledger.leases[:0]
	for _, old := range ledger.leases {
		if old.call != call {
			kept = append(kept, old)
		}
	}
	ledger.leases = kept
}

// RecordRelease notes that a release was answered: by no grant of a lower fence does the upstream hold the span, nor take it.
// Of a grant under a higher fence, which came after the release was sent, its answer says nothing.
func (ledger *Ledger) RecordRelease(release GrantedSpan) {
	ledger.removeSpan(release.Span, func(old lease) bool {
		return old.Service == release.Service && old.Owner == release.Owner && old.Fence < release.Fence
	})
}

// cut takes a span out of the holds that are chosen.
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

// RecordProcessEnd notes that an upstream's process is gone and holds nothing.
func (ledger *Ledger) RecordProcessEnd(owner string) {
	kept := ledger.leases[:0]
	for _, old := range ledger.leases {
		if old.Owner != owner {
			kept = append(kept, old)
		}
	}
	ledger.leases = kept
}

// BoundUnknownLeases gives an end to the holds that had none, which a keeper before may have granted, and returns their owners.
func (ledger *Ledger) BoundUnknownLeases(until cherrykeel.Instant) []string {
	var owners []string
	for i := range ledger.leases {
		if ledger.leases[i].until == Never {
			ledger.leases[i].until = until
			owners = append(owners, ledger.leases[i].Owner)
		}
	}
	return owners
}

// FreeAt returns when no upstream but the given one can hold any key of the span.
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

// HeldUntil returns until when an upstream may hold any of its spans.
func (ledger *Ledger) HeldUntil(owner string) cherrykeel.Instant {
	var until cherrykeel.Instant
	for _, old := range ledger.leases {
		if old.Owner == owner {
			until = max(until, old.until)
		}
	}
	return until
}

// RemoveExpired drops what has ended.
func (ledger *Ledger) RemoveExpired(now cherrykeel.Instant) {
	kept := ledger.leases[:0]
	for _, old := range ledger.leases {
		if old.until > now {
			kept = append(kept, old)
		}
	}
	ledger.leases = kept
}

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
