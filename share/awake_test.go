package share_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/share"
)

var _ = Describe("a host that was suspended", func() {
	// A keeper's machine stands still for ten seconds. Meanwhile another host has claimed, and the first
	// seconds' reports wait in the socket: they say that the old term is the newest. Read and dated on waking,
	// they would confirm the old keeper, and an upstream that only it reaches would get keys that have
	// another owner.
	It("does not take what has waited in its socket for fresh word", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		self := cherrykeel.Peer{Name: "host-1", Incarnation: "a", InternalAddress: fakes.FreeAddress()}
		other := cherrykeel.Peer{Name: "host-2", Incarnation: "b", InternalAddress: fakes.FreeAddress()}
		told := make(chan share.Announcement, 100)
		state := &member{running: map[string]int{}}
		mesh := share.New(self, clock, zap.NewNop(), state, func() {}, func() {}, func(share.Demand) {}, func(one share.Announcement) { told <- one })
		Expect(mesh.Listen()).To(Succeed())
		mesh.SetPeers([]cherrykeel.Peer{self, other})
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go mesh.Run(ctx)
		socket, err := net.Dial("udp", self.InternalAddress)
		Expect(err).NotTo(HaveOccurred())
		defer socket.Close()
		// Each report is followed by a record, whose arrival shows that the report has been read.
		send := func(sequence string) {
			_, err := socket.Write([]byte(`{"jsonrpc":"2.0","method":"Report","params":{"Host":"host-2","Life":"b","Sequence":` + sequence + `,"Term":7}}`))
			Expect(err).NotTo(HaveOccurred())
			_, err = socket.Write([]byte(`{"jsonrpc":"2.0","method":"Tell","params":{"Host":"host-2","Topic":"t"}}`))
			Expect(err).NotTo(HaveOccurred())
			Eventually(told, generous).Should(Receive())
		}
		send("1")
		Expect(mesh.Reports(time.Second)).To(HaveLen(1))
		clock.Advance(10 * time.Second)
		send("2")
		Expect(mesh.Reports(time.Second)).To(BeEmpty())
		clock.Advance(200 * time.Millisecond)
		send("3")
		Expect(mesh.Reports(time.Second)).To(HaveLen(1))
	})
	// A host is told to stop while it stands still, and sees that when it goes on.
	It("dates what it notices then to the beginning of its standstill, and what comes later to its own time", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		mesh := share.New(cherrykeel.Peer{Name: "host-1"}, clock, zap.NewNop(), &member{}, func() {}, func() {}, func(share.Demand) {}, func(share.Announcement) {})
		begun := clock.Now()
		Expect(mesh.EarliestEventTime()).To(Equal(begun))
		clock.Advance(3 * time.Second)
		Expect(mesh.EarliestEventTime()).To(Equal(begun))
		clock.Advance(100 * time.Millisecond)
		Expect(mesh.EarliestEventTime()).To(Equal(begun), "it has just gone on")
		clock.Advance(100 * time.Millisecond)
		Expect(mesh.EarliestEventTime()).To(Equal(clock.Now()))
	})

	// Guards against a host that takes the beginning of a second, short pause for the earliest time of a signal that came
	// in the long one before, and then takes requests that its end cuts.
	It("dates what it notices after a second, short pause to the beginning of the long one", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		mesh := share.New(cherrykeel.Peer{Name: "host-1"}, clock, zap.NewNop(), &member{}, func() {}, func() {}, func(share.Demand) {}, func(share.Announcement) {})
		begun := clock.Now()
		clock.Advance(5 * time.Second)
		Expect(mesh.EarliestEventTime()).To(Equal(begun))
		clock.Advance(200 * time.Millisecond)
		Expect(mesh.EarliestEventTime()).To(Equal(begun))
	})

	// Guards against a host that is slow all the time and dates its signal to long ago: it would refuse all callers at once.
	It("forgets the long one once it has run for a while, however often it pauses", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		mesh := share.New(cherrykeel.Peer{Name: "host-1"}, clock, zap.NewNop(), &member{}, func() {}, func() {}, func(share.Demand) {}, func(share.Announcement) {})
		clock.Advance(5 * time.Second)
		mesh.EarliestEventTime()
		for range 10 {
			clock.Advance(200 * time.Millisecond)
			mesh.EarliestEventTime()
		}
		Expect(clock.Now().Sub(mesh.EarliestEventTime())).To(BeNumerically("<=", time.Second))
	})
})
