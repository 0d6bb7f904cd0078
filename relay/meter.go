package relay

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets reach from the durations of the router's own refusals to the longest timeouts of callers.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// meter counts and times requests by service and result.
type meter struct {
	scope  tally.Scope
	mutex  sync.Mutex
	scopes map[[2]string]tally.Scope
}

func newMeter(scope tally.Scope) *meter {
	return &meter{scope: scope, scopes: map[[2]string]tally.Scope{}}
}

// taggedScope returns the cached metrics scope of a service and a result.
func (meter *meter) taggedScope(service, result string) tally.Scope {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	key := [2]string{service, result}
	scope, known := meter.scopes[key]
	if !known {
		scope = meter.scope.Tagged(map[string]string{"service": service, "result": result})
		meter.scopes[key] = scope
	}
	return scope
}

func (meter *meter) recordServed(service string, status int, duration time.Duration) {
	meter.record(meter.taggedScope(service, strconv.Itoa(status)), duration)
}

func (meter *meter) recordFailed(service, code string, duration time.Duration) {
	meter.record(meter.taggedScope(service, code), duration)
}

// recordRest counts a rest that an upstream of a service has asked for.
func (meter *meter) recordRest(service string) {
	meter.scope.Tagged(map[string]string{"service": service}).Counter("rests").Inc(1)
}

// recordRetry counts a retry that the budget of a service has granted or declined.
func (meter *meter) recordRetry(service string, granted bool) {
	name := "retries_declined"
	if granted {
		name = "retries_granted"
	}
	meter.scope.Tagged(map[string]string{"service": service}).Counter(name).Inc(1)
}

// showRetryBalance shows how many retries of a service this host may still send.
func (meter *meter) showRetryBalance(service string, balance float64) {
	meter.scope.Tagged(map[string]string{"service": service}).Gauge("retry_balance").Update(balance)
}

// recordLimitedSend counts a request that is sent to an upstream that names a limit.
func (meter *meter) recordLimitedSend(upstream string) {
	meter.scope.Tagged(map[string]string{"upstream": upstream}).Counter("limited_sent").Inc(1)
}

// recordLimited counts a request that is refused since limits leave no room for it; the upstream is its key's owner, or
// empty.
func (meter *meter) recordLimited(upstream string) {
	meter.scope.Tagged(map[string]string{"upstream": upstream}).Counter("limited_refused").Inc(1)
}

func (meter *meter) record(scope tally.Scope, duration time.Duration) {
	scope.Counter("requests").Inc(1)
	scope.Histogram("latency", latencyBuckets).RecordDuration(duration)
}
