package reach_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/reach"
)

func hostList(zones ...string) []cherrykeel.Peer {
	var list []cherrykeel.Peer
	for i, zone := range zones {
		list = append(list, cherrykeel.Peer{Name: fmt.Sprintf("host-%d", i), Incarnation: "a", Zone: zone})
	}
	return list
}

func names(list []cherrykeel.Peer) []string {
	var names []string
	for _, peer := range list {
		names = append(names, peer.Name)
	}
	return names
}

var _ = Describe("the hosts to ask", func() {
	var peers *reach.Peers
	var now cherrykeel.Instant
	BeforeEach(func() {
		now = cherrykeel.Instant(time.Hour)
		random := rand.New(rand.NewPCG(1, 2))
		peers = reach.NewPeers("z1", random.Float64)
		peers.Set(hostList("z1", "z1", "z2", "z2", "z2"))
	})
	order := func() []string { return names(peers.Order(first, "u", now)) }
	// firstsOf returns the hosts that are asked first for an upstream, of many orders.
	firstsOf := func(address, shortName string) []string {
		var seen []string
		for range 50 {
			name := peers.Order(address, shortName, now)[0].Name
			if !slices.Contains(seen, name) {
				seen = append(seen, name)
			}
		}
		return seen
	}
	firsts := func(shortName string) []string { return firstsOf(first, shortName) }

	// Guards against a host that asks hosts of its own zone only, all of which may have lost the same links.
	It("begin in the own zone, and alternate between zones from there", func() {
		for range 20 {
			Expect(order()).To(HaveLen(5))
			Expect(order()[0]).To(BeElementOf("host-0", "host-1"))
			Expect(order()[1]).To(BeElementOf("host-2", "host-3", "host-4"))
			Expect(order()[:4]).To(ContainElements("host-0", "host-1"))
		}
	})

	// Guards against bytes between zones for nothing: hosts that were never asked counted as hosts without links in the
	// first minute after a machine's start.
	It("begin in the own zone also shortly after the start of the machine", func() {
		now = cherrykeel.Instant(time.Second)
		for range 20 {
			Expect(order()[0]).To(BeElementOf("host-0", "host-1"))
		}
	})

	// Guards against a host whose only way is forgotten since an upstream has ended, which that way could not connect to.
	It("go on with a host that opens connections after it could not connect to an upstream that has ended", func() {
		peers.Record("host-0", first, reach.Missing, now)
		peers.Record("host-1", first, reach.Missing, now)
		peers.Record("host-3", first, reach.Opened, now)
		peers.Record("host-3", second, reach.Refused, now)
		peers.Record("host-3", second, reach.Unreached, now)
		for range 20 {
			Expect(order()[:2]).To(ContainElement("host-3"))
		}
	})

	It("are nine at the most", func() {
		peers.Set(hostList(slices.Repeat([]string{"z1", "z2", "z3"}, 8)...))
		Expect(order()).To(HaveLen(9))
	})

	// Guards against a zone of hosts without links that are each asked again for each of hundreds of upstreams.
	It("are later those that miss links of their own, for every address", func() {
		peers.Record("host-0", first, reach.Missing, now)
		peers.Record("host-1", first, reach.Missing, now)
		Expect(names(peers.Order(second, "v", now))[:3]).To(ConsistOf("host-2", "host-3", "host-4"))
		now = now.Add(2 * time.Second)
		Expect(firsts("u")).To(ContainElements("host-0", "host-1"))
	})

	// Guards against a host in a zone without links that has found another one which opens connections, and forgets it.
	It("have one among the first two that has opened a connection, and begin now and then with another", func() {
		peers.Record("host-0", first, reach.Missing, now)
		peers.Record("host-1", first, reach.Missing, now)
		peers.Record("host-3", first, reach.Opened, now)
		now = now.Add(30 * time.Second)
		begins := map[string]int{}
		for range 400 {
			Expect(order()[:2]).To(ContainElement("host-3"))
			begins[order()[0]]++
		}
		Expect(begins["host-3"]).To(BeNumerically("~", 200, 60))
		peers.Record("host-3", first, reach.Silent, now)
		Expect(order()[:2]).NotTo(ContainElement("host-3"))
	})

	// Guards against a host that carries all connections of a zone that has lost its links, while others carry none.
	It("are spread", func() {
		peers.Set(hostList("z2", "z2", "z2", "z2"))
		asked := map[string]int{}
		for range 400 {
			asked[order()[0]]++
		}
		for _, count := range asked {
			Expect(count).To(BeNumerically("~", 100, 40))
		}
		Expect(asked).To(HaveLen(4))
	})

	// Guards against asking hosts that have lost the same links: a zone of hosts is cut at one moment.
	It("are not first those that report the upstream as out of their reach", func() {
		peers.SetStatuses(map[string]reach.Status{"host-0": {Unreached: []string{"u"}}, "host-1": {Overflow: true}})
		Expect(order()[:3]).To(ConsistOf("host-2", "host-3", "host-4"))
		peers.SetStatuses(map[string]reach.Status{"host-0": {Unreached: []string{"another"}}})
		Expect(firsts("u")).To(ConsistOf("host-0", "host-1"))
	})

	It("are not first those that could not open it a moment ago, for that address only", func() {
		peers.Record("host-0", first, reach.Unreached, now)
		Expect(firsts("u")).To(ConsistOf("host-1"))
		Expect(firstsOf(second, "v")).To(ConsistOf("host-0", "host-1"))
		now = now.Add(time.Second)
		Expect(firsts("u")).To(ConsistOf("host-0", "host-1"))
	})

	It("are last those that do not answer, have no room or stop", func() {
		peers.Record("host-0", second, reach.Silent, now)
		peers.SetStatuses(map[string]reach.Status{"host-1": {Stopping: true}})
		Expect(order()[:3]).To(ConsistOf("host-2", "host-3", "host-4"))
		Expect(peers.IsLeaving("host-1")).To(BeTrue())
		Expect(peers.IsLeaving("no host")).To(BeTrue())
	})

	// Guards against time lost at hosts of an earlier build, which serve no such connections.
	It("are not those that cannot be asked, until they are started anew", func() {
		peers.Set(hostList("z1"))
		peers.Record("host-0", first, reach.Incapable, now)
		Expect(order()).To(BeEmpty())
		restarted := hostList("z1")
		restarted[0].Incarnation = "b"
		peers.Set(restarted)
		Expect(order()).To(Equal([]string{"host-0"}))
	})

	// Guards against connections through a host that stops: among many hosts its reports are not sent to all after the one
	// that says so.
	It("are last those that have reported once that they stop, but not those that report again", func() {
		peers.SetStatuses(map[string]reach.Status{"host-0": {Stopping: true}, "host-1": {Silent: true}})
		Expect(peers.IsLeaving("host-1")).To(BeTrue())
		peers.SetStatuses(map[string]reach.Status{"host-1": {}})
		Expect(peers.IsLeaving("host-0")).To(BeTrue())
		Expect(peers.IsLeaving("host-1")).To(BeFalse())
		Expect(order()[0]).To(Equal("host-1"))
	})
})
