package conns

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveEvery is the pace of probes on idle connections. Two missed probes end a connection
// that went silent without a reset, which nothing else would show while nothing is sent.
const (
	keepAliveInterval = time.Second
	keepAliveMisses   = 2
)

// NewDialer returns a dialer whose connections fail when sent bytes stay unacknowledged for
// userTimeout, and when the other end answers no probes; userTimeout 0 leaves both to the system.
func NewDialer(dialTimeout, userTimeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if userTimeout == 0 {
		return dialer
	}
	dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveMisses}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
	return dialer
}
