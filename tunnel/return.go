package tunnel

import "time"

const (
	// maxTries bounds the direct attempts that one call of TryLost makes.
	maxTries = 32
	// tryTimeout bounds one of them.
	tryTimeout = 100 * time.Millisecond
)

// TryLost tries lost links directly that are due for that. Requests alone would not show that a link is back: they reuse
// tunnels, and some upstreams get none for long.
func (dialer *Dialer) TryLost() {
	dialer.mutex.Lock()
	due := dialer.table.TakeDue(maxTries, dialer.clock.Now())
	dialer.mutex.Unlock()
	for _, address := range due {
		go dialer.tryDirect(address, tryTimeout)
	}
}
