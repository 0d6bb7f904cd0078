package spans_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/spans"
)

var _ = Describe("the latest end of a lease", func() {
	// Guards against a lease that counts as ended too early: an upstream's clock that runs 2% slow shows 0.98 s when
	// a second has passed, and 10 s after 10.204 s. With 10.2 s for a lease of 10 s, the keys would be free 4 ms
	// before the upstream stops using them.
	It("allows for the slowest clock", func() {
		const duration = 10 * time.Second
		ended := spans.LatestLeaseEnd(0, duration)
		measured := time.Duration(ended) * 98 / 100
		Expect(measured).To(BeNumerically(">=", duration))
		Expect(ended).To(BeNumerically("<", cherrykeel.Instant(duration+duration/40)))
	})
})
