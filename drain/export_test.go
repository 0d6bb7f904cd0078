package drain

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// FirstRequestTimeout is how long a stop waits for the first request of a connection.
	FirstRequestTimeout = firstRequestTimeout
	// CheckInterval is the most time that one check counts as run time.
	CheckInterval = checkInterval
)

// CloseIdle checks the server's connections once.
func CloseIdle(server *Server) {
	CloseIdleAt(server, time.Now())
}

// CloseIdleAt is CloseIdle at a given time.
func CloseIdleAt(server *Server, now time.Time) {
	server.closeIdle(now)
}

// TrackingListener returns a listener as a Server uses it, which extends the deadline of unused connections by the given
// time.
func TrackingListener(listener net.Listener, stopping *atomic.Bool, firstRequestTimeout time.Duration) net.Listener {
	return trackingListener{Listener: listener, stopping: stopping, firstRequestTimeout: firstRequestTimeout}
}
