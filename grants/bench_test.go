package grants_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/grants"
	"cherrykeel/share"
)

// BenchmarkKeeper runs a keeper of 231 owners whose keys get 350 requests a second. It reports the share of a core that
// the keeper's ticks and grants use, without the cost of sending the grants.
func BenchmarkKeeper(b *testing.B) {
	var ids []string
	for i := range 231 {
		ids = append(ids, fmt.Sprintf("i-%010d", i))
	}
	store := newFakeStore(ids...)
	clock := &shiftedClock{}
	keeper := grants.New(cherrykeel.Peer{Name: selfName, Incarnation: "life-" + selfName}, clock, zap.NewNop(), store, "table", store, store,
		&fakeMesh{clock: clock, hostCount: 1}, instantGranter{}, func() cherrykeel.Bounds { return cherrykeel.Bounds{MaxLeaseDuration: 10 * time.Second} })
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go keeper.Run(ctx)
	ask := func() {
		var keys []int
		for range 35 {
			keys = append(keys, rand.IntN(cherrykeel.MaxKey+1))
		}
		keeper.RecordDemand(share.Demand{Host: "other", Service: service, Keys: keys})
		time.Sleep(100 * time.Millisecond)
	}
	for range 30 {
		ask()
	}
	begun, used := time.Now(), processorTime(b)
	for b.Loop() {
		ask()
	}
	b.ReportMetric(100*(processorTime(b)-used).Seconds()/time.Since(begun).Seconds(), "%core")
}

// instantGranter answers all orders at once.
type instantGranter struct{}

func (instantGranter) Identify(context.Context, cherrykeel.Upstream, string) error { return nil }

func (instantGranter) Grant(context.Context, cherrykeel.Upstream, cherrykeel.SpanGrant) error {
	return nil
}

func (instantGranter) Release(context.Context, cherrykeel.Upstream, cherrykeel.KeySpan, int64) (string, error) {
	return "", nil
}

func (instantGranter) IsLeaving(context.Context, cherrykeel.Upstream, string) (bool, error) {
	return false, nil
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
