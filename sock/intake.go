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

// Reader reads a connection and counts each byte in the step that takes it from the socket, so that one can tell at any
// moment whether something has come that nobody has looked at yet.
type Reader struct {
	conn net.Conn
	// raw is nil if the connection is not a socket; its bytes are counted just after they were read.
	raw    syscall.RawConn
	source syscall.Conn

	mutex    sync.Mutex
	received int64
	shut     bool
}

// NewReader returns the intake of a connection, which nobody else may read.
func NewReader(conn net.Conn) *Reader {
	intake := &Reader{conn: conn}
	source, ok := conn.(syscall.Conn)
	if !ok {
		return intake
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return intake
	}
	intake.raw = raw
	intake.source = source
	return intake
}

// Read implements io.Reader; its errors are those of the connection, and net.ErrClosed once it is shut.
func (intake *Reader) Read(buffer []byte) (int, error) {
	if intake.raw == nil {
		count, err := intake.conn.Read(buffer)
		intake.mutex.Lock()
		defer intake.mutex.Unlock()
		intake.received += int64(count)
		return count, err
	}
	count := 0
	var failure error
	err := intake.raw.Read(func(descriptor uintptr) bool {
		count, failure = intake.take(int(descriptor), buffer)
		return !errors.Is(failure, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, intake.readError(err)
	case failure != nil:
		return 0, intake.readError(failure)
	case count == 0 && len(buffer) > 0:
		return 0, io.EOF
	default:
		return count, nil
	}
}

// ReadAvailable reads what lies in the socket, whatever the connection's deadline; it returns 0 if nothing does.
func (intake *Reader) ReadAvailable(buffer []byte) int {
	if intake.raw == nil {
		return 0
	}
	count := 0
	_ = intake.raw.Control(func(descriptor uintptr) {
		count, _ = intake.take(int(descriptor), buffer)
	})
	return count
}

func (intake *Reader) take(descriptor int, buffer []byte) (int, error) {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	if intake.shut {
		return 0, net.ErrClosed
	}
	count, err := unix.Read(descriptor, buffer)
	for errors.Is(err, unix.EINTR) {
		count, err = unix.Read(descriptor, buffer)
	}
	count = max(count, 0)
	intake.received += int64(count)
	return count, err
}

// readError gives an error the form that net gives errors of reads, which net/http tells apart.
func (intake *Reader) readError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) {
		err = operation.Err
	}
	var number syscall.Errno
	if errors.As(err, &number) {
		err = os.NewSyscallError("read", number)
	}
	return &net.OpError{Op: "read", Net: intake.conn.LocalAddr().Network(), Source: intake.conn.LocalAddr(), Addr: intake.conn.RemoteAddr(), Err: err}
}

// ReceivedBytes returns how many bytes were read.
func (intake *Reader) ReceivedBytes() int64 {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	return intake.received
}

// HasMoreThan reports whether more bytes have come than the counted ones, read or not.
func (intake *Reader) HasMoreThan(counted int64) bool {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	return intake.holdsMore(counted)
}

// HasUnacknowledged reports whether bytes that were written to the connection have not arrived yet.
func (intake *Reader) HasUnacknowledged() bool {
	return intake.source != nil && HasUnacknowledged(intake.source)
}

// StopUnlessMoreThan reads nothing more from now on, unless more bytes have come than the counted ones; it reports whether
// it did. What comes later stays in the socket, so that its sender learns by the reset that nobody has read it.
func (intake *Reader) StopUnlessMoreThan(counted int64) bool {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	if intake.holdsMore(counted) {
		return false
	}
	intake.shut = true
	return true
}

// StopUnlessReceived reads nothing from now on, unless something was read already; it reports whether it did.
func (intake *Reader) StopUnlessReceived() bool {
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	if intake.received > 0 {
		return false
	}
	intake.shut = true
	return true
}

// holdsMore is Unread while Intake.mutex is held.
func (intake *Reader) holdsMore(counted int64) bool {
	return intake.received > counted || intake.source != nil && IsReadable(intake.source)
}
