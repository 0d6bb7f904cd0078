package cold

import (
	"time"

	"cherrykeel"
)

// windowLength is the second for which the bound holds, and a margin: a request that waits for a connection leaves later than it
// was counted, and then the next one would follow it within the second.
const windowLength = 1300 * time.Millisecond

// Window counts what one host sends to one upstream in any span of a second.
type Window struct {
	// sent are the times of the last sends, the oldest first.
	sent []cherrykeel.Instant
}

// Allows reports whether one more may be sent now if most are allowed a second.
func (window *Window) Allows(limit int, now cherrykeel.Instant) bool {
	window.dropExpired(now)
	return len(window.sent) < limit
}

// Record counts one that is sent now.
func (window *Window) Record(now cherrykeel.Instant) {
	window.dropExpired(now)
	window.sent = append(window.sent, now)
}

func (window *Window) dropExpired(now cherrykeel.Instant) {
	kept := window.sent[:0]
	for _, sentAt := range window.sent {
		if now.Sub(sentAt) < windowLength {
			kept = append(kept, sentAt)
		}
	}
	window.sent = kept
}
