package conns

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveInterval is after how long without traffic the system sends a keep-alive probe, and checks again whether it
// was answered. Without probes, nothing shows that the peer is unreachable while nothing is sent.
const keepAliveInterval = time.Second

// keepAlive makes the system send keep-alive probes. Its count of probes has no effect: with TCP_USER_TIMEOUT set, a
// connection fails at the first check after that time without an answer, which is the one after the first probe.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1}

// NewDialer returns a dialer whose connections fail when sent bytes stay unacknowledged for userTimeout, which is shorter
// than keepAliveInterval, and after two of these intervals without any bytes or answers to probes. With userTimeout 0 the
// defaults apply to both.
func NewDialer(dialTimeout, userTimeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if userTimeout == 0 {
		return dialer
	}
	dialer.KeepAliveConfig = keepAlive
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return setUserTimeout(raw, userTimeout)
	}
	return dialer
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// SetTimeouts makes an accepted connection fail as those of NewDialer do.
func SetTimeouts(socket *net.TCPConn, userTimeout time.Duration) {
	_ = socket.SetKeepAliveConfig(keepAlive)
	raw, err := socket.SyscallConn()
	if err == nil {
		_ = setUserTimeout(raw, userTimeout)
	}
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
