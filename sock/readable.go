package sock

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// IsReadable reports whether the socket has something to read, or to accept, at this moment: bytes, a connection, its
// end or an error. It does not wait, and reports false for a socket that is closed.
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

// HasUnacknowledged reports whether bytes that were written to the socket have not arrived yet: its peer has not confirmed them.
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
