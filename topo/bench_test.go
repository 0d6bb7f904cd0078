package topo_test

import (
	"fmt"
	"testing"

	"cherrykeel"
	"cherrykeel/topo"
)

// BenchmarkPlan computes the plan of one host of 195 in six availability zones, as each host does every 80 ms.
func BenchmarkPlan(b *testing.B) {
	var peers []cherrykeel.Peer
	for i := range 195 {
		peers = append(peers, cherrykeel.Peer{Name: fmt.Sprintf("front-%d", i), Zone: fmt.Sprintf("zone-%d", i%6), Capacity: 0.16})
	}
	fleet := topo.NewFleet("front-7", peers)
	b.ReportAllocs()
	for b.Loop() {
		fleet.Plan(allReachable{})
	}
}

// allReachable is a View in which every host and the store are reachable.
type allReachable struct{}

func (allReachable) IsUnreachable(string) bool      { return false }
func (allReachable) IsStoreUnreachable(string) bool { return false }
