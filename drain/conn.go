package drain

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cherrykeel"
	"cherrykeel/sock"
)

// notReadAnswer tells a caller that no request of its was read. It is a 408 since callers that rest on a kept connection take
// that one as its plain end.
const notReadAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n" +
	cherrykeel.HeaderOutcome + ": " + string(cherrykeel.NotRun) + "\r\n\r\n"

// conn is an accepted connection whose unread bytes are known.
type conn struct {
	net.Conn
	reader              *sock.Reader
	stopping            *atomic.Bool
	firstRequestTimeout time.Duration
	// readSinceIdle says that a read has begun since the connection became idle: net/http has begun all that it had read.
	readSinceIdle atomic.Bool
	// readAfterDeadline says that bytes were read after the deadline, which is done once for each deadline.
	readAfterDeadline atomic.Bool
	// extended says that the connection was unused when its deadline passed, and got its patience. Only Read uses it.
	extended bool
	// closeMutex is held while the connection is closed.
	closeMutex sync.Mutex
}

// Read implements net.Conn. What had come when the deadline passed is read all the same: a host that stood still would
// else end connections whose requests came in time, and their callers could not tell whether these were read.
func (conn *conn) Read(buffer []byte) (int, error) {
	conn.readSinceIdle.Store(true)
	for {
		count, err := conn.reader.Read(buffer)
		if err == nil || !isTimeout(err) || conn.readAfterDeadline.Swap(true) {
			return count, err
		}
		count = conn.reader.ReadAvailable(buffer)
		if count > 0 {
			return count, nil
		}
		if !conn.extendDeadline() {
			return 0, err
		}
	}
}

// extendDeadline lets a connection that has never brought a byte outlast its deadline: once, since the host may have stood still
// until then and its caller with it, and for as long as the server stops, which tells callers when it ends unused ones.
// A plain end in place of an answer would not tell them whether their request was read.
func (conn *conn) extendDeadline() bool {
	if conn.reader.ReceivedBytes() > 0 || conn.extended && !conn.stopping.Load() {
		return false
	}
	conn.extended = true
	return conn.SetReadDeadline(time.Now().Add(conn.firstRequestTimeout)) == nil
}

// SetReadDeadline implements net.Conn.
func (conn *conn) SetReadDeadline(deadline time.Time) error {
	conn.readAfterDeadline.Store(false)
	return conn.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (conn *conn) SetDeadline(deadline time.Time) error {
	conn.readAfterDeadline.Store(false)
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

// stopIfIdle reports whether the connection rests and nothing has come since; nothing is read any more then.
func (conn *conn) stopIfIdle(taken int64) bool {
	return conn.readSinceIdle.Load() && !conn.reader.HasUnacknowledged() && conn.reader.StopUnlessMoreThan(taken)
}

// closeNotRead ends the connection and tells its caller that nothing on it was read, if shut reports that nothing is from
// now on. What comes meanwhile ends net/http's read, and with it the connection: not before the caller is told.
func (conn *conn) closeNotRead(shut func() bool) bool {
	conn.closeMutex.Lock()
	defer conn.closeMutex.Unlock()
	if !shut() {
		return false
	}
	_, _ = io.WriteString(conn.Conn, notReadAnswer)
	_ = conn.Conn.Close()
	return true
}

// Close implements net.Conn.
func (conn *conn) Close() error {
	conn.closeMutex.Lock()
	defer conn.closeMutex.Unlock()
	return conn.Conn.Close()
}

// trackingListener hands out a listener's connections as ones whose unread bytes are known.
type trackingListener struct {
	net.Listener
	stopping            *atomic.Bool
	firstRequestTimeout time.Duration
}

// Accept implements net.Listener.
func (watched trackingListener) Accept() (net.Conn, error) {
	socket, err := watched.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &conn{
		Conn:                socket,
		reader:              sock.NewReader(socket),
		stopping:            watched.stopping,
		firstRequestTimeout: watched.firstRequestTimeout,
	}
	return accepted, nil
}
