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

// notReadAnswer tells a caller that none of its requests was read. Its status is 408, which callers with an idle
// kept-alive connection treat as an ordinary close.
const notReadAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n" +
	cherrykeel.HeaderOutcome + ": " + string(cherrykeel.NotRun) + "\r\n\r\n"

// conn is an accepted connection that can stop reading if nothing on it is unread.
type conn struct {
	net.Conn
	reader              *sock.Reader
	stopping            *atomic.Bool
	firstRequestTimeout time.Duration
	// readSinceIdle is set if a read has begun since the connection became idle: by then, net/http has begun to handle
	// everything that it had read.
	readSinceIdle atomic.Bool
	// readAfterDeadline is set once Read has tried to read after the deadline, which it does once for each deadline.
	readAfterDeadline atomic.Bool
	// extended is set once the deadline of an unused connection was extended by firstRequestTimeout. Only Read uses it.
	extended bool
	// closeMutex is held while the connection is being closed.
	closeMutex sync.Mutex
}

// Read implements net.Conn. It still returns bytes that arrived before the deadline passed: otherwise a host that was
// suspended would close connections whose requests arrived in time, and their callers could not tell whether these were
// read.
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

// extendDeadline extends the deadline of a connection on which no byte has arrived: once, since the host and its caller
// may both have been suspended until the deadline, and repeatedly while the server stops, since the stop closes unused
// connections itself and tells their callers. A close without an answer would not tell them whether their request was
// read.
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

// CloseWrite lets net/http half-close a connection whose request it has not read completely.
func (conn *conn) CloseWrite() error {
	half, ok := conn.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// stopIfIdle stops reading the connection if it is idle and nothing has arrived since; it reports whether it did.
func (conn *conn) stopIfIdle(readBytes int64) bool {
	return conn.readSinceIdle.Load() && !conn.reader.HasUnacknowledged() && conn.reader.StopUnlessMoreThan(readBytes)
}

// closeNotRead closes the connection and tells its caller that nothing on it was read, if stopReading reports that nothing
// will be read from now on. Bytes that arrive meanwhile make net/http's read fail, upon which it closes the connection;
// closeMutex delays that close until the caller is told.
func (conn *conn) closeNotRead(stopReading func() bool) bool {
	conn.closeMutex.Lock()
	defer conn.closeMutex.Unlock()
	if !stopReading() {
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

// trackingListener wraps a listener's connections in conn.
type trackingListener struct {
	net.Listener
	stopping            *atomic.Bool
	firstRequestTimeout time.Duration
}

// Accept implements net.Listener.
func (trackingListener trackingListener) Accept() (net.Conn, error) {
	socket, err := trackingListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &conn{
		Conn:                socket,
		reader:              sock.NewReader(socket),
		stopping:            trackingListener.stopping,
		firstRequestTimeout: trackingListener.firstRequestTimeout,
	}
	return accepted, nil
}
