package conns

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveInterval is the interval of keep-alive probes on idle connections. A connection fails after keepAliveMisses
// unanswered probes. Without probes, nothing shows that the peer is unreachable while nothing is sent.
const (
	keepAliveInterval = time.Second
	keepAliveMisses   = 2
)

// keepAlive makes the system send keep-alive probes.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveMisses}

// NewDialer returns a dialer whose connections fail when sent bytes stay unacknowledged for userTimeout, or when the peer
// does not answer keep-alive probes. With userTimeout 0 the defaults apply to both.
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
