package share

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/ginkgo/v2/dsl/table"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/permit"
)

// asksOnly records the asks that a mesh accepts.
type asksOnly struct {
	noPermits
	received []Asks
}

func (asksOnly *asksOnly) HandleAsks(asks Asks) {
	asksOnly.received = append(asksOnly.received, asks)
}

var _ = Describe("the hosts that hand out permits", func() {
	const startAt = cherrykeel.Instant(time.Hour)
	var (
		mesh     *Mesh
		clock    *fakes.Clock
		sequence uint64
	)

	// hear records a report of a host.
	hear := func(report Report) {
		sequence++
		report.Incarnation, report.Sequence = "i", sequence
		Expect(mesh.recordReport(report)).To(BeTrue())
	}

	BeforeEach(func() {
		sequence = 0
		clock = fakes.NewClock(startAt)
		mesh = New(cherrykeel.Peer{Name: "host-0", InternalAddress: "127.0.0.1:1"}, clock, zap.NewNop(), nil, func() {}, func() {}, func(Demand) {}, func(Announcement) {})
		var peers []cherrykeel.Peer
		for i := range 4 {
			peers = append(peers, cherrykeel.Peer{Name: fmt.Sprintf("host-%d", i), Incarnation: "i", InternalAddress: "127.0.0.1:1"})
		}
		mesh.SetPeers(peers)
		for i := 1; i < 4; i++ {
			hear(Report{Host: fmt.Sprintf("host-%d", i), KnowsPermits: true})
		}
	})

	// Guards against an upstream whose allocator is about to end, silent, or of a build that knows no permits.
	DescribeTable("are not those", func(change func()) {
		Expect(mesh.Allocators(false)).To(ContainElement("host-1"))
		change()
		Expect(mesh.Allocators(false)).NotTo(ContainElement("host-1"))
	},
		Entry("that stop", func() { hear(Report{Host: "host-1", KnowsPermits: true, Stopping: true}) }),
		Entry("that know no permits", func() { hear(Report{Host: "host-1"}) }),
		Entry("that report nothing any more", func() { clock.Advance(2 * time.Second) }),
	)

	It("include this host, unless it stops", func() {
		Expect(mesh.Allocators(false)).To(ContainElement("host-0"))
		Expect(mesh.Allocators(true)).NotTo(ContainElement("host-0"))
	})

	// Guards against a limit that two halves of a cut fleet hand out twice, and against hosts of older builds whose
	// requests come on top.
	It("hand out the share of the hosts that they hear and that know permits", func() {
		Expect(mesh.PermitShare()).To(Equal(1.0))
		hear(Report{Host: "host-1"})
		Expect(mesh.PermitShare()).To(Equal(0.75))
		hear(Report{Host: "host-1", Stopped: true})
		Expect(mesh.PermitShare()).To(Equal(1.0))
		clock.Advance(2 * time.Second)
		hear(Report{Host: "host-2", KnowsPermits: true})
		Expect(mesh.PermitShare()).To(BeNumerically("~", 2.0/3))
	})

	// Guards against permits that are handed out to, or taken from, a host that is not one of ours, or an ended one.
	It("take asks of known hosts only", func() {
		handler := &asksOnly{}
		mesh.SetPermitHandler(handler)
		for _, sender := range []Asks{{Host: "host-1", Incarnation: "i"}, {Host: "host-1", Incarnation: "earlier"}, {Host: "stranger", Incarnation: "i"}} {
			data, err := encode(methodAsks, sender)
			Expect(err).NotTo(HaveOccurred())
			Expect(mesh.handleMessage(data)).To(Succeed())
		}
		Expect(handler.received).To(HaveLen(1))
	})

	// Guards against messages that outgrow a datagram: a host asks for many upstreams at once.
	It("get asks of some 0.35 KB, and of many upstreams in one datagram", func() {
		ask := func(upstreams int) Asks {
			asks := Asks{Host: "front-jamsil-hall-33", Incarnation: "0a1b2c3d"}
			for i := range upstreams {
				incarnation := permit.Incarnation{ID: fmt.Sprintf("i-%010x", i), StartedAt: 1764720000123}
				asks.Asks = append(asks.Asks, permit.Ask{Upstream: incarnation, Wants: []permit.Want{{ID: 4711, Priority: 1, Left: 123456789}}})
				statement := Statement{Upstream: incarnation}
				statement.SetLimit(permit.Statement{Limited: true, PerSecond: 9.5, SentAt: startAt.Add(-123456789), ReceivedAt: startAt.Add(-12345678)}, startAt)
				asks.Statements = append(asks.Statements, statement)
			}
			return asks
		}
		for _, upstreams := range []int{1, 165} {
			data, err := encode(methodAsks, ask(upstreams))
			Expect(err).NotTo(HaveOccurred())
			fmt.Fprintf(GinkgoWriter, "%d upstreams: %d bytes\n", upstreams, len(data))
			Expect(len(data)).To(BeNumerically("<", maxDatagramBytes))
		}
	})
})
