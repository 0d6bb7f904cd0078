package entry

import (
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/share"
	"cherrykeel/watch"
)

// announcements returns the records of count hosts with the same incarnation, from an offset on.
func announcements(count int, incarnation string, offset int64) []cherrykeel.KeyedRecord {
	var records []cherrykeel.KeyedRecord
	for i := range count {
		name := fmt.Sprintf("host-%d", i)
		value, err := watch.EncodePeer(cherrykeel.Peer{Name: name, Incarnation: incarnation, InternalAddress: fmt.Sprintf("127.2.0.%d:7100", i), Zone: "zone-0"})
		if err != nil {
			panic(err)
		}
		records = append(records, cherrykeel.KeyedRecord{Key: name, Value: value, Offset: offset + int64(i)})
	}
	return records
}

var _ = Describe("the list of hosts", func() {
	const hosts = 195
	var host *Host
	var applied atomic.Int64

	BeforeEach(func() {
		host = unstartedHost(nil)
		applied.Store(0)
		host.peersThrottle.run = func() {
			applied.Add(1)
			host.applyPeers()
		}
	})

	// All hosts start at the same moment, and each announces itself to the others. When each announcement put the whole
	// list in force again, hosts with a sixth of a core were busy for two thirds of a second before they were ready.
	It("is put in force at a limited rate when many announce themselves, the last ones included", func() {
		begun := time.Now()
		for _, record := range announcements(hosts, "second", hosts) {
			host.receive(share.Announcement{Topic: topicHosts, Records: []cherrykeel.KeyedRecord{record}})
		}
		Eventually(host.mesh.HostCount, "20s").Should(Equal(hosts))
		most := 2 + int(time.Since(begun)/peersInterval)
		Expect(applied.Load()).To(BeNumerically("<=", most))
	})

	// Guards against a host that has read the whole list and uses, as the only host it knows of, the retry budget of
	// all.
	It("is in force at once after a snapshot, however recently it was put in force before", func() {
		first := announcements(1, "first", 0)
		host.receive(share.Announcement{Topic: topicHosts, Records: first})
		host.applyHosts(watch.Update{Records: announcements(hosts, "first", 0), Snapshot: true, Next: hosts})
		Expect(host.mesh.HostCount()).To(Equal(hosts))
	})

	// Guards against hosts that start unnoticed because others have started within the same interval.
	It("shows new incarnations until they are recorded, also when several hosts start in one interval", func() {
		host.applyHosts(watch.Update{Records: announcements(3, "first", 0), Snapshot: true, Next: 3})
		Expect(host.recordIncarnations(host.peers.Current())).To(BeFalse())
		host.peers.Apply(watch.Update{Records: announcements(2, "second", 3), FromPeer: true, Next: 5})
		incarnation, known := host.peers.Incarnation("host-1")
		Expect(known).To(BeTrue())
		Expect(incarnation).To(Equal("second"))
		Expect(host.recordIncarnations(host.peers.Current())).To(BeTrue())
	})
})
