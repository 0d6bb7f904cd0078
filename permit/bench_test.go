package permit_test

import (
	"fmt"
	"testing"
	"time"

	"cherrykeel/permit"
)

// BenchmarkAsk measures an ask of one of 195 hosts to the allocator of many upstreams.
func BenchmarkAsk(b *testing.B) {
	for _, upstreams := range []int{1, 165, 1650} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			allocator := permit.NewAllocator()
			rates := map[permit.Incarnation]float64{}
			for i := range upstreams {
				rates[permit.Incarnation{ID: fmt.Sprintf("u-%d", i)}] = 9.5
			}
			now := at(0)
			allocator.SetRates(rates, now)
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				upstream := permit.Incarnation{ID: fmt.Sprintf("u-%d", i%upstreams)}
				allocator.Ask(fmt.Sprintf("host-%d", i%195), permit.Ask{Upstream: upstream, Wants: []permit.Want{{ID: uint64(i + 1), Left: 500 * time.Millisecond}}}, now)
				allocator.TimeToNext(now)
			}
		})
	}
}

// BenchmarkChoose measures the choice of an upstream's allocator among four hubs.
func BenchmarkChoose(b *testing.B) {
	hubs := []string{"host-1", "host-2", "host-3", "host-4"}
	for b.Loop() {
		permit.Choose("i-071514ac4c", hubs)
	}
}
