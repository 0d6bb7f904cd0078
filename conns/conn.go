package conns

import (
	"bufio"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const bufferSize = 4096

// conn is a connection to an upstream, used by one request at a time.
type conn struct {
	// serial tells the pool's connections apart in logs.
	serial  int64
	address string
	socket  net.Conn
	source  *headReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	// carried has the requests that were sent on the connection.
	carried carried
	// writtenBytes counts the bytes of the current request that were handed to the socket.
	writtenBytes int
	// broken means that the connection must not be used again; Pool.mutex guards it.
	broken bool
	// closedUnderRequest means that the upstream closed the connection in order, before the whole answer.
	closedUnderRequest bool
	// idleSince is when the last request ended; zero for a new connection.
	idleSince time.Time
	// idleLimit is how long the connection may be idle and still be reused.
	idleLimit time.Duration
}

func newConn(address string, socket net.Conn) *conn {
	conn := &conn{address: address, socket: socket}
	conn.source = &headReader{source: socket}
	conn.reader = bufio.NewReaderSize(conn.source, bufferSize)
	conn.writer = bufio.NewWriterSize(countingWriter{conn}, bufferSize)
	return conn
}

// countingWriter writes to the socket and counts the bytes in conn.writtenBytes.
type countingWriter struct {
	conn *conn
}

func (writer countingWriter) Write(data []byte) (int, error) {
	// Counted before the write, since a write that fails may have sent some of its bytes.
	writer.conn.writtenBytes += len(data)
	return writer.conn.socket.Write(data)
}

// via returns the name of the host through which the connection goes, or "" if it is a direct one.
func (conn *conn) via() string {
	tunneled, ok := conn.socket.(interface{ Via() string })
	if !ok {
		return ""
	}
	return tunneled.Via()
}

// marksEnd reports whether an orderly end of the connection is the upstream's. The end of a host in between may look the same.
func (conn *conn) marksEnd() bool {
	tunneled, ok := conn.socket.(interface{ MarksEnd() bool })
	return !ok || tunneled.MarksEnd()
}

// isStale reports whether the connection goes another way than new ones should.
func (conn *conn) isStale() bool {
	stale, ok := conn.socket.(interface{ IsStale() bool })
	return ok && stale.IsStale()
}

// hasUnread reports whether bytes that have arrived were not read.
func (conn *conn) hasUnread() bool {
	return conn.reader.Buffered() > 0 || len(conn.source.unread) > 0
}

// idleTime returns how long the connection has been idle, or 0 for a new one.
func (conn *conn) idleTime() time.Duration {
	if conn.idleSince.IsZero() {
		return 0
	}
	return time.Since(conn.idleSince)
}

// staysOpen waits, and reports whether a new connection is still open then and has nothing to read. On a busy host the
// read deadline can pass before this goroutine sees a reset that arrived in time, so the socket is checked once more.
func (conn *conn) staysOpen(wait time.Duration) bool {
	_ = conn.socket.SetReadDeadline(time.Now().Add(wait))
	_, err := conn.reader.Peek(1)
	_ = conn.socket.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded) && conn.isOpenAndQuiet()
}

// isOpenAndQuiet reports whether the connection is open and has nothing to read. Without this check, the next request could
// be lost on a connection that the upstream has closed, or receive an unrequested answer or a late one to another request.
func (conn *conn) isOpenAndQuiet() bool {
	if conn.hasUnread() {
		return false
	}
	source, ok := conn.socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
