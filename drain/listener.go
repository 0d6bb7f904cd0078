package drain

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cherrykeel/sock"
)

// Listener is a TCP listener whose close resets as few callers as the system allows: connections that are
// complete are accepted first. Between the last look at the queue and the close a further one may be
// completed and is reset; that takes a caller that comes when the balancer has long sent others elsewhere.
type Listener struct {
	*net.TCPListener
	stopping atomic.Bool
}

// Listen opens a TCP address.
func Listen(address string) (*Listener, error) {
	// The system's own probes are left out: callers that are gone are noticed by the idle limit, and setting
	// the probes costs four calls for each accepted connection.
	config := net.ListenConfig{KeepAlive: -1}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Listener{TCPListener: inner.(*net.TCPListener)}, nil
}

// Accept returns the next connection, or net.ErrClosed when a stopped listener has none left.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		if listener.stopping.Load() && !sock.Readable(listener.TCPListener) {
			_ = listener.Close()
			return nil, net.ErrClosed
		}
		conn, err := listener.TCPListener.Accept()
		if err != nil && listener.stopping.Load() && isTimeout(err) {
			// Stop has interrupted the wait; what is pending is accepted without one.
			_ = listener.SetDeadline(time.Time{})
			continue
		}
		return conn, err
	}
}

// Stop makes Accept return the connections that are complete, then close the listener and return
// net.ErrClosed. It does not wait for that.
func (listener *Listener) Stop() {
	listener.stopping.Store(true)
	_ = listener.SetDeadline(time.Now())
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
