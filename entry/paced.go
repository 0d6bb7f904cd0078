package entry

import (
	"sync"
	"time"

	"cherrykeel"
)

// paced does something soon after it is asked to, at a bounded pace, and always once more after it was last asked.
type throttle struct {
	clock    cherrykeel.Clock
	interval time.Duration
	run      func()

	mutex   sync.Mutex
	lastRun cherrykeel.Instant
	pending bool
}

// ask has it done now, or when the pace allows.
func (throttle *throttle) trigger() {
	throttle.mutex.Lock()
	now := throttle.clock.Now()
	left := throttle.interval - now.Sub(throttle.lastRun)
	if left <= 0 {
		throttle.lastRun = now
		throttle.mutex.Unlock()
		throttle.run()
		return
	}
	if !throttle.pending {
		throttle.pending = true
		time.AfterFunc(left, throttle.runPending)
	}
	throttle.mutex.Unlock()
}

// late does what was asked for within the pace.
func (throttle *throttle) runPending() {
	throttle.mutex.Lock()
	throttle.pending = false
	throttle.lastRun = throttle.clock.Now()
	throttle.mutex.Unlock()
	throttle.run()
}
