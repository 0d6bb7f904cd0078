package relay

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
)

// BenchmarkSetUpstreams measures, by the number of upstreams, the relay's work after each change of an upstream.
func BenchmarkSetUpstreams(b *testing.B) {
	for _, count := range []int{32, 659, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			services := map[string]cherrykeel.RoutedService{}
			for i := range 4 {
				name := fmt.Sprintf("s%d", i)
				services[name] = cherrykeel.RoutedService{Name: name, Keyed: i == 0}
			}
			relay := New(Settings{Clock: cherrykeel.SystemClock(), Dialect: emptyDialect{}, Logger: zap.NewNop(), Scope: tally.NoopScope})
			relay.SetRoutes(cherrykeel.RouteSet{Version: 1, Services: services})
			var upstreams []cherrykeel.Upstream
			for i := range count {
				upstreams = append(upstreams, cherrykeel.Upstream{ID: fmt.Sprintf("i-%010d", i), Service: fmt.Sprintf("s%d", i%4), Slots: 3})
			}
			b.ReportAllocs()
			for b.Loop() {
				next := append([]cherrykeel.Upstream(nil), upstreams...)
				next[0].Leaving = !upstreams[0].Leaving
				upstreams = next
				relay.SetUpstreams(upstreams)
			}
		})
	}
}
