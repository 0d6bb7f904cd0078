package conns

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
)

// connectError returns ErrRefused or ErrConnect for the error of a dial.
func connectError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrRefused
	}
	return ErrConnect
}

// IsRefused reports whether an address refuses connections because no process listens there. It does not connect while the
// pool has an open idle connection to the address: the end of the process would have closed that connection too.
func (pool *Pool) IsRefused(address string) bool {
	if pool.hasOpenIdleConn(address) {
		return false
	}
	socket, err := pool.dialFunc(context.Background(), "tcp", address)
	if err != nil {
		return errors.Is(connectError(err), ErrRefused)
	}
	_ = socket.Close()
	return false
}

// hasOpenIdleConn reports whether the pool has an idle connection to an address that is still open.
func (pool *Pool) hasOpenIdleConn(address string) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	known, exists := pool.addresses[address]
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
