package fakes

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// firstPort and lastPort bound the ports that FreeAddress returns. They lie below the system's range for outgoing
// connections: otherwise such a connection can take the port before the program that will listen on it has started.
const (
	firstPort = 12000
	lastPort  = 32000
)

// FreeAddress returns a loopback address whose port is unused over TCP and UDP. It does not reserve the port.
func FreeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if isFree(address) {
			return address
		}
	}
}

// isFree reports whether the address can be listened on over TCP and UDP.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}
