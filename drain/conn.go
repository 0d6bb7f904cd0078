package drain

import (
	"net"
	"sync/atomic"
	"time"

	"cherrykeel/sock"
)

// conn is an accepted connection whose unread bytes are known.
type conn struct {
	net.Conn
	intake *sock.Intake
	// awaited says that a read has begun since the connection became idle: net/http has begun all that it had read.
	awaited atomic.Bool
	// readLate says that bytes were read after the deadline, which is done once for each deadline.
	readLate atomic.Bool
}

// Read implements net.Conn. What had come when the deadline passed is read all the same: a host that stood still would
// else end connections whose requests came in time, and their callers could not tell whether these were read.
func (conn *conn) Read(buffer []byte) (int, error) {
	conn.awaited.Store(true)
	count, err := conn.intake.Read(buffer)
	if err == nil || !isTimeout(err) || conn.readLate.Swap(true) {
		return count, err
	}
	count = conn.intake.ReadArrived(buffer)
	if count > 0 {
		return count, nil
	}
	return 0, err
}

// SetReadDeadline implements net.Conn.
func (conn *conn) SetReadDeadline(deadline time.Time) error {
	conn.readLate.Store(false)
	return conn.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (conn *conn) SetDeadline(deadline time.Time) error {
	conn.readLate.Store(false)
	return conn.Conn.SetDeadline(deadline)
}

// CloseWrite lets net/http end a connection whose request it has not read to its end.
func (conn *conn) CloseWrite() error {
	half, ok := conn.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// idle reports whether the connection rests and nothing has come since; nothing is read any more then.
func (conn *conn) idle(taken int64) bool {
	return conn.awaited.Load() && !conn.intake.Unsent() && conn.intake.ShutUnlessUnread(taken)
}

// watched hands out a listener's connections as ones whose unread bytes are known.
type watched struct {
	net.Listener
}

// Accept implements net.Listener.
func (watched watched) Accept() (net.Conn, error) {
	socket, err := watched.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: socket, intake: sock.NewIntake(socket)}, nil
}
