package permit

import (
	"time"

	"cherrykeel"
)

// heldFor is how long a permit is good for. All that hosts save would be sent at once otherwise.
const heldFor = 150 * time.Millisecond

// Held are the permits of one host for one upstream; the zero value has none.
type Held struct {
	// until has the ends of the permits, the earliest first.
	until []cherrykeel.Instant
}

// Add adds permits that have just arrived.
func (held *Held) Add(count int, now cherrykeel.Instant) {
	for range count {
		held.until = append(held.until, now.Add(heldFor))
	}
}

// Count returns how many permits are good now.
func (held *Held) Count(now cherrykeel.Instant) int {
	ended := 0
	for ended < len(held.until) && held.until[ended] <= now {
		ended++
	}
	held.until = held.until[ended:]
	return len(held.until)
}

// Take uses a permit, and reports whether there was one.
func (held *Held) Take(now cherrykeel.Instant) bool {
	if held.Count(now) == 0 {
		return false
	}
	held.until = held.until[1:]
	return true
}
