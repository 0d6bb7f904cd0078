package drain

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cherrykeel/sock"
)

// handshakeTime is how long a stopped listener still takes connections whose handshake had begun: longer than a round trip.
const handshakeTime = 200 * time.Millisecond

// Listener is a TCP listener whose stop resets no caller: first the system is made to refuse new connections, then those
// that are complete or in their handshake are accepted, and only then is the socket closed. A close alone would reset
// them, and their callers could not tell whether their requests ran.
type Listener struct {
	*net.TCPListener
	stopping atomic.Bool
	// handshakesDone says that the stop's time for connections under way is over.
	handshakesDone atomic.Bool
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
		if listener.handshakesDone.Load() && !sock.IsReadable(listener.TCPListener) {
			_ = listener.Close()
			return nil, net.ErrClosed
		}
		conn, err := listener.TCPListener.Accept()
		if err != nil && listener.stopping.Load() && isTimeout(err) {
			// What is complete by now is accepted without a wait.
			_ = listener.SetDeadline(time.Time{})
			listener.handshakesDone.Store(true)
			continue
		}
		return conn, err
	}
}

// Stop makes Accept return the connections that are complete or in their handshake, then close the listener and return
// net.ErrClosed. It does not wait for that. An error says why the system cannot refuse new connections; then only the
// complete ones are accepted, and one that comes at the moment of the close may be reset.
func (listener *Listener) Stop() error {
	err := sock.RefuseNewConnections(listener.TCPListener)
	until := time.Now()
	if err == nil {
		until = until.Add(handshakeTime)
	}
	listener.stopping.Store(true)
	_ = listener.SetDeadline(until)
	return err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
