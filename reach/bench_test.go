package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cherrykeel"
	"cherrykeel/reach"
)

func BenchmarkOrder(b *testing.B) {
	for _, hosts := range []int{11, 195, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			peers := reach.NewPeers("zone-0", rand.Float64)
			var list []cherrykeel.Peer
			for i := range hosts {
				list = append(list, cherrykeel.Peer{Name: fmt.Sprintf("host-%d", i), Incarnation: "a", Zone: fmt.Sprintf("zone-%d", i%4)})
			}
			peers.Set(list)
			for b.Loop() {
				peers.Order(first, "u", cherrykeel.Instant(time.Hour))
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, upstreams := range []int{32, 659, 6600} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			table := reach.NewTable(rand.Float64)
			for i := range upstreams {
				table.RecordConnected(fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), 0)
			}
			for b.Loop() {
				table.Plan(first, cherrykeel.Instant(time.Hour))
			}
		})
	}
}
