package sock

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// IsReadable reports whether a read or an accept on the socket would return at once: with bytes, a connection, the end
// or an error. It does not wait, and reports false for a closed socket.
func IsReadable(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		ready, _ = unix.Poll(polled, 0)
	})
	return err == nil && ready > 0
}

// IsReset reports whether the peer has reset the connection, also while bytes that it had sent before can still be read. It
// reports false for a closed socket.
func IsReset(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	events := int16(0)
	err = raw.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor)}}
		_, _ = unix.Poll(polled, 0)
		events = polled[0].Revents
	})
	return err == nil && events&(unix.POLLERR|unix.POLLHUP) != 0
}

// HasUnacknowledged reports whether the peer has not yet acknowledged all bytes that were written to the socket; false
// for a closed socket.
func HasUnacknowledged(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	err = raw.Control(func(descriptor uintptr) {
		count, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	})
	return err == nil && count > 0
}
