package reach_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/reach"
)

const (
	modelUpstreams = 300
	// modelDials is how many connections each host opens a second.
	modelDials = 10
	// modelDuration is the modelled time after the cut, and modelSettled the time from which connections count.
	modelDuration = 10 * time.Second
	modelSettled  = 3 * time.Second
	// modelRoundTrip, modelAskInterval, modelServeTimeout and modelDialTimeout are the times of the tunnels' protocol.
	modelRoundTrip    = 2 * time.Millisecond
	modelAskInterval  = 50 * time.Millisecond
	modelServeTimeout = 100 * time.Millisecond
	modelDialTimeout  = 400 * time.Millisecond
)

// modelHost is one host of a modelled fleet.
type modelHost struct {
	peer  cherrykeel.Peer
	cut   bool
	table *reach.Table
	peers *reach.Peers
	// served counts the connections that were opened through this host.
	served int
}

// modelFleet is a fleet of hosts in virtual time, some of which have lost their links to all upstreams.
type modelFleet struct {
	hosts  map[string]*modelHost
	names  []string
	random *rand.Rand
	// refused means that lost links refuse connections; else they are silent.
	refused bool
	start   cherrykeel.Instant
	// opened and tried count the connections of hosts that are cut, from modelSettled on.
	opened, tried int
	// ended counts refusals that hosts took for the end of an upstream's process; none has ended.
	ended int
}

// newModelFleet returns a fleet of some hosts in each availability zone; isCut selects by zone and number in the zone.
func newModelFleet(zones, perZone int, refused bool, isCut func(zone, number int) bool) *modelFleet {
	fleet := &modelFleet{hosts: map[string]*modelHost{}, random: rand.New(rand.NewPCG(3, 4)), refused: refused, start: cherrykeel.Instant(time.Hour)}
	var list []cherrykeel.Peer
	for zone := range zones {
		for number := range perZone {
			peer := cherrykeel.Peer{Name: fmt.Sprintf("host-%d-%d", zone, number), Incarnation: "a", Zone: fmt.Sprintf("zone-%d", zone)}
			list = append(list, peer)
			fleet.names = append(fleet.names, peer.Name)
			fleet.hosts[peer.Name] = &modelHost{
				peer: peer, cut: isCut(zone, number),
				table: reach.NewTable(fleet.random.Float64), peers: reach.NewPeers(peer.Zone, fleet.random.Float64),
			}
		}
	}
	for _, host := range fleet.hosts {
		var others []cherrykeel.Peer
		for _, peer := range list {
			if peer.Name != host.peer.Name {
				others = append(others, peer)
			}
		}
		host.peers.Set(others)
	}
	return fleet
}

// modelDial is one connection that a host opens.
type modelDial struct {
	host *modelHost
	at   cherrykeel.Instant
}

// run opens connections from all hosts that are cut, in the order of time.
func (fleet *modelFleet) run() {
	var dials []modelDial
	for _, name := range fleet.names {
		host := fleet.hosts[name]
		if !host.cut {
			continue
		}
		for range int(modelDuration.Seconds() * modelDials) {
			dials = append(dials, modelDial{host: host, at: fleet.start.Add(time.Duration(fleet.random.Float64() * float64(modelDuration)))})
		}
	}
	sort.Slice(dials, func(i, j int) bool { return dials[i].at < dials[j].at })
	for _, dial := range dials {
		address := fmt.Sprintf("10.0.0.%d:80", fleet.random.IntN(modelUpstreams))
		opened := fleet.dial(dial.host, address, dial.at)
		if dial.at.Sub(fleet.start) < modelSettled {
			continue
		}
		fleet.tried++
		if opened {
			fleet.opened++
		}
	}
}

// share returns the share of the connections that were opened.
func (fleet *modelFleet) share() float64 {
	return float64(fleet.opened) / float64(fleet.tried)
}

// dial opens a connection as a Dialer does, and reports whether it succeeded.
func (fleet *modelFleet) dial(host *modelHost, address string, at cherrykeel.Instant) bool {
	plan := host.table.Plan(address, at)
	if !plan.Tunnel {
		return false
	}
	deadline := at.Add(modelDialTimeout)
	if !fleet.refused {
		at = at.Add(plan.HeadStart)
	}
	opened, replies, end := fleet.askAll(host, address, at, deadline)
	switch {
	case opened && plan.Direct:
		host.table.RecordMiss(address, fleet.refused, end)
	case opened:
		host.table.RecordTunneled(address, end)
	case (fleet.refused && plan.Direct || replies.Refused > 0) && host.table.IsProcessEnd(address, replies, reach.LinksLost, end):
		fleet.ended++
		host.table.RecordRefused(address, end)
	default:
		host.table.RecordUnreached(address, replies, reach.LinksLost, end)
	}
	return opened
}

// askAll asks other hosts one after the other, the next one when one has declined or has not answered for a while.
func (fleet *modelFleet) askAll(host *modelHost, address string, at, deadline cherrykeel.Instant) (bool, reach.Replies, cherrykeel.Instant) {
	var replies reach.Replies
	for _, peer := range host.peers.Order(address, address, at) {
		if at >= deadline || !replies.AllowsNext(0) {
			break
		}
		reply, took := fleet.ask(fleet.hosts[peer.Name], address, at)
		host.peers.Record(peer.Name, address, reply, at.Add(took))
		if reply == reach.Opened {
			fleet.hosts[peer.Name].served++
			return true, replies, at.Add(took)
		}
		replies.Add(reply)
		at = at.Add(min(took, modelAskInterval))
	}
	return false, replies, at
}

// ask returns another host's reply and how long it takes.
func (fleet *modelFleet) ask(asked *modelHost, address string, at cherrykeel.Instant) (reach.Reply, time.Duration) {
	switch {
	case !asked.cut:
		asked.table.RecordConnected(address, at)
		return reach.Opened, modelRoundTrip
	case asked.table.IsLost(address) || fleet.refused:
		return reach.Missing, modelRoundTrip
	default:
		return reach.Missing, modelServeTimeout
	}
}

var _ = Describe("a fleet some of whose hosts have lost all upstreams", func() {
	zoneCut := func(zone, _ int) bool { return zone == 0 }
	// Guards against callers of an availability zone whose hosts have all lost their links, who get nothing but refusals:
	// the hosts ask each other, and never one in another zone.
	DescribeTable("opens the connections of those through the others", func(zones, perZone int, isCut func(zone, number int) bool) {
		for _, refused := range []bool{false, true} {
			fleet := newModelFleet(zones, perZone, refused, isCut)
			fleet.run()
			Expect(fleet.share()).To(BeNumerically(">=", 0.95), "refused: %v", refused)
			Expect(fleet.ended).To(BeZero(), "refused: %v", refused)
		}
	},
		Entry("a zone of 2 hosts", 4, 2, zoneCut),
		Entry("a zone of 5 hosts", 4, 5, zoneCut),
		Entry("a zone of 18 hosts", 4, 18, zoneCut),
		Entry("a zone of 49 hosts", 4, 49, zoneCut),
		Entry("nine tenths of a zone of 18 hosts", 4, 18, func(zone, number int) bool { return zone == 0 && number >= 2 }),
		Entry("eight tenths of a zone of 49 hosts", 4, 49, func(zone, number int) bool { return zone == 0 && number >= 10 }),
		Entry("half of 72 hosts", 4, 18, func(_, number int) bool { return number%2 == 0 }),
		Entry("half of 196 hosts", 4, 49, func(_, number int) bool { return number%2 == 0 }),
		Entry("three zones of four, 72 hosts", 4, 18, func(zone, _ int) bool { return zone < 3 }),
		Entry("three zones of four, 196 hosts", 4, 49, func(zone, _ int) bool { return zone < 3 }),
		Entry("nine tenths of 72 hosts", 4, 18, func(_, number int) bool { return number >= 2 }),
		Entry("nine tenths of 196 hosts", 4, 49, func(_, number int) bool { return number >= 5 }),
		Entry("a zone of 24 hosts and a third of the others", 3, 24, func(zone, number int) bool { return zone == 0 || number%3 == 0 }),
	)

	// Guards against an outage of the whole fleet's callers while one host reaches all upstreams.
	DescribeTable("opens most of them through the only host that reaches the upstreams", func(perZone int) {
		for _, refused := range []bool{false, true} {
			fleet := newModelFleet(4, perZone, refused, func(zone, number int) bool { return zone > 0 || number > 0 })
			fleet.run()
			Expect(fleet.share()).To(BeNumerically(">=", 0.9), "refused: %v", refused)
		}
	},
		Entry("12 hosts", 3),
		Entry("72 hosts", 18),
		Entry("196 hosts", 49),
	)

	// Guards against a few hosts that carry the connections of a whole zone while others carry none.
	It("spreads them over the others", func() {
		fleet := newModelFleet(4, 18, false, zoneCut)
		fleet.run()
		total, most := 0, 0
		for _, host := range fleet.hosts {
			total += host.served
			most = max(most, host.served)
		}
		mean := float64(total) / float64(3*18)
		Expect(float64(most)).To(BeNumerically("<=", 3*mean))
	})
})
