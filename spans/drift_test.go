package spans_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/spans"
)

var _ = Describe("the end of a hold", func() {
	// An upstream's clock runs 2% slow: it shows 0.98 s when a second has passed, and 10 s when 10.204 s have. Counted
	// as 10.2 s, the keys are free 4 ms before the upstream lets go of them.
	It("is when the slowest clock has measured it", func() {
		const hold = 10 * time.Second
		ended := spans.LatestLeaseEnd(0, hold)
		measured := time.Duration(ended) * 98 / 100
		Expect(measured).To(BeNumerically(">=", hold))
		Expect(ended).To(BeNumerically("<", cherrykeel.Instant(hold+hold/40)))
	})
})
