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

// messages are what a host of 195 with 659 upstreams sends most often.
func messages() map[string]any {
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

// BenchmarkMessage is a message's way through its sender, and through each of its receivers.
func BenchmarkMessage(b *testing.B) {
	for method, message := range messages() {
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
		b.Run("take/"+method, func(b *testing.B) {
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

// BenchmarkOthers adds up what all other hosts of 195 do at 659 upstreams, as a member of a group does with each sum.
func BenchmarkOthers(b *testing.B) {
	sum := messages()[methodSum].(Sum)
	rest := sum
	rest.Group = restOf(sum.Group)
	loads := newLoads()
	loads.takeSum(sum, 1)
	loads.takeSum(rest, 1)
	plan := topo.Plan{GroupLabel: sum.Group, Aggregator: sum.Host}
	b.ReportAllocs()
	for b.Loop() {
		loads.total(plan, "front-2", 1)
	}
}

// BenchmarkRank is a watcher's look for its place among 195 hosts, which each of its topics takes ten times a second.
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
		mesh.heard[peer.Name] = ReceivedReport{Report: Report{Host: peer.Name, StoreAvailable: true}, ReceivedAt: mesh.clock.Now().Add(time.Hour)}
	}
	b.ReportAllocs()
	for b.Loop() {
		mesh.Rank(func(report Report) bool { return report.StoreAvailable })
	}
}
