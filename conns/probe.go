package conns

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
)

// connectError is the kind of error with which no connection could be made.
func connectError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrRefused
	}
	return ErrConnect
}

// IsRefused reports whether an address refuses connections, since no process listens there. While a connection rests
// there none is made: an end of the process would have ended that one too.
func (pool *Pool) IsRefused(name string) bool {
	if pool.hasOpenIdleConn(name) {
		return false
	}
	dialer := NewDialer(pool.dialTimeout, pool.userTimeout)
	socket, err := dialer.DialContext(context.Background(), "tcp", name)
	if err != nil {
		return errors.Is(connectError(err), ErrRefused)
	}
	_ = socket.Close()
	return false
}

// hasOpenIdleConn reports whether a connection to an address rests that is still open.
func (pool *Pool) hasOpenIdleConn(name string) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known, exists := pool.addresses[name]
	if !exists {
		return false
	}
	for _, conn := range known.idle {
		if conn.isOpenAndQuiet() {
			return true
		}
	}
	return false
}
