package cherrykeel

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of one process's monotonic clock, counted from an arbitrary start.
type Instant time.Duration

// Add returns the instant that lies duration later.
func (instant Instant) Add(duration time.Duration) Instant {
	return instant + Instant(duration)
}

// Sub returns the time from earlier to instant.
func (instant Instant) Sub(earlier Instant) time.Duration {
	return time.Duration(instant - earlier)
}

// Clock tells the time to code that does not read it by itself.
type Clock interface {
	// Now returns the monotonic time, which never goes back.
	Now() Instant
	// Wall returns the time of day, for audit and logs only.
	Wall() time.Time
}

type systemClock struct {
	start time.Time
}

// SystemClock returns the process's own clock.
func SystemClock() Clock {
	return &systemClock{start: time.Now()}
}

func (clock *systemClock) Now() Instant {
	return Instant(time.Since(clock.start))
}

func (clock *systemClock) Wall() time.Time {
	return time.Now().UTC()
}

type suspendClock struct{}

// BootTimeClock returns a clock that also counts the time in which the machine was suspended:
// a host that slept must not take what it knew before for news.
func BootTimeClock() Clock {
	return suspendClock{}
}

func (suspendClock) Now() Instant {
	var now unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	if err != nil {
		panic(err)
	}
	return Instant(now.Nano())
}

func (suspendClock) Wall() time.Time {
	return time.Now().UTC()
}
