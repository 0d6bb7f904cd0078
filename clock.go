package cherrykeel

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of one process's monotonic clock, counted from an arbitrary start.
type Instant time.Duration

// Add returns the instant that is later by duration.
func (instant Instant) Add(duration time.Duration) Instant {
	return instant + Instant(duration)
}

// Sub returns the time that passed from earlier to instant.
func (instant Instant) Sub(earlier Instant) time.Duration {
	return time.Duration(instant - earlier)
}

// Clock provides the time, so that tests can replace the system clock.
type Clock interface {
	// Now returns the monotonic time, which never goes back.
	Now() Instant
	// Wall returns the wall-clock time in UTC, for audit and logs only.
	Wall() time.Time
}

type systemClock struct {
	start time.Time
}

// SystemClock returns a clock that counts from the call and stops while the machine is suspended.
func SystemClock() Clock {
	return &systemClock{start: time.Now()}
}

func (clock *systemClock) Now() Instant {
	return Instant(time.Since(clock.start))
}

func (clock *systemClock) Wall() time.Time {
	return time.Now().UTC()
}

type bootTimeClock struct{}

// BootTimeClock returns a clock that also counts the time in which the machine was suspended:
// a host must not treat data from before a suspension as fresh.
func BootTimeClock() Clock {
	return bootTimeClock{}
}

func (bootTimeClock) Now() Instant {
	var now unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	if err != nil {
		panic(err)
	}
	return Instant(now.Nano())
}

func (bootTimeClock) Wall() time.Time {
	return time.Now().UTC()
}
