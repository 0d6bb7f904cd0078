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
}

// Ledger knows the latest time until which each upstream may hold each span. Two upstreams
// that hold one key are two owners of its state, so nothing is granted that another may hold.
type Ledger struct {
	holds []hold
}

// End returns when a hold that arrives by the given time has surely ended.
func End(arrived cherrykeel.Instant, length time.Duration) cherrykeel.Instant {
	return arrived.Add(length + time.Duration(driftShare*float64(length)))
}

// May notes that an upstream may hold a span until a time, besides what it may hold already.
func (ledger *Ledger) May(service, owner string, span cherrykeel.KeySpan, until cherrykeel.Instant) {
	kept := ledger.holds[:0]
	for _, old := range ledger.holds {
		covered := old.service == service && old.owner == owner && old.until <= until &&
			old.span.First >= span.First && old.span.Last <= span.Last
		if !covered {
			kept = append(kept, old)
		}
	}
	ledger.holds = append(kept, hold{service: service, owner: owner, span: span, until: until})
}

// Holds notes that an upstream holds a span until a time and no longer: it took a grant whose
// fence is above that of all that was sent to it before.
func (ledger *Ledger) Holds(service, owner string, span cherrykeel.KeySpan, until cherrykeel.Instant) {
	ledger.Freed(service, owner, span)
	ledger.May(service, owner, span, until)
}

// Freed notes that an upstream holds a span no longer.
func (ledger *Ledger) Freed(service, owner string, span cherrykeel.KeySpan) {
	var kept []hold
	for _, old := range ledger.holds {
		if old.service != service || old.owner != owner {
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

// Bound gives an end to the holds that had none, which a keeper before may have granted.
func (ledger *Ledger) Bound(until cherrykeel.Instant) {
	for i := range ledger.holds {
		if ledger.holds[i].until == Never {
			ledger.holds[i].until = until
		}
	}
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
