package share_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/share"
)

func TestShare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "share")
}

// generous is a timeout that is long enough on a busy machine.
const generous = "20s"

// member is one host of a test's mesh, and the source of its state.
type member struct {
	peer cherrykeel.Peer
	mesh *share.Mesh
	stop context.CancelFunc

	mutex         sync.Mutex
	running       map[string]int
	term          int64
	demands       []share.Demand
	announcements []share.Announcement
	changes       atomic.Int64
}

func (member *member) FillReport(report *share.Report) {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	report.Term = member.term
	report.StoreAvailable = true
	report.Offsets = map[string]int64{"spans": member.term}
}

func (member *member) FillLoad(load *share.Load) bool {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	load.Running = map[string]int{}
	for id, count := range member.running {
		load.Running[id] = count
	}
	return true
}

func (member *member) set(change func()) {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	change()
}

func newMember(name, incarnation, zone string) *member {
	GinkgoHelper()
	return newMemberWith(zap.NewNop(), name, incarnation, zone)
}

func newMemberWith(logger *zap.Logger, name, incarnation, zone string) *member {
	GinkgoHelper()
	member := &member{peer: cherrykeel.Peer{Name: name, Incarnation: incarnation, InternalAddress: fakes.FreeAddress(), Zone: zone}, running: map[string]int{}}
	member.mesh = share.New(member.peer, cherrykeel.SystemClock(), logger, member, func() { member.changes.Add(1) }, func() { member.changes.Add(1) },
		func(demand share.Demand) { member.set(func() { member.demands = append(member.demands, demand) }) },
		func(announcement share.Announcement) {
			member.set(func() { member.announcements = append(member.announcements, announcement) })
		})
	Expect(member.mesh.Listen()).To(Succeed())
	ctx, stop := context.WithCancel(context.Background())
	member.stop = stop
	DeferCleanup(stop)
	go member.mesh.Run(ctx)
	return member
}

func noProcessingTimes(string) map[string]time.Duration { return nil }

func join(members ...*member) {
	for _, member := range members {
		member.mesh.SetPeers(peersOf(members))
	}
}

func peersOf(members []*member) []cherrykeel.Peer {
	var peers []cherrykeel.Peer
	for _, member := range members {
		peers = append(peers, member.peer)
	}
	return peers
}

// allReachable is the view of a host that reaches all others.
type allReachable struct{}

func (allReachable) IsUnreachable(string) bool      { return false }
func (allReachable) IsStoreUnreachable(string) bool { return false }

var _ = Describe("the hosts", func() {
	var first, second *member

	BeforeEach(func() {
		first = newMember("host-1", "a", "zone")
		second = newMember("host-2", "b", "zone")
		join(first, second)
	})

	running := func(member *member, id string) func() int {
		return func() int {
			return member.mesh.OtherCounts().Running[id]
		}
	}

	It("report their requests and the newest term to each other", func() {
		second.set(func() { second.running["u1"] = 3; second.term = 7 })
		Eventually(running(first, "u1"), generous).Should(Equal(3))
		Eventually(func() int64 { return first.mesh.FreshReports()[0].Report.Term }, generous).Should(Equal(int64(7)))
		second.set(func() { delete(second.running, "u1") })
		Eventually(running(first, "u1"), generous).Should(BeZero())
		Expect(first.changes.Load()).NotTo(BeZero())
		Expect(first.mesh.HostCount()).To(Equal(2))
	})

	// Guards against slots that stay blocked for ever: a host crashes with requests at an upstream, which must not be
	// counted any more.
	It("drop the counts of a host that has become unreachable", func() {
		second.set(func() { second.running["u1"] = 3 })
		Eventually(running(first, "u1"), generous).Should(Equal(3))
		second.stop()
		Eventually(running(first, "u1"), generous).Should(BeZero())
		silence, known := first.mesh.TimeSinceReport("host-2")
		Expect(known).To(BeTrue())
		Expect(silence).To(BeNumerically(">", 0))
	})

	// Guards against reports of a host's earlier incarnation, also late ones, that are taken for those of its
	// replacement under the same name.
	It("accept reports only of a host's present incarnation", func() {
		Eventually(func() int { return len(first.mesh.FreshReports()) }, generous).Should(Equal(1))
		next := second.peer
		next.Incarnation = "c"
		first.mesh.SetPeers([]cherrykeel.Peer{first.peer, next})
		Consistently(func() int { return len(first.mesh.FreshReports()) }, "600ms").Should(BeZero())
	})

	It("accept no reports of a host that has not announced itself", func() {
		third := newMember("host-3", "x", "zone")
		third.mesh.SetPeers([]cherrykeel.Peer{first.peer, third.peer})
		Consistently(func() int { return len(first.mesh.FreshReports()) }, "600ms").Should(BeNumerically("<=", 1))
	})

	It("shorten names in what they send most often", func() {
		short := share.ShortenKeys(map[string]int{"i-667efb5e2c": 2, "i-abb2493e2e": 1})
		Expect(short).To(HaveLen(2))
		Expect(short).To(HaveKeyWithValue(share.ShortName("i-667efb5e2c"), 2))
		Expect(share.ShortName("i-667efb5e2c")).To(HaveLen(4))
	})

	It("report the requested keys to the keeper, which may be the host itself", func() {
		first.mesh.RecordKeyRequest("halls", 7)
		first.mesh.RecordKeyRequest("halls", 9)
		first.mesh.ReportDemand("host-2", noProcessingTimes)
		Eventually(func() []share.Demand { second.mutex.Lock(); defer second.mutex.Unlock(); return second.demands }, generous).
			Should(Equal([]share.Demand{{Host: "host-1", Service: "halls", Keys: []int{7, 9}}}))
		first.mesh.RecordKeyRequest("halls", 8)
		first.mesh.ReportDemand("host-1", noProcessingTimes)
		Expect(first.demands).To(HaveLen(1))
		first.mesh.ReportDemand("host-1", noProcessingTimes)
		Expect(first.demands).To(HaveLen(1))
	})

	It("announce records that they have read", func() {
		record := cherrykeel.KeyedRecord{Key: "table", Value: []byte("x"), Offset: 4}
		first.mesh.Announce("spans", []cherrykeel.KeyedRecord{record}, 3)
		Eventually(func() []share.Announcement {
			second.mutex.Lock()
			defer second.mutex.Unlock()
			return second.announcements
		}, generous).
			Should(Equal([]share.Announcement{{Host: "host-1", Topic: "spans", Records: []cherrykeel.KeyedRecord{record}, PreviousOffset: 3}}))
	})

	It("continue after a malformed message", func() {
		socket, err := net.Dial("udp", first.peer.InternalAddress)
		Expect(err).NotTo(HaveOccurred())
		defer socket.Close()
		for _, text := range []string{"", "{", `{"jsonrpc":"2.0","method":"Report"}`, `{"jsonrpc":"2.0","method":"Report","params":[1]}`, `{"jsonrpc":"2.0","method":"Other","params":{}}`} {
			_, _ = socket.Write([]byte(text))
		}
		second.set(func() { second.running["u1"] = 1 })
		Eventually(running(first, "u1"), generous).Should(Equal(1))
	})
})
