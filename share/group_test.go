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

	// Each host has one request at the same upstream. Every other one has to count all but its own: with its
	// own counted twice an upstream would look fuller than it is, and slots stay unused.
	It("count each other's requests through the heads of their groups, and not their own", func() {
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

	// A host tells of a change. It sends to its own group and to two hosts of the other one, which pass it on to
	// theirs: each host hears of it though one of the two has died, and nobody passes it on twice over.
	It("are all told through two hosts of each other group", func() {
		teller := members[0]
		plan := topo.New(teller.peer.Name, peersOf(members), allHeard{})
		Expect(plan.Forwarders).To(HaveLen(2))
		for _, member := range members {
			if member.peer.Name == plan.Forwarders[0] {
				member.stop()
			}
		}
		teller.mesh.Announce("spans", []cherrykeel.KeyedRecord{{Key: "table", Value: []byte("x"), Offset: 7}}, 6)
		for _, member := range members[1:] {
			if member.peer.Name == plan.Forwarders[0] {
				continue
			}
			Eventually(func() int { member.mutex.Lock(); defer member.mutex.Unlock(); return len(member.told) }, generous).Should(BeNumerically(">=", 1))
			Consistently(func() int { member.mutex.Lock(); defer member.mutex.Unlock(); return len(member.told) }, "50ms").Should(BeNumerically("<=", 2))
		}
	})

	// The heads of both groups die. For a second their groups go on with what they heard, then the next hosts
	// sum up, and find each other.
	It("go on when the heads are lost", func() {
		lost := map[string]bool{}
		alive := func() []*member {
			var rest []*member
			for _, member := range members {
				if !lost[member.peer.Name] {
					rest = append(rest, member)
				}
			}
			return rest
		}
		for _, member := range members {
			plan := topo.New(member.peer.Name, peersOf(members), allHeard{})
			if plan.Aggregator == member.peer.Name {
				lost[member.peer.Name] = true
				member.stop()
			}
		}
		Expect(lost).To(HaveLen(2))
		for _, member := range alive() {
			member.set(func() { member.running["u2"] = 1 })
		}
		for _, member := range alive() {
			Eventually(running(member, "u2"), generous).Should(Equal(len(members) - 3))
		}
	})

	// Only a few hosts hear from all; they can keep spans and drop records of the lost. All hear the keeper.
	It("report to the watchers and the keeper, who report to all", func() {
		plan := topo.New("host-0", peersOf(members), allHeard{})
		keeper := plan.Order[len(plan.Order)-1]
		for _, member := range members {
			member.mesh.SetKeeper(keeper)
		}
		for _, member := range members {
			hears := func() int { return len(member.mesh.FreshReports()) }
			if plan.IsHub(member.peer.Name) || member.peer.Name == keeper {
				Eventually(hears, generous).Should(Equal(len(members) - 1))
				continue
			}
			Eventually(func() bool { _, heard := member.mesh.TimeSinceReport(keeper); return heard }, generous).Should(BeTrue())
			Expect(member.mesh.HubDuration()).To(BeZero())
			Eventually(func() int {
				return member.mesh.Rank(func(share.Report) bool { return true })
			}, generous).Should(BeNumerically(">=", 4))
		}
	})

	// All watchers die, the one that keeps spans among them. Others must come to hear most hosts, or nobody
	// could claim.
	It("choose other watchers when these are lost", func() {
		plan := topo.New("host-0", peersOf(members), allHeard{})
		var rest []*member
		for _, member := range members {
			if plan.IsHub(member.peer.Name) {
				member.stop()
				continue
			}
			rest = append(rest, member)
		}
		Eventually(func() int {
			hearing := 0
			for _, member := range rest {
				if len(member.mesh.Reports(time.Second)) == len(rest)-1 && member.mesh.HubDuration() > 0 {
					hearing++
				}
			}
			return hearing
		}, generous).Should(BeNumerically(">=", 4))
	})
})
