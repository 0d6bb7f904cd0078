package spans_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/spans"
)

var _ = Describe("a late answer to a release", func() {
	// Guards against a late answer that frees a newer lease: an owner is asked to release its keys and works until
	// its lease ends at 2 s. The keys are free, and the owner gets them back under a higher fence until 4.6 s. Then
	// its answer to the release arrives; if that freed the new lease, two upstreams would work on one key.
	It("does not free a grant that was sent after the release", func() {
		var ledger spans.Ledger
		ledger.RecordLease(granted("a", span(0, 99)), at(2*time.Second))
		// The release with fence 2 is sent here; the ledger records only answers to releases.
		ledger.RemoveExpired(at(2 * time.Second))
		again := spans.GrantedSpan{Service: service, Owner: "a", Span: span(0, 99), Fence: 5}
		call := ledger.RecordSent(again, at(5*time.Second))
		ledger.RecordAnswer(call)
		ledger.RecordLease(again, at(4600*time.Millisecond))
		ledger.RecordRelease(released("a", span(0, 99)))
		Expect(ledger.FreeAt(service, "b", span(0, 99))).To(Equal(at(4600 * time.Millisecond)))
	})
})
