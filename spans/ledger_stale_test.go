package spans_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/spans"
)

var _ = Describe("an answer to a release that is late", func() {
	// An owner is asked for its keys and works on until its hold has ended, at 2 s. They are free by then and go back to
	// it under a higher fence, until 4.6 s; it takes that grant and works. Then comes its answer to the release, which
	// frees what was granted after it: other upstreams get the keys at once, and two work on one key.
	It("frees nothing that was granted after the release was sent", func() {
		var ledger spans.Ledger
		ledger.RecordLease(held("a", span(0, 99)), at(2*time.Second))
		// The release is sent here, which the ledger is not told of.
		ledger.RemoveExpired(at(2 * time.Second))
		again := spans.GrantedSpan{Service: service, Owner: "a", Span: span(0, 99), Fence: 5}
		call := ledger.RecordSent(again, at(5*time.Second))
		ledger.RecordAnswer(call)
		ledger.RecordLease(again, at(4600*time.Millisecond))
		ledger.RecordRelease(released("a", span(0, 99)))
		Expect(ledger.FreeAt(service, "b", span(0, 99))).To(Equal(at(4600 * time.Millisecond)))
	})
})
