package drain

import "net"

// Watched is a listener as the server has it.
func Watched(listener net.Listener) net.Listener {
	return watched{Listener: listener}
}
