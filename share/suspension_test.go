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

var _ = Describe("a host whose process was suspended", func() {
	// Guards against a keeper that is confirmed by outdated reports. Its machine is suspended for ten seconds, another
	// host claims the spans meanwhile, and reports of the old term wait in the socket. Taken as new on resuming, they
	// would confirm the old keeper, and keys would get a second owner.
	It("does not use reports that waited in its socket as fresh", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		self := cherrykeel.Peer{Name: "host-1", Incarnation: "a", InternalAddress: fakes.FreeAddress()}
		other := cherrykeel.Peer{Name: "host-2", Incarnation: "b", InternalAddress: fakes.FreeAddress()}
		announced := make(chan share.Announcement, 100)
		state := &member{running: map[string]int{}}
		mesh := share.New(self, clock, zap.NewNop(), state, func() {}, func() {}, func(share.Demand) {}, func(announcement share.Announcement) { announced <- announcement })
		Expect(mesh.Listen()).To(Succeed())
		mesh.SetPeers([]cherrykeel.Peer{self, other})
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go mesh.Run(ctx)
		socket, err := net.Dial("udp", self.InternalAddress)
		Expect(err).NotTo(HaveOccurred())
		defer socket.Close()
		// Each report is followed by an announcement, whose arrival shows that the report has been read.
		send := func(sequence string) {
			_, err := socket.Write([]byte(`{"jsonrpc":"2.0","method":"Report","params":{"Host":"host-2","Life":"b","Sequence":` + sequence + `,"Term":7}}`))
			Expect(err).NotTo(HaveOccurred())
			_, err = socket.Write([]byte(`{"jsonrpc":"2.0","method":"Tell","params":{"Host":"host-2","Topic":"t"}}`))
			Expect(err).NotTo(HaveOccurred())
			Eventually(announced, generous).Should(Receive())
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
	// Guards against a host that takes the time at which it notices its stop signal for the time of the signal, which
	// was sent while the host was suspended.
	It("dates what it notices on resuming to the start of its suspension, and later events to their own time", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		mesh := share.New(cherrykeel.Peer{Name: "host-1"}, clock, zap.NewNop(), &member{}, func() {}, func() {}, func(share.Demand) {}, func(share.Announcement) {})
		start := clock.Now()
		Expect(mesh.EarliestEventTime()).To(Equal(start))
		clock.Advance(3 * time.Second)
		Expect(mesh.EarliestEventTime()).To(Equal(start))
		clock.Advance(100 * time.Millisecond)
		Expect(mesh.EarliestEventTime()).To(Equal(start), "it has just resumed")
		clock.Advance(100 * time.Millisecond)
		Expect(mesh.EarliestEventTime()).To(Equal(clock.Now()))
	})

	// Guards against a host that takes the start of a second, short pause for the earliest time of a signal that was
	// sent in the long pause before it, and then accepts requests that are cut off when it exits.
	It("dates what it notices after a second, short pause to the start of the long one", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		mesh := share.New(cherrykeel.Peer{Name: "host-1"}, clock, zap.NewNop(), &member{}, func() {}, func() {}, func(share.Demand) {}, func(share.Announcement) {})
		start := clock.Now()
		clock.Advance(5 * time.Second)
		Expect(mesh.EarliestEventTime()).To(Equal(start))
		clock.Advance(200 * time.Millisecond)
		Expect(mesh.EarliestEventTime()).To(Equal(start))
	})

	// Guards against a host that is always slow and dates its signal to long ago: it would refuse all callers at once.
	It("forgets the long pause once it has run for a while, however often it pauses", func() {
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
