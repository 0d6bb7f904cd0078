package sock

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrNoUnusedDevice is returned by RefuseNewConnections if callers may reach the address through every network device.
var ErrNoUnusedDevice = errors.New("every network device may reach the address")

// RefuseNewConnections makes the system refuse new connections to a listening socket; connections that are complete or
// in their handshake are not affected and can still be accepted. It binds the socket to a network device through which
// callers do not reach the address, so that the system finds no listener for new ones. Its errors are the system's, and
// ErrNoUnusedDevice.
func RefuseNewConnections(listener *net.TCPListener) error {
	devices, err := net.Interfaces()
	if err != nil {
		return errors.WithStack(err)
	}
	address := listener.Addr().(*net.TCPAddr)
	device, found := unusedDevice(address.IP, devices)
	if !found {
		return errors.WithStack(ErrNoUnusedDevice)
	}
	return bindToDevice(listener, device)
}

// unusedDevice returns a device through which no caller reaches the address: one that is down, or any other than the
// loopback for a loopback address. The last choice for another address is the loopback, through which callers on the
// same machine still reach it.
func unusedDevice(address net.IP, devices []net.Interface) (net.Interface, bool) {
	for _, device := range devices {
		isLoopback := device.Flags&net.FlagLoopback != 0
		if !isLoopback && (address.IsLoopback() || device.Flags&net.FlagUp == 0) {
			return device, true
		}
	}
	for _, device := range devices {
		isLoopback := device.Flags&net.FlagLoopback != 0
		if isLoopback && !address.IsLoopback() {
			return device, true
		}
	}
	return net.Interface{}, false
}

func bindToDevice(socket syscall.Conn, device net.Interface) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, device.Index)
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(failure)
}
