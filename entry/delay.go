package entry

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"cherrykeel"
)

// measureInterval is the interval between two measurements of the scheduling delay.
const measureInterval = 250 * time.Millisecond

// schedulingDelay measures how late this process notices an event of the operating system. A goroutine that the system
// wakes waits behind all that are ready to run: seconds on a host whose callers send more than its processor can
// handle. Timers do not wait like that, so that the clock alone shows no suspension. A host that noticed its signal late
// went on admitting requests when its grace was already over, and was killed while it ran them.
type schedulingDelay struct {
	clock cherrykeel.Clock
	// yield lets all goroutines run first that are ready to run.
	yield func()
	// begun is when the running measurement began, or 0; lastMeasured is the result of the last one.
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

// current returns the delay as far as it is known: for a running measurement, at least the time that it has taken
// already.
func (schedulingDelay *schedulingDelay) current() time.Duration {
	last := time.Duration(schedulingDelay.lastMeasured.Load())
	begun := cherrykeel.Instant(schedulingDelay.begun.Load())
	if begun == 0 {
		return last
	}
	return max(last, schedulingDelay.clock.Now().Sub(begun))
}
