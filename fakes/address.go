package fakes

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// firstPort and lastPort bound the ports that FreeAddress returns. They lie below the system's range for outgoing
// connections: otherwise such a connection can take the port before the program that will listen on it has started.
const (
	firstPort = 12000
	lastPort  = 32000
)

// returnedPorts are the ports that FreeAddress has returned in this process.
var returnedPorts = struct {
	mutex sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// FreeAddress returns a loopback address whose port is unused over TCP and UDP, and which it has not returned before: a host
// gets several before it listens on the first. It does not reserve the port.
func FreeAddress() string {
	returnedPorts.mutex.Lock()
	defer returnedPorts.mutex.Unlock()
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !returnedPorts.ports[port] && isFree(address) {
			returnedPorts.ports[port] = true
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
