package share_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/share"
	"cherrykeel/topo"
)

var _ = Describe("many hosts", func() {
	var members []*member

	BeforeEach(func() {
		members = nil
		for i := range topo.MaxFullMeshHosts + 4 {
			member := newMember(fmt.Sprintf("host-%d", i), "a", fmt.Sprintf("zone-%d", i%2))
			members = append(members, member)
		}
		join(members...)
	})

	running := func(member *member, id string) func() int {
		return func() int { return member.mesh.OtherCounts().Running[id] }
	}

	// Guards against a host that counts its own requests among the others'. Each host has one request at the same
	// upstream; counted twice, it would make the upstream look fuller than it is, and slots would stay unused.
	It("count each other's requests through their groups' aggregators, and not their own", func() {
		for _, member := range members {
			member.set(func() { member.running["u1"] = 1 })
		}
		for _, member := range members {
			Eventually(running(member, "u1"), generous).Should(Equal(len(members) - 1))
		}
		members[3].set(func() { delete(members[3].running, "u1") })
		Eventually(running(members[3], "u1"), generous).Should(Equal(len(members) - 1))
		Eventually(running(members[4], "u1"), generous).Should(Equal(len(members) - 2))
	})

	// Guards against an announcement that misses a group because one of its two forwarders is down, and against
	// forwarders that pass it on more than once.
	It("all get an announcement through two forwarders of each other group", func() {
		sender := members[0]
		plan := topo.New(sender.peer.Name, peersOf(members), allReachable{})
		Expect(plan.Forwarders).To(HaveLen(2))
		for _, member := range members {
			if member.peer.Name == plan.Forwarders[0] {
				member.stop()
			}
		}
		sender.mesh.Announce("spans", []cherrykeel.KeyedRecord{{Key: "table", Value: []byte("x"), Offset: 7}}, 6)
		for _, member := range members[1:] {
			if member.peer.Name == plan.Forwarders[0] {
				continue
			}
			Eventually(func() int { member.mutex.Lock(); defer member.mutex.Unlock(); return len(member.announcements) }, generous).Should(BeNumerically(">=", 1))
			Consistently(func() int { member.mutex.Lock(); defer member.mutex.Unlock(); return len(member.announcements) }, "50ms").Should(BeNumerically("<=", 2))
		}
	})

	// Guards against groups that stay without sums when the aggregators of both crash: after a second the next hosts
	// must take over and find each other.
	It("replace aggregators that crash", func() {
		crashed := map[string]bool{}
		alive := func() []*member {
			var remaining []*member
			for _, member := range members {
				if !crashed[member.peer.Name] {
					remaining = append(remaining, member)
				}
			}
			return remaining
		}
		for _, member := range members {
			plan := topo.New(member.peer.Name, peersOf(members), allReachable{})
			if plan.Aggregator == member.peer.Name {
				crashed[member.peer.Name] = true
				member.stop()
			}
		}
		Expect(crashed).To(HaveLen(2))
		for _, member := range alive() {
			member.set(func() { member.running["u2"] = 1 })
		}
		for _, member := range alive() {
			Eventually(running(member, "u2"), generous).Should(Equal(len(members) - 3))
		}
	})

	// Only hubs, which may become keepers and remove records of crashed hosts, receive all reports; every host receives
	// the keeper's.
	It("report to the hubs and the keeper, which report to all", func() {
		plan := topo.New("host-0", peersOf(members), allReachable{})
		keeper := plan.Order[len(plan.Order)-1]
		for _, member := range members {
			member.mesh.SetKeeper(keeper)
		}
		for _, member := range members {
			received := func() int { return len(member.mesh.FreshReports()) }
			if plan.IsHub(member.peer.Name) || member.peer.Name == keeper {
				Eventually(received, generous).Should(Equal(len(members) - 1))
				continue
			}
			Eventually(func() bool { _, known := member.mesh.TimeSinceReport(keeper); return known }, generous).Should(BeTrue())
			Expect(member.mesh.HubDuration()).To(BeZero())
			Eventually(func() int {
				return member.mesh.Rank(func(share.Report) bool { return true })
			}, generous).Should(BeNumerically(">=", 4))
		}
	})

	// Guards against a fleet in which no host can claim the spans: all hubs crash, the keeper among them, and others
	// must begin to receive the reports of most hosts.
	It("choose other hubs when these crash", func() {
		plan := topo.New("host-0", peersOf(members), allReachable{})
		var remaining []*member
		for _, member := range members {
			if plan.IsHub(member.peer.Name) {
				member.stop()
				continue
			}
			remaining = append(remaining, member)
		}
		Eventually(func() int {
			receiving := 0
			for _, member := range remaining {
				if len(member.mesh.Reports(time.Second)) == len(remaining)-1 && member.mesh.HubDuration() > 0 {
					receiving++
				}
			}
			return receiving
		}, generous).Should(BeNumerically(">=", 4))
	})
})
