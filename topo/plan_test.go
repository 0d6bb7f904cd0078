package topo_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/topo"
)

func TestTopo(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "topo")
}

type view struct {
	unreachable      map[string]bool
	storeUnreachable map[string]bool
}

func (view view) IsUnreachable(name string) bool      { return view.unreachable[name] }
func (view view) IsStoreUnreachable(name string) bool { return view.storeUnreachable[name] }

// hosts returns hosts in four availability zones, of which two in each zone have five times the capacity of the others.
func hosts(perZone int) []cherrykeel.Peer {
	var peers []cherrykeel.Peer
	for _, zone := range []string{"a", "b", "c", "d"} {
		for i := range perZone {
			peer := cherrykeel.Peer{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Capacity: 0.16}
			if i < 2 {
				peer.Capacity = 0.8
			}
			peers = append(peers, peer)
		}
	}
	return peers
}

// countMessages counts what all hosts send in a round: a load, a report, and what aggregators and hubs send.
func countMessages(peers []cherrykeel.Peer) (all, most int) {
	for _, peer := range peers {
		plan := topo.New(peer.Name, peers, view{})
		sent := 0
		switch {
		case plan.FullMesh:
			sent = 2 * (len(peers) - 1)
		default:
			sent = 1 + len(plan.Hubs)
			if plan.Aggregator == peer.Name {
				sent += len(plan.Group) + len(plan.Aggregators)*(1+len(plan.Group))
			}
			if plan.IsHub(peer.Name) {
				sent += len(peers)
			}
		}
		all += sent
		most = max(most, sent)
	}
	return all, most
}

var _ = Describe("the plan of messages", func() {
	It("is the same on all hosts with the same view", func() {
		peers := hosts(18)
		want := topo.New("a-0", peers, view{})
		for _, peer := range peers {
			plan := topo.New(peer.Name, peers, view{})
			Expect(plan.Order).To(Equal(want.Order))
			Expect(plan.Hubs).To(Equal(want.Hubs))
			Expect(plan.Group).To(ContainElement(peer.Name))
		}
	})

	It("assigns roles to the hosts with the highest capacity", func() {
		peers := hosts(18)
		plan := topo.New("a-9", peers, view{})
		Expect(plan.Aggregator).To(BeElementOf("a-0", "a-1"))
		Expect(plan.Aggregators).To(HaveLen(3))
		for _, name := range append(plan.Hubs, plan.Aggregators...) {
			Expect(name).To(MatchRegexp(`-[01]$`))
		}
	})

	It("is a full mesh for few hosts", func() {
		Expect(topo.New("a-0", hosts(3), view{}).FullMesh).To(BeTrue())
		Expect(topo.New("a-0", hosts(4), view{}).FullMesh).To(BeFalse())
	})

	// If each host sent to every other one, that would be 72 times 71 messages a round for loads, and as many for
	// reports.
	DescribeTable("needs messages about in proportion to the hosts", func(perZone, atMost int) {
		all, _ := countMessages(hosts(perZone))
		Expect(all).To(BeNumerically("<=", atMost))
	},
		Entry("72 hosts", 18, 72*15),
		Entry("300 hosts", 75, 300*30),
	)

	// An aggregator crashes, and its group no longer receives the loads of the others. The next host in order must
	// replace it, and the aggregators of the other groups must send to that one.
	It("replaces an unreachable aggregator", func() {
		peers := hosts(18)
		aggregator := topo.New("a-9", peers, view{}).Aggregator
		failed := view{unreachable: map[string]bool{aggregator: true}}
		next := topo.New("a-9", peers, failed).Aggregator
		Expect(next).NotTo(Equal(aggregator))
		Expect(topo.New(next, peers, failed).Aggregator).To(Equal(next))
		Expect(topo.New("b-9", peers, failed).Aggregators).To(ContainElement(next))
	})

	It("replaces unreachable hubs", func() {
		peers := hosts(18)
		unreachable := map[string]bool{}
		for _, name := range topo.New("a-9", peers, view{}).Hubs {
			unreachable[name] = true
		}
		plan := topo.New("a-9", peers, view{unreachable: unreachable})
		Expect(plan.Hubs).To(HaveLen(4))
		for _, name := range plan.Hubs {
			Expect(unreachable).NotTo(HaveKey(name))
		}
	})

	// The store refuses all hubs. A host that can read it, and that receives enough reports to be the keeper, must
	// become a hub as well.
	It("adds hubs to which the store is available", func() {
		peers := hosts(18)
		storeless := map[string]bool{}
		for _, name := range topo.New("a-9", peers, view{}).Hubs {
			storeless[name] = true
		}
		plan := topo.New("a-9", peers, view{storeUnreachable: storeless})
		Expect(plan.Hubs).To(HaveLen(8))
	})

	// Guards against an outage in which each hub adds another one until every host sends to every other.
	It("bounds the hubs while the store is unavailable to all", func() {
		peers := hosts(75)
		storeless := map[string]bool{}
		for _, peer := range peers {
			storeless[peer.Name] = true
		}
		Expect(topo.New("a-9", peers, view{storeUnreachable: storeless}).Hubs).To(HaveLen(12))
		gone := map[string]bool{}
		for _, name := range topo.New("a-9", peers, view{}).Order[:40] {
			gone[name] = true
		}
		plan := topo.New("a-9", peers, view{unreachable: gone, storeUnreachable: storeless})
		Expect(plan.Hubs).To(HaveLen(12))
		for _, name := range plan.Hubs {
			Expect(name == "a-9" || !gone[name]).To(BeTrue(), name)
		}
	})

	It("divides a large zone into groups of bounded size", func() {
		peers := hosts(75)
		seen := map[string]bool{}
		for _, peer := range peers {
			plan := topo.New(peer.Name, peers, view{})
			Expect(len(plan.Group)).To(BeNumerically("<=", 24))
			seen[plan.GroupLabel] = true
		}
		Expect(seen).To(HaveLen(16))
	})
})

// Guards against sums that grow with the square of the number of groups because they are sent as often as for few
// groups.
var _ = DescribeTable("the interval at which an aggregator sends its sum",
	func(aggregators, ticks int) {
		Expect(topo.Plan{Aggregators: make([]string, aggregators)}.SumTicks()).To(Equal(ticks))
	},
	Entry("one group", 0, 1),
	Entry("four groups", 3, 1),
	Entry("six groups", 5, 2),
	Entry("twelve groups", 11, 4),
	Entry("many groups", 274, 4),
)
