package drain

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// UnusedPatience is how long a stop waits for the first request of a connection.
	UnusedPatience = unusedPatience
	// LookEvery is the most that one look counts for.
	LookEvery = lookEvery
)

// CloseIdle takes one look at the server's connections.
func CloseIdle(server *Server) {
	CloseIdleAt(server, time.Now())
}

// CloseIdleAt is CloseIdle at a time of the spec's own.
func CloseIdleAt(server *Server, now time.Time) {
	server.closeIdle(now)
}

// Watched is a listener as a server has it that may be stopping, and whose unused connections get a patience.
func Watched(listener net.Listener, stopping *atomic.Bool, patience time.Duration) net.Listener {
	return watched{Listener: listener, stopping: stopping, patience: patience}
}
