package drain

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// FirstRequestTimeout is how long a stop waits for the first request of a connection.
	FirstRequestTimeout = firstRequestTimeout
	// CheckInterval is the most that one look counts for.
	CheckInterval = checkInterval
)

// CloseIdle takes one look at the server's connections.
func CloseIdle(server *Server) {
	CloseIdleAt(server, time.Now())
}

// CloseIdleAt is CloseIdle at a time of the spec's own.
func CloseIdleAt(server *Server, now time.Time) {
	server.closeIdle(now)
}

// TrackingListener is a listener as a server has it that may be stopping, and whose unused connections get a patience.
func TrackingListener(listener net.Listener, stopping *atomic.Bool, patience time.Duration) net.Listener {
	return trackingListener{Listener: listener, stopping: stopping, firstRequestTimeout: patience}
}
