package spans_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/spans"
)

func TestSpans(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spans")
}

const service = "halls"

func at(duration time.Duration) cherrykeel.Instant {
	return cherrykeel.Instant(duration)
}

// held is what an upstream was granted, and released what a release of it names.
func held(owner string, span cherrykeel.KeySpan) spans.GrantedSpan {
	return spans.GrantedSpan{Service: service, Owner: owner, Span: span, Fence: 1}
}

func released(owner string, span cherrykeel.KeySpan) spans.GrantedSpan {
	return spans.GrantedSpan{Service: service, Owner: owner, Span: span, Fence: 2}
}

func span(first, last int) cherrykeel.KeySpan {
	return cherrykeel.KeySpan{First: first, Last: last}
}

var _ = Describe("the ledger", func() {
	// A keeper takes over, grants for a while, and moves a span. If the bound on what the keeper before
	// had granted also cut its own grants short, the span would go to a second owner while the first still
	// works on it, and two servers would change one hall's calendar.
	It("bounds what others granted and not what it granted itself", func() {
		var ledger spans.Ledger
		ledger.RecordLease(held("a", span(0, 99)), spans.Never)
		ledger.RecordLease(held("a", span(0, 49)), at(20*time.Second))
		ledger.BoundUnknownLeases(at(12 * time.Second))
		Expect(ledger.FreeAt(service, "", span(0, 49))).To(Equal(at(20 * time.Second)))
		Expect(ledger.FreeAt(service, "", span(50, 99))).To(Equal(at(12 * time.Second)))
	})

	// The store was away, so an owner was granted 10 s; then the store is back, and a grant of 2.5 s under the
	// same fence is answered. The upstream goes on by the longer one. Its keys were given on when the shorter one
	// had passed, and two upstreams worked on them for seconds.
	It("keeps the longer end though a shorter grant was answered after it", func() {
		var ledger spans.Ledger
		ledger.RecordLease(held("a", span(0, 99)), at(12*time.Second))
		ledger.RecordLease(held("a", span(0, 99)), at(6*time.Second))
		Expect(ledger.FreeAt(service, "b", span(0, 99))).To(Equal(at(12 * time.Second)))
		ledger.RecordLease(held("a", span(0, 99)), at(14*time.Second))
		Expect(ledger.FreeAt(service, "b", span(0, 99))).To(Equal(at(14 * time.Second)))
		ledger.RecordRelease(released("a", span(0, 49)))
		Expect(ledger.FreeAt(service, "b", span(0, 49))).To(BeZero(), "a release ends both")
		Expect(ledger.FreeAt(service, "b", span(50, 99))).To(Equal(at(14 * time.Second)))
	})

	// A grant goes unanswered: it may have been taken, so its span stays blocked for others until its end,
	// also when an earlier, shorter one was answered.
	It("keeps the latest end of unanswered grants", func() {
		var ledger spans.Ledger
		ledger.RecordLease(held("a", span(0, 99)), at(2*time.Second))
		ledger.RecordLease(held("a", span(0, 99)), at(10*time.Second))
		Expect(ledger.FreeAt(service, "b", span(10, 10))).To(Equal(at(10 * time.Second)))
		Expect(ledger.FreeAt(service, "a", span(10, 10))).To(BeZero())
	})

	// A grant of 10 s is sent and its answer lost; one of 2.5 s under the same fence is answered. The first may
	// be carried out seconds later, after the second, though its time counts from its arrival: the upstream
	// works until then on keys that would have been given on.
	It("keeps an unanswered grant's end though a shorter one was answered", func() {
		var ledger spans.Ledger
		all := cherrykeel.KeySpan{First: 0, Last: 99}
		part := cherrykeel.KeySpan{First: 50, Last: 99}
		long := ledger.RecordSent(held("a", all), at(10*time.Second))
		short := ledger.RecordSent(held("a", part), at(4*time.Second))
		ledger.RecordAnswer(short)
		ledger.RecordLease(held("a", part), at(3*time.Second))
		Expect(ledger.FreeAt(service, "", part)).To(Equal(at(10 * time.Second)))
		ledger.RecordAnswer(long)
		Expect(ledger.FreeAt(service, "", part)).To(Equal(at(3 * time.Second)))
		ledger.RecordSent(held("a", part), at(10*time.Second))
		ledger.RecordRelease(released("a", part))
		Expect(ledger.FreeAt(service, "", part)).To(BeZero(), "a release raises the fence above all that was sent")
	})

	It("frees a part of a span", func() {
		var ledger spans.Ledger
		ledger.RecordLease(held("a", span(0, 99)), at(5*time.Second))
		ledger.RecordRelease(released("a", span(40, 59)))
		Expect(ledger.FreeAt(service, "", span(40, 59))).To(BeZero())
		Expect(ledger.FreeAt(service, "", span(39, 39))).To(Equal(at(5 * time.Second)))
		Expect(ledger.FreeAt(service, "", span(60, 60))).To(Equal(at(5 * time.Second)))
	})

	It("counts 2% for a slow clock", func() {
		Expect(spans.LatestLeaseEnd(at(time.Second), 9800*time.Millisecond)).To(Equal(at(11 * time.Second)))
	})

	It("forgets an upstream whose process has ended", func() {
		var ledger spans.Ledger
		ledger.RecordLease(held("a", span(0, 99)), at(5*time.Second))
		ledger.RecordProcessEnd("a")
		Expect(ledger.FreeAt(service, "", span(0, 99))).To(BeZero())
	})
})
