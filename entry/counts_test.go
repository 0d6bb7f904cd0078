package entry

import (
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/share"
)

var _ = Describe("the other hosts' counts", func() {
	// 24 hosts of a group send their counts within a millisecond. They are summed up once at once and once when the
	// last ones have arrived, not 24 times; the second sum includes the last ones.
	It("are summed up at a limited rate, the last ones included", func() {
		var sums, sent, seen atomic.Int64
		counted := &throttle{clock: cherrykeel.SystemClock(), interval: countsInterval, run: func() {
			sums.Add(1)
			seen.Store(sent.Load())
		}}
		for range 24 {
			sent.Add(1)
			counted.trigger()
		}
		Eventually(seen.Load, "20s").Should(Equal(int64(24)))
		Expect(sums.Load()).To(BeNumerically("<=", 24))
		before := sums.Load()
		Consistently(sums.Load, 5*countsInterval).Should(Equal(before), "no more counts have arrived")
	})

	It("are returned by the upstreams' IDs", func() {
		names := newShortNames([]cherrykeel.Upstream{{ID: "i-1"}, {ID: "i-2"}})
		Expect(names.expand(map[string]int{share.ShortName("i-2"): 3, share.ShortName("i-9"): 4})).To(Equal(map[string]int{"i-2": 3}))
	})
})
