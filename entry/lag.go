package entry

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"cherrykeel"
)

// lagPace is how often the lag is measured.
const measureInterval = 250 * time.Millisecond

// lag is how late this process notices what the system tells it. A goroutine that the system wakes waits behind all that
// are ready to run: seconds on a host whose callers press for more than its processor can do. Timers do not wait there, so
// that the clock alone shows no standstill, and a host that noticed its signal late was killed with requests that it had
// taken for the rest of a grace that was over.
type schedulingDelay struct {
	clock cherrykeel.Clock
	// yield lets all go first that are ready to run.
	yield func()
	// begun is when the measurement under way began, or 0, and last what the one before has shown.
	begun        atomic.Int64
	lastMeasured atomic.Int64
}

func newSchedulingDelay(clock cherrykeel.Clock) *schedulingDelay {
	return &schedulingDelay{clock: clock, yield: runtime.Gosched}
}

// run measures until the context ends.
func (schedulingDelay *schedulingDelay) run(ctx context.Context) {
	ticker := time.NewTicker(measureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			schedulingDelay.measure()
		}
	}
}

func (schedulingDelay *schedulingDelay) measure() {
	begun := schedulingDelay.clock.Now()
	schedulingDelay.begun.Store(int64(begun))
	schedulingDelay.yield()
	schedulingDelay.lastMeasured.Store(int64(schedulingDelay.clock.Now().Sub(begun)))
	schedulingDelay.begun.Store(0)
}

// current returns the lag as far as it is known: that of a measurement under way is as long as it lasts already.
func (schedulingDelay *schedulingDelay) current() time.Duration {
	last := time.Duration(schedulingDelay.lastMeasured.Load())
	begun := cherrykeel.Instant(schedulingDelay.begun.Load())
	if begun == 0 {
		return last
	}
	return max(last, schedulingDelay.clock.Now().Sub(begun))
}
