package grants

import (
	"context"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/share"
	"cherrykeel/spans"
)

// openLog is a store that answers no write; it may carry them out later.
type openLog struct {
	cherrykeel.KeyedLog
	values chan []byte
}

func (log *openLog) PutAt(_ context.Context, _ string, value []byte, _ int64) error {
	log.values <- value
	return errors.WithStack(cherrykeel.ErrStoreUnavailable)
}

// smallWorld has two upstreams of one keyed service, and one host.
type smallWorld struct{}

func (smallWorld) KeyedServices() []cherrykeel.RoutedService {
	return []cherrykeel.RoutedService{{Name: "halls", Keyed: true}}
}

func (smallWorld) Upstreams() []cherrykeel.Upstream {
	return []cherrykeel.Upstream{{ID: "u1", Service: "halls", Address: "u1", Slots: 3}, {ID: "u2", Service: "halls", Address: "u2", Slots: 3}}
}

func (smallWorld) IsReplaced(string, string) bool                       { return false }
func (smallWorld) NotifyEnded(string)                                   {}
func (smallWorld) RereadTable()                                         {}
func (smallWorld) StoreAvailableFor() time.Duration                     { return time.Hour }
func (smallWorld) PeerIncarnation(string) (string, time.Duration, bool) { return "", 0, false }
func (smallWorld) Rank() int                                            { return 0 }
func (smallWorld) Reports(time.Duration) []share.ReceivedReport         { return nil }
func (smallWorld) TimeSinceReport(string) (time.Duration, bool)         { return 0, false }
func (smallWorld) HostCount() int                                       { return 1 }
func (smallWorld) Current() (spans.Table, int64, bool)                  { return spans.Table{}, 0, false }
func (smallWorld) ApplyOwnWrite([]byte, int64)                          {}
func (smallWorld) IsCorrupt() bool                                      { return false }

// newStepped returns a keeper whose clock and results the spec drives itself.
func newStepped(name string, clock cherrykeel.Clock, log cherrykeel.KeyedLog, world Environment, granter cherrykeel.SpanGranter) *Keeper {
	bounds := func() cherrykeel.Bounds { return cherrykeel.Bounds{MaxLeaseDuration: 10 * time.Second} }
	return New(cherrykeel.Peer{Name: name, Incarnation: "life"}, clock, zap.NewNop(), log, "table", smallWorld{}, world, smallWorld{}, granter, bounds)
}

// settle takes the next result of an order or a write.
func settle(keeper *Keeper) {
	var result func(cherrykeel.Instant)
	Eventually(keeper.results, "20s").Should(Receive(&result))
	result(keeper.clock.Now())
}
