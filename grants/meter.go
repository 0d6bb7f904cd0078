package grants

import (
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"cherrykeel"
)

// waitBuckets range from no wait for a worker up to the wait after which an order is no longer sent.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

const (
	orderGrant   = "grant"
	orderRelease = "release"
)

// meter counts orders to upstreams, that is grants and releases, by their results, and transferred spans by the
// evidence that they were free.
type meter struct {
	scope tally.Scope
}

// countOrder counts an order by its result, and records how long it waited for a worker.
func (meter meter) countOrder(order string, err error, waited time.Duration) {
	scope := meter.scope.Tagged(map[string]string{"order": order, "result": resultLabel(err)})
	scope.Counter("orders").Inc(1)
	meter.scope.Tagged(map[string]string{"order": order}).Histogram("order_wait", waitBuckets).RecordDuration(waited)
}

// countTransfer counts a transferred span.
func (meter meter) countTransfer(by evidence) {
	meter.scope.Tagged(map[string]string{"free_by": string(by)}).Counter("spans_given_on").Inc(1)
}

func resultLabel(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, cherrykeel.ErrFenced):
		return "fenced"
	case errors.Is(err, cherrykeel.ErrUpstreamReplaced):
		return "ended"
	case errors.Is(err, errWithdrawn):
		return "withdrawn"
	case errors.Is(err, errOverdue):
		return "overdue"
	case errors.Is(err, cherrykeel.ErrNotSent):
		return "not_sent"
	default:
		return "unanswered"
	}
}
