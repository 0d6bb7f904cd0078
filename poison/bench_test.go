package poison_test

import (
	"fmt"
	"runtime"
	"testing"

	"cherrykeel/poison"
)

var requestParts = poison.RequestParts{Method: "PUT", Domain: "h.example", Path: "/puka111/2f/4f71?a=b", CallerAddress: "10.0.0.1:4000", Body: make([]byte, 4000)}

func BenchmarkTarget(b *testing.B) {
	for b.Loop() {
		requestParts.Target()
	}
}

func BenchmarkIdentify(b *testing.B) {
	for b.Loop() {
		poison.FingerprintOf(requestParts)
	}
}

// filledTable returns a table with the given number of requests, each with one crash; twenty requests share a crash.
func filledTable(count int) *poison.Table {
	table := poison.NewTable()
	for number := range count {
		table.RecordCrash(attempt(number, fmt.Sprint("u", number/20), "address", "cookie"), noon)
	}
	return table
}

func BenchmarkMerge(b *testing.B) {
	for _, count := range []int{16, 128, 512} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := filledTable(count)
			runtime.GC()
			runtime.ReadMemStats(&after)
			record, _ := table.Find(fingerprint(0))
			value, _ := record.Encode()
			next := attempt(0, "v")
			for b.Loop() {
				next.Incarnation.StartedAt++
				table.RecordCrash(next, noon)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/record")
			b.ReportMetric(float64(len(value)), "B/told")
			runtime.KeepAlive(table)
		})
	}
}
