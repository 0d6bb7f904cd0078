package poison_test

import (
	"fmt"
	"runtime"
	"testing"

	"cherrykeel/poison"
)

var request = poison.RequestParts{Method: "PUT", Domain: "h.example", Path: "/puka111/2f/4f71?a=b", CallerAddress: "10.0.0.1:4000", Body: make([]byte, 4000)}

func BenchmarkTarget(b *testing.B) {
	for b.Loop() {
		request.Target()
	}
}

func BenchmarkIdentify(b *testing.B) {
	for b.Loop() {
		poison.FingerprintOf(request)
	}
}

// filled is a table with so many requests that stand at one end each, twenty of them at each.
func filled(count int) *poison.Table {
	table := poison.NewTable()
	for number := range count {
		table.RecordCrash(ended(number, fmt.Sprint("u", number/20), "address", "cookie"), noon)
	}
	return table
}

func BenchmarkMerge(b *testing.B) {
	for _, count := range []int{16, 128, 512} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := filled(count)
			runtime.GC()
			runtime.ReadMemStats(&after)
			record, _ := table.Find(identity(0))
			value, _ := record.Encode()
			news := ended(0, "v")
			for b.Loop() {
				news.Incarnation.StartedAt++
				table.RecordCrash(news, noon)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/record")
			b.ReportMetric(float64(len(value)), "B/told")
			runtime.KeepAlive(table)
		})
	}
}
