package share

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// messages are what a host of 195 with 659 upstreams sends most often.
func messages() map[string]any {
	counts := newCounts()
	for i := range 659 {
		counts.Running[Short(fmt.Sprintf("i-%010d", i))] = 1 + i%3
	}
	load := newCounts()
	for i := range 8 {
		load.Running[Short(fmt.Sprintf("i-%010d", i))] = 1
	}
	included := map[string]uint64{}
	for i := range 16 {
		included[Short(fmt.Sprintf("host-%d", i))] = uint64(1000 + i)
	}
	return map[string]any{
		methodLoad: Load{Host: "front-1", Life: "0123abcd", Sequence: 1234, Counts: load},
		methodSum:  Sum{Host: "front-1", Life: "0123abcd", Group: "z1/0", Sequence: 1234, Counts: counts, Included: included},
		methodReport: Report{
			Host: "front-1", Life: "0123abcd", Sequence: 1234, Term: 70, StoreWell: true,
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
