package entry

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"cherrykeel"
)

// lagPace is how often the lag is measured.
const lagPace = 250 * time.Millisecond

// lag is how late this process notices what the system tells it. A goroutine that the system wakes waits behind all that
// are ready to run: seconds on a host whose callers press for more than its processor can do. Timers do not wait there, so
// that the clock alone shows no standstill, and a host that noticed its signal late was killed with requests that it had
// taken for the rest of a grace that was over.
type lag struct {
	clock cherrykeel.Clock
	// yield lets all go first that are ready to run.
	yield func()
	// begun is when the measurement under way began, or 0, and last what the one before has shown.
	begun atomic.Int64
	last  atomic.Int64
}

func newLag(clock cherrykeel.Clock) *lag {
	return &lag{clock: clock, yield: runtime.Gosched}
}

// run measures until the context ends.
func (lag *lag) run(ctx context.Context) {
	ticker := time.NewTicker(lagPace)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			lag.measure()
		}
	}
}

func (lag *lag) measure() {
	begun := lag.clock.Now()
	lag.begun.Store(int64(begun))
	lag.yield()
	lag.last.Store(int64(lag.clock.Now().Sub(begun)))
	lag.begun.Store(0)
}

// current returns the lag as far as it is known: that of a measurement under way is as long as it lasts already.
func (lag *lag) current() time.Duration {
	last := time.Duration(lag.last.Load())
	begun := cherrykeel.Instant(lag.begun.Load())
	if begun == 0 {
		return last
	}
	return max(last, lag.clock.Now().Sub(begun))
}
