package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/topo"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

// allReachable is a topo.View in which every host is reachable.
type allReachable struct{}

func (allReachable) IsUnreachable(string) bool      { return false }
func (allReachable) IsStoreUnreachable(string) bool { return false }

// fleet simulates 200 hosts in six availability zones that announce changes to each other by datagrams, 5% of which are
// lost.
type fleet struct {
	random  *rand.Rand
	plans   map[string]topo.Plan
	order   []string
	known   map[string]int64
	missing map[string]*missingChange
	reads   int
}

const (
	fleetHosts     = 200
	lostShare      = 0.05
	reportInterval = 500 * time.Millisecond
	checkInterval  = 250 * time.Millisecond
)

func newFleet() *fleet {
	fleet := &fleet{random: rand.New(rand.NewPCG(3, 5)), plans: map[string]topo.Plan{}, known: map[string]int64{}, missing: map[string]*missingChange{}}
	var peers []cherrykeel.Peer
	for i := range fleetHosts {
		peers = append(peers, cherrykeel.Peer{Name: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("zone-%d", i%6), Capacity: 0.16})
	}
	for _, peer := range peers {
		fleet.plans[peer.Name] = topo.New(peer.Name, peers, allReachable{})
		fleet.known[peer.Name] = -1
		fleet.missing[peer.Name] = &missingChange{}
	}
	fleet.order = fleet.plans[peers[0].Name].Order
	return fleet
}

func (fleet *fleet) isDelivered() bool { return fleet.random.Float64() >= lostShare }

// announce sends changes, each of which is based on the one before, as share.Mesh.Announce does.
func (fleet *fleet) announce(sender string, records []cherrykeel.KeyedRecord, before int64) {
	receive := func(name string) {
		if !fleet.isDelivered() {
			return
		}
		follows := before
		for _, record := range records {
			if fleet.known[name] == follows {
				fleet.known[name] = record.Offset
			}
			follows = record.Offset
		}
	}
	fleet.known[sender] = records[len(records)-1].Offset
	for _, name := range fleet.plans[sender].Group {
		receive(name)
	}
	for _, forwarder := range fleet.plans[sender].Forwarders {
		if !fleet.isDelivered() {
			continue
		}
		receive(forwarder)
		for _, name := range fleet.plans[forwarder].Group {
			receive(name)
		}
	}
}

// checkReports compares each host's state with what the announcing host reports, and counts the reads that follow.
func (fleet *fleet) checkReports(sender string, now time.Duration) {
	for _, name := range fleet.order {
		if fleet.missing[name].isReadDue(fleet.known[name], fleet.known[sender], cherrykeel.Instant(now)) {
			fleet.reads++
			fleet.known[name] = fleet.known[sender]
		}
	}
}

// run announces a change in each interval and goes on for two seconds after the last one.
func (fleet *fleet) run(changes int, interval time.Duration, announce func(sender string, offset int64)) {
	sender := fleet.order[0]
	for now := time.Duration(0); now < time.Duration(changes)*interval+2*time.Second; now += 10 * time.Millisecond {
		if now%interval == 0 && int(now/interval) < changes {
			announce(sender, int64(now/interval))
		}
		if now%checkInterval == 0 {
			fleet.checkReports(sender, now)
		}
	}
}

var _ = Describe("reads of the store by 200 hosts", func() {
	// The keeper writes the table ten times a second while keys are transferred, and one datagram in 20 is lost. A host
	// that misses an announcement receives its change with the next one. When each report of a newer table triggered a
	// read, 12 writes led to 249 reads.
	It("are few for 20 tables, since each announcement repeats the changes before", func() {
		fleet := newFleet()
		var recent recentChanges
		fleet.run(20, 100*time.Millisecond, func(sender string, offset int64) {
			records, before := recent.add(cherrykeel.KeyedRecord{Offset: offset}, offset-1)
			fleet.announce(sender, records, before)
		})
		Expect(fleet.reads).To(BeNumerically("<=", 20))
		for name, known := range fleet.known {
			Expect(known).To(Equal(int64(19)), name)
		}
	})

	// Upstreams change rarely, so no announcement is repeated; a host that misses a change reads the store, once.
	It("are few for 20 changes of upstreams", func() {
		fleet := newFleet()
		fleet.run(20, time.Second, func(sender string, offset int64) {
			fleet.announce(sender, []cherrykeel.KeyedRecord{{Offset: offset}}, offset-1)
		})
		Expect(fleet.reads).To(BeNumerically("<=", 120), "instead of 200 for each change")
		for name, known := range fleet.known {
			Expect(known).To(Equal(int64(19)), name)
		}
	})
})

var _ = Describe("reads of topics that others announce", func() {
	// With one interval for all, 195 hosts made 26 reads a second that found nothing.
	DescribeTable("have the same total rate however many hosts there are", func(hosts int) {
		perSecond := float64(hosts) / fallbackIntervalOf(hosts).Seconds()
		Expect(perSecond).To(BeNumerically("<=", 0.41), "for each topic")
	},
		Entry("few", 8), Entry("some", 18), Entry("dozens", 72), Entry("hundreds", 195), Entry("thousands", 6600),
	)

	It("keep the shortest interval among few hosts", func() {
		for hosts := range fewHosts + 1 {
			Expect(fallbackIntervalOf(hosts)).To(Equal(30 * time.Second))
		}
	})
})

var _ = Describe("a host that lacks a change", func() {
	at := func(milliseconds int) cherrykeel.Instant {
		return cherrykeel.Instant(time.Duration(milliseconds) * time.Millisecond)
	}

	It("waits for the announcement, then reads, and reads again if it still lacks the change", func() {
		var missing missingChange
		Expect(missing.isReadDue(4, 5, at(0))).To(BeFalse())
		Expect(missing.isReadDue(4, 6, at(200))).To(BeFalse())
		Expect(missing.isReadDue(4, 7, at(260))).To(BeTrue(), "the time counts from the first missing change, however many follow")
		Expect(missing.isReadDue(4, 7, at(300))).To(BeFalse())
		Expect(missing.isReadDue(4, 7, at(520))).To(BeTrue())
	})

	It("does not read if the announcement has arrived meanwhile", func() {
		var missing missingChange
		Expect(missing.isReadDue(4, 5, at(0))).To(BeFalse())
		Expect(missing.isReadDue(5, 6, at(200))).To(BeFalse())
		Expect(missing.isReadDue(5, 6, at(300))).To(BeFalse(), "the change that is missing now has been missing for 100 ms")
		Expect(missing.isReadDue(6, 6, at(460))).To(BeFalse())
	})
})
