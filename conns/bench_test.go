package conns

import (
	"fmt"
	"testing"
)

// BenchmarkCarried measures the look whether a connection has carried a request, by the number of requests that it has.
func BenchmarkCarried(b *testing.B) {
	for _, count := range []int{16, 128, maxCarried} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var carried carried
			for number := range count {
				carried.add(fmt.Sprint("request-", number))
			}
			for b.Loop() {
				carried.has("another")
			}
		})
	}
}
