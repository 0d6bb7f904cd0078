package sock

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Reader reads a connection and counts bytes in the same step that takes them from the socket, so that at any moment
// one can check whether bytes have arrived that are not handled yet.
type Reader struct {
	conn net.Conn
	// raw is nil if the connection is not a socket; then bytes are counted just after they were read.
	raw    syscall.RawConn
	source syscall.Conn

	mutex sync.Mutex
	// received counts the bytes read; stopped is set when nothing more may be read.
	received int64
	stopped  bool
}

// NewReader returns the reader of a connection, which nothing else may read.
func NewReader(conn net.Conn) *Reader {
	reader := &Reader{conn: conn}
	source, ok := conn.(syscall.Conn)
	if !ok {
		return reader
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return reader
	}
	reader.raw = raw
	reader.source = source
	return reader
}

// Read implements io.Reader; its errors are those of the connection, and net.ErrClosed once reading has stopped.
func (reader *Reader) Read(buffer []byte) (int, error) {
	if reader.raw == nil {
		count, err := reader.conn.Read(buffer)
		reader.mutex.Lock()
		defer reader.mutex.Unlock()
		reader.received += int64(count)
		return count, err
	}
	count := 0
	var failure error
	err := reader.raw.Read(func(descriptor uintptr) bool {
		count, failure = reader.readCounted(int(descriptor), buffer)
		return !errors.Is(failure, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, reader.readError(err)
	case failure != nil:
		return 0, reader.readError(failure)
	case count == 0 && len(buffer) > 0:
		return 0, io.EOF
	default:
		return count, nil
	}
}

// ReadAvailable reads the bytes that are in the socket now, whatever the connection's deadline; it returns 0 if there
// are none.
func (reader *Reader) ReadAvailable(buffer []byte) int {
	if reader.raw == nil {
		return 0
	}
	count := 0
	_ = reader.raw.Control(func(descriptor uintptr) {
		count, _ = reader.readCounted(int(descriptor), buffer)
	})
	return count
}

// readCounted reads the socket once and counts the bytes in the same critical section.
func (reader *Reader) readCounted(descriptor int, buffer []byte) (int, error) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	if reader.stopped {
		return 0, net.ErrClosed
	}
	count, err := unix.Read(descriptor, buffer)
	for errors.Is(err, unix.EINTR) {
		count, err = unix.Read(descriptor, buffer)
	}
	count = max(count, 0)
	reader.received += int64(count)
	return count, err
}

// readError wraps an error in the type that net uses for errors of reads, on which net/http relies.
func (reader *Reader) readError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) {
		err = operation.Err
	}
	var number syscall.Errno
	if errors.As(err, &number) {
		err = os.NewSyscallError("read", number)
	}
	return &net.OpError{Op: "read", Net: reader.conn.LocalAddr().Network(), Source: reader.conn.LocalAddr(), Addr: reader.conn.RemoteAddr(), Err: err}
}

// ReceivedBytes returns how many bytes were read.
func (reader *Reader) ReceivedBytes() int64 {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.received
}

// HasMoreThan reports whether more bytes have arrived than the counted ones, read or not.
func (reader *Reader) HasMoreThan(counted int64) bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.hasMoreLocked(counted)
}

// HasUnacknowledged reports whether the peer has not yet acknowledged all bytes that were written to the connection.
func (reader *Reader) HasUnacknowledged() bool {
	return reader.source != nil && HasUnacknowledged(reader.source)
}

// StopUnlessMoreThan stops reading, unless more bytes have arrived than the counted ones; it reports whether it did.
// Bytes that arrive later stay in the socket, so that the reset at its close shows their sender that they were not
// read.
func (reader *Reader) StopUnlessMoreThan(counted int64) bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	if reader.hasMoreLocked(counted) {
		return false
	}
	reader.stopped = true
	return true
}

// StopUnlessReceived stops reading, unless some bytes have been read; it reports whether it did.
func (reader *Reader) StopUnlessReceived() bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	if reader.received > 0 {
		return false
	}
	reader.stopped = true
	return true
}

// hasMoreLocked is HasMoreThan with Reader.mutex held.
func (reader *Reader) hasMoreLocked(counted int64) bool {
	return reader.received > counted || reader.source != nil && IsReadable(reader.source)
}
