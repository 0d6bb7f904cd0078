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

// hosts returns hosts in four zones, of which two a zone can carry five times as much as the others.
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

// countMessages counts what all hosts send in a round: a load, a report, and what heads and watchers send on.
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
	It("is the same at all hosts that see the same", func() {
		peers := hosts(18)
		want := topo.New("a-0", peers, view{})
		for _, peer := range peers {
			plan := topo.New(peer.Name, peers, view{})
			Expect(plan.Order).To(Equal(want.Order))
			Expect(plan.Hubs).To(Equal(want.Hubs))
			Expect(plan.Group).To(ContainElement(peer.Name))
		}
	})

	It("gives duties to the hosts that can carry most", func() {
		peers := hosts(18)
		plan := topo.New("a-9", peers, view{})
		Expect(plan.Aggregator).To(BeElementOf("a-0", "a-1"))
		Expect(plan.Aggregators).To(HaveLen(3))
		for _, name := range append(plan.Hubs, plan.Aggregators...) {
			Expect(name).To(MatchRegexp(`-[01]$`))
		}
	})

	It("keeps every host telling each other one while they are few", func() {
		Expect(topo.New("a-0", hosts(3), view{}).FullMesh).To(BeTrue())
		Expect(topo.New("a-0", hosts(4), view{}).FullMesh).To(BeFalse())
	})

	// Each host to each other one is 72 times 71 messages a round for loads, and as many for reports.
	DescribeTable("grows about as the hosts do", func(perZone, atMost int) {
		all, _ := countMessages(hosts(perZone))
		Expect(all).To(BeNumerically("<=", atMost))
	},
		Entry("72 hosts", 18, 72*15),
		Entry("300 hosts", 75, 300*30),
	)

	// A head dies, and with it what its group hears of the others. The next in order takes its place, and
	// the other groups' heads find it there.
	It("replaces a head that is silent", func() {
		peers := hosts(18)
		head := topo.New("a-9", peers, view{}).Aggregator
		lost := view{unreachable: map[string]bool{head: true}}
		next := topo.New("a-9", peers, lost).Aggregator
		Expect(next).NotTo(Equal(head))
		Expect(topo.New(next, peers, lost).Aggregator).To(Equal(next))
		Expect(topo.New("b-9", peers, lost).Aggregators).To(ContainElement(next))
	})

	It("replaces watchers that are silent", func() {
		peers := hosts(18)
		silent := map[string]bool{}
		for _, name := range topo.New("a-9", peers, view{}).Hubs {
			silent[name] = true
		}
		plan := topo.New("a-9", peers, view{unreachable: silent})
		Expect(plan.Hubs).To(HaveLen(4))
		for _, name := range plan.Hubs {
			Expect(silent).NotTo(HaveKey(name))
		}
	})

	// The store turns all watchers away. Somebody who can read it, and who hears enough hosts to keep the
	// spans, has to hear the reports too.
	It("adds watchers whom the store serves", func() {
		peers := hosts(18)
		storeless := map[string]bool{}
		for _, name := range topo.New("a-9", peers, view{}).Hubs {
			storeless[name] = true
		}
		plan := topo.New("a-9", peers, view{storeUnreachable: storeless})
		Expect(plan.Hubs).To(HaveLen(8))
	})

	// Guards against watchers that follow each other in an outage until everyone tells everyone.
	It("keeps the watchers few while the store serves nobody", func() {
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

// Guards against sums among groups that grow with the square of the groups at the pace that few groups need.
var _ = DescribeTable("how often a head tells the others its sum",
	func(heads, ticks int) {
		Expect(topo.Plan{Aggregators: make([]string, heads)}.SumTicks()).To(Equal(ticks))
	},
	Entry("one group", 0, 1),
	Entry("four groups", 3, 1),
	Entry("six groups", 5, 2),
	Entry("twelve groups", 11, 4),
	Entry("many groups", 274, 4),
)
