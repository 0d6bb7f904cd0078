package fakes

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports of FreeAddress lie below those that the system gives to outgoing connections: one of these took a port
// between its choice and the start of the program that was to listen there.
const (
	firstPort = 12000
	lastPort  = 32000
)

// FreeAddress returns an address on loopback at which nobody listens, over TCP or UDP.
func FreeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if isFree(address) {
			return address
		}
	}
}

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
