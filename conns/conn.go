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

type conn struct {
	address string
	socket  net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	// writtenBytes counts the bytes handed to the socket for the present request.
	writtenBytes int
	idleSince    time.Time
	// idleLimit is how long the connection may be idle and still be used.
	idleLimit time.Duration
}

func newConn(address string, socket net.Conn) *conn {
	conn := &conn{address: address, socket: socket}
	conn.reader = bufio.NewReaderSize(socket, bufferSize)
	conn.writer = bufio.NewWriterSize(countingWriter{conn}, bufferSize)
	return conn
}

type countingWriter struct {
	conn *conn
}

func (writer countingWriter) Write(data []byte) (int, error) {
	// Counted before the write: bytes of a write that fails may have left all the same.
	writer.conn.writtenBytes += len(data)
	return writer.conn.socket.Write(data)
}

// idleTime returns how long the connection was idle before its present request; 0 for a new one.
func (conn *conn) idleTime() time.Duration {
	if conn.idleSince.IsZero() {
		return 0
	}
	return time.Since(conn.idleSince)
}

// staysOpen reports whether a new connection is still open and silent after a while. On a busy host the while can be over
// before this goroutine sees what came within it, so the socket is asked once more.
func (conn *conn) staysOpen(watch time.Duration) bool {
	_ = conn.socket.SetReadDeadline(time.Now().Add(watch))
	_, err := conn.reader.Peek(1)
	_ = conn.socket.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded) && conn.isOpenAndQuiet()
}

// isOpenAndQuiet reports whether an idle connection is still open and has nothing to read.
// An upstream that closed it, or sent an answer nobody asked for, must not get
// or answer the next request: without the look, a request would be lost on a
// closed connection, or paired with a late answer to the previous one.
func (conn *conn) isOpenAndQuiet() bool {
	if conn.reader.Buffered() > 0 {
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
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
