package spans

import (
	"time"

	"cherrykeel"
)

// driftShare is how much slower than ours an upstream's clock may run, by the platform's word: 2%.
const driftShare = 0.02

// Never is an end that has not been bounded yet.
const Never = cherrykeel.Instant(1 << 62)

// hold is a span that an upstream may hold until a time.
type hold struct {
	service string
	owner   string
	span    cherrykeel.KeySpan
	until   cherrykeel.Instant
	// call is the grant that was sent and not answered, or 0. It may be carried out after later ones.
	call int64
}

// Ledger knows the latest time until which each upstream may hold each span. Two upstreams
// that hold one key are two owners of its state, so nothing is granted that another may hold.
type Ledger struct {
	holds []hold
	calls int64
}

// End returns when a hold that arrives by the given time has surely ended.
func End(arrived cherrykeel.Instant, length time.Duration) cherrykeel.Instant {
	return arrived.Add(length + time.Duration(driftShare*float64(length)))
}

// May notes that an upstream may hold a span until a time, besides what it may hold already.
//
// A grant that was answered ends no earlier one that reaches further: the same call again renews a grant, and
// nothing says that it can shorten it. Upstreams that had been granted 10 s while the store was away went by that
// after a grant of 2.5 s, and their keys had been given on: two upstreams worked on one key for up to 7 s. Only a
// release, the end of the process, or the end of the longest hold frees keys.
func (ledger *Ledger) May(service, owner string, span cherrykeel.KeySpan, until cherrykeel.Instant) {
	kept := ledger.holds[:0]
	for _, old := range ledger.holds {
		covered := old.call == 0 && old.service == service && old.owner == owner && old.until <= until &&
			old.span.First >= span.First && old.span.Last <= span.Last
		if !covered {
			kept = append(kept, old)
		}
	}
	ledger.holds = append(kept, hold{service: service, owner: owner, span: span, until: until})
}

// Sent notes a grant that is under way, and returns its number. Until it is answered it may be carried out at
// any time up to until, also after a later one of the same fence that was answered.
func (ledger *Ledger) Sent(service, owner string, span cherrykeel.KeySpan, until cherrykeel.Instant) int64 {
	ledger.calls++
	ledger.holds = append(ledger.holds, hold{service: service, owner: owner, span: span, until: until, call: ledger.calls})
	return ledger.calls
}

// Answered notes that a grant was carried out or refused, and will not be carried out later.
func (ledger *Ledger) Answered(call int64) {
	kept := ledger.holds[:0]
	for _, old := range ledger.holds {
		if old.call != call {
			kept = append(kept, old)
		}
	}
	ledger.holds = kept
}

// Freed notes that an upstream holds a span no longer, and takes no grant that was sent before.
func (ledger *Ledger) Freed(service, owner string, span cherrykeel.KeySpan) {
	ledger.cut(span, func(old hold) bool { return old.service == service && old.owner == owner })
}

// cut takes a span out of the holds that are chosen.
func (ledger *Ledger) cut(span cherrykeel.KeySpan, chosen func(old hold) bool) {
	var kept []hold
	for _, old := range ledger.holds {
		if !chosen(old) {
			kept = append(kept, old)
			continue
		}
		kept = append(kept, old.without(span)...)
	}
	ledger.holds = kept
}

// Ended notes that an upstream's process is gone and holds nothing.
func (ledger *Ledger) Ended(owner string) {
	kept := ledger.holds[:0]
	for _, old := range ledger.holds {
		if old.owner != owner {
			kept = append(kept, old)
		}
	}
	ledger.holds = kept
}

// Bound gives an end to the holds that had none, which a keeper before may have granted, and returns their owners.
func (ledger *Ledger) Bound(until cherrykeel.Instant) []string {
	var owners []string
	for i := range ledger.holds {
		if ledger.holds[i].until == Never {
			ledger.holds[i].until = until
			owners = append(owners, ledger.holds[i].owner)
		}
	}
	return owners
}

// FreeAt returns when no upstream but the given one can hold any key of the span.
func (ledger *Ledger) FreeAt(service, owner string, span cherrykeel.KeySpan) cherrykeel.Instant {
	var free cherrykeel.Instant
	for _, old := range ledger.holds {
		other := old.service == service && old.owner != owner
		if other && old.span.First <= span.Last && old.span.Last >= span.First {
			free = max(free, old.until)
		}
	}
	return free
}

// Held returns until when an upstream may hold any of its spans.
func (ledger *Ledger) Held(owner string) cherrykeel.Instant {
	var until cherrykeel.Instant
	for _, old := range ledger.holds {
		if old.owner == owner {
			until = max(until, old.until)
		}
	}
	return until
}

// Forget drops what has ended.
func (ledger *Ledger) Forget(now cherrykeel.Instant) {
	kept := ledger.holds[:0]
	for _, old := range ledger.holds {
		if old.until > now {
			kept = append(kept, old)
		}
	}
	ledger.holds = kept
}

func (old hold) without(span cherrykeel.KeySpan) []hold {
	if span.Last < old.span.First || span.First > old.span.Last {
		return []hold{old}
	}
	var parts []hold
	if span.First > old.span.First {
		left := old
		left.span.Last = span.First - 1
		parts = append(parts, left)
	}
	if span.Last < old.span.Last {
		right := old
		right.span.First = span.Last + 1
		parts = append(parts, right)
	}
	return parts
}
