package fakes

import (
	"sync"
	"time"

	"cherrykeel"
)

// Clock stands still until it is moved; its time of day is zero.
type Clock struct {
	mutex sync.Mutex
	now   cherrykeel.Instant
}

// NewClock returns a clock that shows an instant.
func NewClock(now cherrykeel.Instant) *Clock {
	return &Clock{now: now}
}

// Now implements cherrykeel.Clock.
func (clock *Clock) Now() cherrykeel.Instant {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.now
}

// Wall implements cherrykeel.Clock.
func (clock *Clock) Wall() time.Time {
	return time.Time{}
}

// Advance moves the clock forward.
func (clock *Clock) Advance(by time.Duration) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.now = clock.now.Add(by)
}
