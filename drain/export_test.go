package drain

import (
	"net"
	"time"
)

// CloseIdle takes one look at the server's connections.
func CloseIdle(server *Server) {
	server.closeIdle(time.Now())
}

// Watched is a listener as the server has it.
func Watched(listener net.Listener) net.Listener {
	return watched{Listener: listener}
}
