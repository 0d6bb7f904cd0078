package cold

import (
	"time"

	"cherrykeel"
)

// windowLength is the second for which the bound holds, plus a margin. A request that waits for a connection is sent
// later than it was counted, and the next one could then follow it within a second.
const windowLength = 1300 * time.Millisecond

// Window is a sliding window that counts the requests of one host to one upstream.
type Window struct {
	// sent holds the times of the last requests, oldest first.
	sent []cherrykeel.Instant
}

// Allows reports whether a request may be sent now, given a limit of requests a second.
func (window *Window) Allows(limit int, now cherrykeel.Instant) bool {
	window.dropExpired(now)
	return len(window.sent) < limit
}

// Record counts a request that is sent now.
func (window *Window) Record(now cherrykeel.Instant) {
	window.dropExpired(now)
	window.sent = append(window.sent, now)
}

// dropExpired removes the requests that are older than the window.
func (window *Window) dropExpired(now cherrykeel.Instant) {
	kept := window.sent[:0]
	for _, sentAt := range window.sent {
		if now.Sub(sentAt) < windowLength {
			kept = append(kept, sentAt)
		}
	}
	window.sent = kept
}
