package reach

import (
	"time"

	"cherrykeel"
)

// maxGap is the time between two checks of a Guard beyond which the process counts as suspended.
const maxGap = 400 * time.Millisecond

// Guard notices that the process was suspended, by the time between its checks. Bytes that another host has sent before
// a suspension must not be passed on after it: a grant among them would reach its upstream after the keeper has counted
// it as lost. Its zero value is ready for use. It is not safe for concurrent use.
type Guard struct {
	checkedAt  cherrykeel.Instant
	generation int
}

// Check returns the number of suspensions so far, the time since the last check included. A caller that began under a
// lower number must not go on. Someone must check more often than each maxGap while that matters.
func (guard *Guard) Check(now cherrykeel.Instant) int {
	if guard.checkedAt != 0 && now.Sub(guard.checkedAt) > maxGap {
		guard.generation++
	}
	guard.checkedAt = now
	return guard.generation
}
