package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
)

var _ = Describe("the scheduling delay of a host", func() {
	// Guards against a host that assumes no delay while the first measurement on a busy processor has not ended.
	It("is how long other goroutines run first, also while it is measured", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		delay := newSchedulingDelay(clock)
		Expect(delay.current()).To(BeZero())
		delay.yield = func() {
			clock.Advance(time.Second)
			Expect(delay.current()).To(Equal(time.Second))
			clock.Advance(time.Second)
		}
		delay.measure()
		Expect(delay.current()).To(Equal(2 * time.Second))
		delay.yield = func() {}
		delay.measure()
		Expect(delay.current()).To(BeZero())
	})
})
