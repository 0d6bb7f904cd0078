package entry

import (
	"sync"
	"time"

	"cherrykeel"
)

// throttle runs a function soon after it is triggered, at a limited rate, and always once more after the last trigger.
type throttle struct {
	clock    cherrykeel.Clock
	interval time.Duration
	run      func()

	mutex   sync.Mutex
	lastRun cherrykeel.Instant
	pending bool
}

// trigger runs the function now, or as soon as the interval allows it.
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

// runPending runs the function for the triggers that came within the interval.
func (throttle *throttle) runPending() {
	throttle.mutex.Lock()
	throttle.pending = false
	throttle.lastRun = throttle.clock.Now()
	throttle.mutex.Unlock()
	throttle.run()
}
