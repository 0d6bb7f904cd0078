package share_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/share"
)

var _ = Describe("a host that goes on after a standstill and has much to do", func() {
	// Guards against a host that takes the beginning of a second, short pause for the earliest time of a signal that came
	// in the long one before, and then takes requests that its end cuts.
	It("dates what it notices after a second, short pause to the beginning of the long one", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		mesh := share.New(cherrykeel.Peer{Name: "host-1"}, clock, zap.NewNop(), &member{}, func() {}, func() {}, func(share.Demand) {}, func(share.Told) {})
		begun := clock.Now()
		clock.Advance(5 * time.Second)
		Expect(mesh.Earliest()).To(Equal(begun))
		clock.Advance(200 * time.Millisecond)
		Expect(mesh.Earliest()).To(Equal(begun))
	})

	// Guards against a host that is slow all the time and dates its signal to long ago: it would refuse all callers at once.
	It("forgets the long one once it has run for a while, however often it pauses", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		mesh := share.New(cherrykeel.Peer{Name: "host-1"}, clock, zap.NewNop(), &member{}, func() {}, func() {}, func(share.Demand) {}, func(share.Told) {})
		clock.Advance(5 * time.Second)
		mesh.Earliest()
		for range 10 {
			clock.Advance(200 * time.Millisecond)
			mesh.Earliest()
		}
		Expect(clock.Now().Sub(mesh.Earliest())).To(BeNumerically("<=", time.Second))
	})
})
