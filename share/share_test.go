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

const generous = "20s"

// member is one host of a test's mesh.
type member struct {
	peer cherrykeel.Peer
	mesh *share.Mesh
	stop context.CancelFunc

	mutex   sync.Mutex
	running map[string]int
	term    int64
	demands []share.Demand
	told    []share.Announcement
	changes atomic.Int64
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

func newMember(name, life, zone string) *member {
	GinkgoHelper()
	return newMemberWith(zap.NewNop(), name, life, zone)
}

func newMemberWith(logger *zap.Logger, name, life, zone string) *member {
	GinkgoHelper()
	member := &member{peer: cherrykeel.Peer{Name: name, Incarnation: life, InternalAddress: fakes.FreeAddress(), Zone: zone}, running: map[string]int{}}
	member.mesh = share.New(member.peer, cherrykeel.SystemClock(), logger, member, func() { member.changes.Add(1) }, func() { member.changes.Add(1) },
		func(demand share.Demand) { member.set(func() { member.demands = append(member.demands, demand) }) },
		func(told share.Announcement) { member.set(func() { member.told = append(member.told, told) }) })
	Expect(member.mesh.Listen()).To(Succeed())
	ctx, stop := context.WithCancel(context.Background())
	member.stop = stop
	DeferCleanup(stop)
	go member.mesh.Run(ctx)
	return member
}

func noWork(string) map[string]time.Duration { return nil }

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

// allHeard is the view of a host that hears all others.
type allHeard struct{}

func (allHeard) IsUnreachable(string) bool      { return false }
func (allHeard) IsStoreUnreachable(string) bool { return false }

var _ = Describe("the hosts", func() {
	var one, two *member

	BeforeEach(func() {
		one = newMember("host-1", "a", "zone")
		two = newMember("host-2", "b", "zone")
		join(one, two)
	})

	running := func(member *member, id string) func() int {
		return func() int {
			return member.mesh.OtherCounts().Running[id]
		}
	}

	It("tell each other their requests and the newest term", func() {
		two.set(func() { two.running["u1"] = 3; two.term = 7 })
		Eventually(running(one, "u1"), generous).Should(Equal(3))
		Eventually(func() int64 { return one.mesh.FreshReports()[0].Report.Term }, generous).Should(Equal(int64(7)))
		two.set(func() { delete(two.running, "u1") })
		Eventually(running(one, "u1"), generous).Should(BeZero())
		Expect(one.changes.Load()).NotTo(BeZero())
		Expect(one.mesh.HostCount()).To(Equal(2))
	})

	// A host dies with requests at an upstream. Counted for ever, they would keep the upstream's slots from
	// all other hosts.
	It("forget the counts of a host that has fallen silent", func() {
		two.set(func() { two.running["u1"] = 3 })
		Eventually(running(one, "u1"), generous).Should(Equal(3))
		two.stop()
		Eventually(running(one, "u1"), generous).Should(BeZero())
		silence, heard := one.mesh.TimeSinceReport("host-2")
		Expect(heard).To(BeTrue())
		Expect(silence).To(BeNumerically(">", 0))
	})

	// A host is replaced under the same name. What its former life said, also late, is not the new one's word.
	It("believe only the present life of a host", func() {
		Eventually(func() int { return len(one.mesh.FreshReports()) }, generous).Should(Equal(1))
		next := two.peer
		next.Incarnation = "c"
		one.mesh.SetPeers([]cherrykeel.Peer{one.peer, next})
		Consistently(func() int { return len(one.mesh.FreshReports()) }, "600ms").Should(BeZero())
	})

	It("do not believe a host that has not announced itself", func() {
		three := newMember("host-3", "x", "zone")
		three.mesh.SetPeers([]cherrykeel.Peer{one.peer, three.peer})
		Consistently(func() int { return len(one.mesh.FreshReports()) }, "600ms").Should(BeNumerically("<=", 1))
	})

	It("shorten names in what they send most often", func() {
		short := share.ShortenKeys(map[string]int{"i-667efb5e2c": 2, "i-abb2493e2e": 1})
		Expect(short).To(HaveLen(2))
		Expect(short).To(HaveKeyWithValue(share.ShortName("i-667efb5e2c"), 2))
		Expect(share.ShortName("i-667efb5e2c")).To(HaveLen(4))
	})

	It("tell the keeper which keys are asked for, which may be the host itself", func() {
		one.mesh.RecordKeyRequest("halls", 7)
		one.mesh.RecordKeyRequest("halls", 9)
		one.mesh.ReportDemand("host-2", noWork)
		Eventually(func() []share.Demand { two.mutex.Lock(); defer two.mutex.Unlock(); return two.demands }, generous).
			Should(Equal([]share.Demand{{Host: "host-1", Service: "halls", Keys: []int{7, 9}}}))
		one.mesh.RecordKeyRequest("halls", 8)
		one.mesh.ReportDemand("host-1", noWork)
		Expect(one.demands).To(HaveLen(1))
		one.mesh.ReportDemand("host-1", noWork)
		Expect(one.demands).To(HaveLen(1))
	})

	It("pass on records that they have read", func() {
		record := cherrykeel.KeyedRecord{Key: "table", Value: []byte("x"), Offset: 4}
		one.mesh.Announce("spans", []cherrykeel.KeyedRecord{record}, 3)
		Eventually(func() []share.Announcement { two.mutex.Lock(); defer two.mutex.Unlock(); return two.told }, generous).
			Should(Equal([]share.Announcement{{Host: "host-1", Topic: "spans", Records: []cherrykeel.KeyedRecord{record}, PreviousOffset: 3}}))
	})

	It("go on after a message that cannot be read", func() {
		socket, err := net.Dial("udp", one.peer.InternalAddress)
		Expect(err).NotTo(HaveOccurred())
		defer socket.Close()
		for _, text := range []string{"", "{", `{"jsonrpc":"2.0","method":"Report"}`, `{"jsonrpc":"2.0","method":"Report","params":[1]}`, `{"jsonrpc":"2.0","method":"Other","params":{}}`} {
			_, _ = socket.Write([]byte(text))
		}
		two.set(func() { two.running["u1"] = 1 })
		Eventually(running(one, "u1"), generous).Should(Equal(1))
	})
})
