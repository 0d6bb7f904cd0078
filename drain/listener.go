package drain

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cherrykeel/sock"
)

// handshakeTime is how long a stopped listener still accepts connections whose handshake had begun: longer than a round
// trip.
const handshakeTime = 200 * time.Millisecond

// Listener is a TCP listener whose stop resets no caller. It first makes the system refuse new connections, then accepts
// those that are established or in their handshake, and only then closes the socket. A close alone would reset them, and
// their callers could not tell whether their requests ran.
type Listener struct {
	*net.TCPListener
	stopping atomic.Bool
	// handshakesDone is set when the time for connections in their handshake is over.
	handshakesDone atomic.Bool
}

// Listen listens on a TCP address.
func Listen(address string) (*Listener, error) {
	// Keep-alive probes are disabled: the idle timeout detects unreachable callers, and enabling the probes costs four
	// system calls for each accepted connection.
	config := net.ListenConfig{KeepAlive: -1}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Listener{TCPListener: inner.(*net.TCPListener)}, nil
}

// Accept returns the next connection, or net.ErrClosed if the listener is stopped and has none left.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		if listener.handshakesDone.Load() && !sock.IsReadable(listener.TCPListener) {
			_ = listener.Close()
			return nil, net.ErrClosed
		}
		conn, err := listener.TCPListener.Accept()
		if err != nil && listener.stopping.Load() && isTimeout(err) {
			// The connections that are established by now are accepted without waiting.
			_ = listener.SetDeadline(time.Time{})
			listener.handshakesDone.Store(true)
			continue
		}
		return conn, err
	}
}

// Stop makes Accept return the connections that are established or in their handshake, then close the listener and return
// net.ErrClosed. It does not wait for that. An error means that the system cannot refuse new connections; then only the
// established ones are accepted, and one that is established at the moment of the close may be reset.
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
