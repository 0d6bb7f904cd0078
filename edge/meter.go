package edge

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"cherrykeel"
)

// PriorityMeter is the priority of the stage that counts and times requests.
const PriorityMeter = 150

// latencyBuckets are the bounds of the latency histogram.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)

type serviceMeter struct {
	requests tally.Counter
	failures map[cherrykeel.Outcome]tally.Counter
	latency  tally.Histogram
}

type meter struct {
	scope    tally.Scope
	clock    cherrykeel.Clock
	mutex    sync.RWMutex
	services map[string]*serviceMeter
}

// NewMeter returns the stage that counts requests and failures and times requests, per service.
func NewMeter(scope tally.Scope, clock cherrykeel.Clock) cherrykeel.Stage {
	return &meter{scope: scope, clock: clock, services: map[string]*serviceMeter{}}
}

// Serve implements cherrykeel.Stage.
func (meter *meter) Serve(exchange *cherrykeel.Exchange, next cherrykeel.Next) *cherrykeel.Failure {
	failure := next(exchange)
	path := "none"
	if exchange.Service != nil {
		path = exchange.Service.Path
	}
	service := meter.meterOf(path)
	service.requests.Inc(1)
	service.latency.RecordDuration(meter.clock.Now().Sub(exchange.Arrived))
	if failure != nil {
		service.failures[failure.Outcome].Inc(1)
	}
	return failure
}

func (meter *meter) meterOf(path string) *serviceMeter {
	meter.mutex.RLock()
	known, exists := meter.services[path]
	meter.mutex.RUnlock()
	if exists {
		return known
	}
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	scope := meter.scope.Tagged(map[string]string{"service": path})
	known = &serviceMeter{
		requests: scope.Counter("requests"),
		latency:  scope.Histogram("latency", latencyBuckets),
		failures: map[cherrykeel.Outcome]tally.Counter{
			cherrykeel.NotRun:         scope.Tagged(map[string]string{"outcome": "not_run"}).Counter("failures"),
			cherrykeel.OutcomeUnknown: scope.Tagged(map[string]string{"outcome": "unknown"}).Counter("failures"),
		},
	}
	meter.services[path] = known
	return known
}
