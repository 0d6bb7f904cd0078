package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
)

var _ = Describe("the lag of a host", func() {
	// Guards against a host that takes itself for quick while the first measurement on a busy processor is not over.
	It("is how long others go first, also while it is measured", func() {
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
