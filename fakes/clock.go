package fakes

import (
	"sync"
	"time"

	"cherrykeel"
)

// Clock is a manual clock: it advances only by calls of Advance. Its wall time is always the zero time.
type Clock struct {
	mutex sync.Mutex
	now   cherrykeel.Instant
}

// NewClock returns a clock set to an instant.
func NewClock(now cherrykeel.Instant) *Clock {
	return &Clock{now: now}
}

// Now returns the current instant and implements cherrykeel.Clock.
func (clock *Clock) Now() cherrykeel.Instant {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.now
}

// Wall returns the zero time and implements cherrykeel.Clock.
func (clock *Clock) Wall() time.Time {
	return time.Time{}
}

// Advance moves the clock forward by a duration.
func (clock *Clock) Advance(by time.Duration) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.now = clock.now.Add(by)
}
