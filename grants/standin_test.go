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

// unansweredLog is a store that answers no write; the writes may be carried out later.
type unansweredLog struct {
	cherrykeel.KeyedLog
	values chan []byte
}

func (log *unansweredLog) PutAt(_ context.Context, _ string, value []byte, _ int64) error {
	log.values <- value
	return errors.WithStack(cherrykeel.ErrStoreUnavailable)
}

// smallEnvironment has two upstreams of one keyed service, and one host.
type smallEnvironment struct{}

func (smallEnvironment) KeyedServices() []cherrykeel.RoutedService {
	return []cherrykeel.RoutedService{{Name: "halls", Keyed: true}}
}

func (smallEnvironment) Upstreams() []cherrykeel.Upstream {
	return []cherrykeel.Upstream{{ID: "u1", Service: "halls", Address: "u1", Slots: 3}, {ID: "u2", Service: "halls", Address: "u2", Slots: 3}}
}

func (smallEnvironment) HasEnded(string, string) bool                         { return false }
func (smallEnvironment) HasOther(string, string) bool                         { return false }
func (smallEnvironment) NotifyEnded(cherrykeel.Upstream)                      {}
func (smallEnvironment) RereadTable()                                         {}
func (smallEnvironment) StoreAvailableFor() time.Duration                     { return time.Hour }
func (smallEnvironment) PeerIncarnation(string) (string, time.Duration, bool) { return "", 0, false }
func (smallEnvironment) IsResting(string) bool                                { return false }
func (smallEnvironment) RecordRest(string, time.Duration)                     {}
func (smallEnvironment) LinkLostFor(string) time.Duration                     { return 0 }
func (smallEnvironment) IsLinkUncertain(string) bool                          { return false }
func (smallEnvironment) Rank() int                                            { return 0 }
func (smallEnvironment) Reports(time.Duration) []share.ReceivedReport         { return nil }
func (smallEnvironment) TimeSinceReport(string) (time.Duration, bool)         { return 0, false }
func (smallEnvironment) HostCount() int                                       { return 1 }
func (smallEnvironment) Current() (spans.Table, int64, bool)                  { return spans.Table{}, 0, false }
func (smallEnvironment) ApplyOwnWrite([]byte, int64)                          {}
func (smallEnvironment) IsFromCopy() bool                                     { return false }
func (smallEnvironment) ReregistrationTime() time.Duration                    { return 0 }
func (smallEnvironment) IsCorrupt() bool                                      { return false }

// unidentified is a granter's part for upstreams that do not say who they are.
type unidentified struct{}

func (unidentified) Identify(context.Context, cherrykeel.Upstream, string) error {
	return errors.WithStack(cherrykeel.ErrNoAnswer)
}

// storelessEnvironment is a smallEnvironment whose store is unavailable.
type storelessEnvironment struct {
	smallEnvironment
}

func (storelessEnvironment) StoreAvailableFor() time.Duration { return 0 }

// reportingMesh has received one report.
type reportingMesh struct {
	smallEnvironment
	report share.ReceivedReport
}

func (mesh reportingMesh) Reports(time.Duration) []share.ReceivedReport {
	return []share.ReceivedReport{mesh.report}
}

// newSteppedKeeper returns a keeper whose clock and results the spec controls.
func newSteppedKeeper(name string, clock cherrykeel.Clock, log cherrykeel.KeyedLog, environment Environment, granter cherrykeel.SpanGranter) *Keeper {
	bounds := func() cherrykeel.Bounds { return cherrykeel.Bounds{MaxLeaseDuration: 10 * time.Second} }
	return New(cherrykeel.Peer{Name: name, Incarnation: "life"}, clock, zap.NewNop(), log, "table", smallEnvironment{}, environment, smallEnvironment{}, granter, bounds)
}

// processResult runs the next result of an order or a write, as the keeper's goroutine would.
func processResult(keeper *Keeper) {
	var result func(cherrykeel.Instant)
	Eventually(keeper.results, "20s").Should(Receive(&result))
	result(keeper.clock.Now())
}
