package share

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/topo"
)

// sampleMessages returns the messages that a host of 195 with 659 upstreams sends most often, by method.
func sampleMessages() map[string]any {
	counts := newCounts()
	for i := range 659 {
		counts.Running[ShortName(fmt.Sprintf("i-%010d", i))] = 1 + i%3
	}
	load := newCounts()
	for i := range 8 {
		load.Running[ShortName(fmt.Sprintf("i-%010d", i))] = 1
	}
	included := map[string]uint64{}
	for i := range 16 {
		included[ShortName(fmt.Sprintf("host-%d", i))] = uint64(1000 + i)
	}
	return map[string]any{
		methodLoad: Load{Host: "front-1", Incarnation: "0123abcd", Sequence: 1234, Counts: load},
		methodSum:  Sum{Host: "front-1", Incarnation: "0123abcd", Group: "z1/0", Sequence: 1234, Counts: counts, IncludedSequences: included},
		methodReport: Report{
			Host: "front-1", Incarnation: "0123abcd", Sequence: 1234, Term: 70, StoreAvailable: true,
			Offsets: map[string]int64{"settings": 3, "upstreams": 4711, "hosts": 195, "spans": 70},
			Ages:    map[string]time.Duration{"settings": time.Second, "upstreams": time.Second},
		},
	}
}

// BenchmarkMessage measures how long a message takes at its sender, and at each of its receivers.
func BenchmarkMessage(b *testing.B) {
	for method, message := range sampleMessages() {
		b.Run("send/"+method, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := encode(method, message)
				if err != nil {
					b.Fatal(err)
				}
			}
		})
		data, err := encode(method, message)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("receive/"+method, func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(data)), "B/message")
			for b.Loop() {
				_, params, err := decode(data)
				if err != nil {
					b.Fatal(err)
				}
				var sum Sum
				err = json.Unmarshal(params, &sum)
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkOthers adds up the counts of all other hosts of 195 at 659 upstreams, as a group's member does after each
// sum.
func BenchmarkOthers(b *testing.B) {
	sum := sampleMessages()[methodSum].(Sum)
	others := sum
	others.Group = otherGroupsLabel(sum.Group)
	loads := newLoads()
	loads.recordSumIfNewer(sum, 1)
	loads.recordSumIfNewer(others, 1)
	plan := topo.Plan{GroupLabel: sum.Group, Aggregator: sum.Host}
	b.ReportAllocs()
	for b.Loop() {
		loads.otherHosts(plan, "front-2", 1)
	}
}

// BenchmarkRank measures how long a hub takes to find its rank among 195 hosts, which each of its topics does ten times
// a second.
func BenchmarkRank(b *testing.B) {
	self := cherrykeel.Peer{Name: "host-0", Zone: "z1"}
	mesh := New(self, cherrykeel.SystemClock(), zap.NewNop(), nil, nil, nil, nil, nil)
	peers := []cherrykeel.Peer{self}
	for i := 1; i < 195; i++ {
		peers = append(peers, cherrykeel.Peer{Name: fmt.Sprintf("host-%d", i), Zone: "z1"})
	}
	mesh.fleet = topo.NewFleet(self.Name, peers)
	mesh.replan()
	for _, peer := range peers[1:] {
		mesh.reports[peer.Name] = ReceivedReport{Report: Report{Host: peer.Name, StoreAvailable: true}, ReceivedAt: mesh.clock.Now().Add(time.Hour)}
	}
	b.ReportAllocs()
	for b.Loop() {
		mesh.Rank(func(report Report) bool { return report.StoreAvailable })
	}
}
