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

// granted returns a span that was granted to an upstream under fence 1.
func granted(owner string, span cherrykeel.KeySpan) spans.GrantedSpan {
	return spans.GrantedSpan{Service: service, Owner: owner, Span: span, Fence: 1}
}

// released returns the span of a release, which has fence 2.
func released(owner string, span cherrykeel.KeySpan) spans.GrantedSpan {
	return spans.GrantedSpan{Service: service, Owner: owner, Span: span, Fence: 2}
}

func span(first, last int) cherrykeel.KeySpan {
	return cherrykeel.KeySpan{First: first, Last: last}
}

var _ = Describe("the ledger", func() {
	// Guards against a lease that counts as ended too early: a new keeper grants a lease that ends after the bound on
	// the leases of its predecessor, and then moves the span. If the bound applied to its own leases too, the span
	// would go to a second owner while the first still works on it.
	It("bounds the leases of earlier keepers only", func() {
		var ledger spans.Ledger
		ledger.RecordLease(granted("a", span(0, 99)), spans.Never)
		ledger.RecordLease(granted("a", span(0, 49)), at(20*time.Second))
		ledger.BoundUnknownLeases(at(12 * time.Second))
		Expect(ledger.FreeAt(service, "", span(0, 49))).To(Equal(at(20 * time.Second)))
		Expect(ledger.FreeAt(service, "", span(50, 99))).To(Equal(at(12 * time.Second)))
	})

	// Guards against a shorter grant that hides a longer lease: an owner got a lease of 10 s while the store was
	// unavailable, and then one of 2.5 s under the same fence. The upstream uses the longer one; if its keys were
	// transferred when the shorter one ends, two upstreams would work on them for seconds.
	It("keeps the later end when a shorter grant is answered later", func() {
		var ledger spans.Ledger
		ledger.RecordLease(granted("a", span(0, 99)), at(12*time.Second))
		ledger.RecordLease(granted("a", span(0, 99)), at(6*time.Second))
		Expect(ledger.FreeAt(service, "b", span(0, 99))).To(Equal(at(12 * time.Second)))
		ledger.RecordLease(granted("a", span(0, 99)), at(14*time.Second))
		Expect(ledger.FreeAt(service, "b", span(0, 99))).To(Equal(at(14 * time.Second)))
		ledger.RecordRelease(released("a", span(0, 49)))
		Expect(ledger.FreeAt(service, "b", span(0, 49))).To(BeZero(), "a release ends both")
		Expect(ledger.FreeAt(service, "b", span(50, 99))).To(Equal(at(14 * time.Second)))
	})

	// Guards against keys that are granted to two upstreams: a span is blocked for other upstreams until the latest of
	// its leases ends. Its owner may be granted it again at any time.
	It("blocks a span until the latest of its leases ends, except for its owner", func() {
		var ledger spans.Ledger
		ledger.RecordLease(granted("a", span(0, 99)), at(2*time.Second))
		ledger.RecordLease(granted("a", span(0, 99)), at(10*time.Second))
		Expect(ledger.FreeAt(service, "b", span(10, 10))).To(Equal(at(10 * time.Second)))
		Expect(ledger.FreeAt(service, "a", span(10, 10))).To(BeZero())
	})

	// Guards against an unanswered grant that is applied late: a grant of 10 s gets no answer, and one of 2.5 s under
	// the same fence is answered. The first may be applied after the second, though its lease counts from its
	// arrival, so the upstream may use the keys until that lease ends.
	It("keeps the end of an unanswered grant when a shorter one is answered", func() {
		var ledger spans.Ledger
		all := cherrykeel.KeySpan{First: 0, Last: 99}
		part := cherrykeel.KeySpan{First: 50, Last: 99}
		long := ledger.RecordSent(granted("a", all), at(10*time.Second))
		short := ledger.RecordSent(granted("a", part), at(4*time.Second))
		ledger.RecordAnswer(short)
		ledger.RecordLease(granted("a", part), at(3*time.Second))
		Expect(ledger.FreeAt(service, "", part)).To(Equal(at(10 * time.Second)))
		ledger.RecordAnswer(long)
		Expect(ledger.FreeAt(service, "", part)).To(Equal(at(3 * time.Second)))
		ledger.RecordSent(granted("a", part), at(10*time.Second))
		ledger.RecordRelease(released("a", part))
		Expect(ledger.FreeAt(service, "", part)).To(BeZero(), "a release raises the fence above all grants sent before")
	})

	It("frees part of a span", func() {
		var ledger spans.Ledger
		ledger.RecordLease(granted("a", span(0, 99)), at(5*time.Second))
		ledger.RecordRelease(released("a", span(40, 59)))
		Expect(ledger.FreeAt(service, "", span(40, 59))).To(BeZero())
		Expect(ledger.FreeAt(service, "", span(39, 39))).To(Equal(at(5 * time.Second)))
		Expect(ledger.FreeAt(service, "", span(60, 60))).To(Equal(at(5 * time.Second)))
	})

	It("allows 2% for a slow clock", func() {
		Expect(spans.LatestLeaseEnd(at(time.Second), 9800*time.Millisecond)).To(Equal(at(11 * time.Second)))
	})

	It("removes the leases of a process that has ended", func() {
		var ledger spans.Ledger
		ledger.RecordLease(granted("a", span(0, 99)), at(5*time.Second))
		ledger.RecordProcessEnd("a")
		Expect(ledger.FreeAt(service, "", span(0, 99))).To(BeZero())
	})
})
