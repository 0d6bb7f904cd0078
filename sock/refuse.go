package sock

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrNoUnusedDevice is returned by RefuseNew if callers may come by each device that the machine has.
var ErrNoUnusedDevice = errors.New("every network device may reach the address")

// RefuseNewConnections makes the system refuse new connections to a listening socket; those that are complete or in their handshake
// are not touched, and can be accepted. The socket is bound to a network device by which its address is not reached, so
// that the system finds no listener for new callers. Errors are the system's, and ErrReached.
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

// unreached returns a device by which nobody comes to the address. If there is none but the loopback, callers of
// another address who are on the same machine still come by it.
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
