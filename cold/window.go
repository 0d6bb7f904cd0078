package cold

import (
	"time"

	"cherrykeel"
)

// span is the second for which the bound holds, and a margin: a request that waits for a connection leaves later than it
// was counted, and then the next one would follow it within the second.
const span = 1300 * time.Millisecond

// Window counts what one host sends to one upstream in any span of a second.
type Window struct {
	// sent are the times of the last sends, the oldest first.
	sent []cherrykeel.Instant
}

// Allows reports whether one more may be sent now if most are allowed a second.
func (window *Window) Allows(most int, now cherrykeel.Instant) bool {
	window.forget(now)
	return len(window.sent) < most
}

// Record counts one that is sent now.
func (window *Window) Record(now cherrykeel.Instant) {
	window.forget(now)
	window.sent = append(window.sent, now)
}

func (window *Window) forget(now cherrykeel.Instant) {
	kept := window.sent[:0]
	for _, at := range window.sent {
		if now.Sub(at) < span {
			kept = append(kept, at)
		}
	}
	window.sent = kept
}
