package caller

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"cherrykeel/sock"
)

const (
	chunkBytes = 4 << 10
	// aheadChunks bounds what is read before it is asked for: 64 KiB a connection. Within it the
	// end of the connection is seen at once, also behind pipelined requests.
	aheadChunks = 16
)

// pump reads a socket all the time, so that a caller that leaves is noticed while its request runs.
type pump struct {
	socket net.Conn
	chunks chan []byte
	rest   []byte
	// handed counts the bytes that Read has returned; the reading goroutine alone uses it.
	handed int64
	// mutex is held while bytes go from the socket to received: each byte that has come is in one of them.
	mutex    sync.Mutex
	received int64
	// shut says that nothing more is taken from the socket.
	shut bool
	// ended is closed once the socket gives nothing more.
	ended chan struct{}
	// stopped lets the reading goroutine end when nobody takes its chunks any more.
	stopped  chan struct{}
	deadline time.Time
}

func newPump(socket net.Conn, onEnd func()) *pump {
	pump := &pump{socket: socket, chunks: make(chan []byte, aheadChunks), ended: make(chan struct{}), stopped: make(chan struct{})}
	go pump.run(onEnd)
	return pump
}

func (pump *pump) run(onEnd func()) {
	defer close(pump.chunks)
	defer onEnd()
	defer close(pump.ended)
	receive := pump.receiver()
	buffer := make([]byte, chunkBytes)
	for {
		count, err := receive(buffer)
		if count > 0 {
			chunk := append([]byte(nil), buffer[:count]...)
			select {
			case pump.chunks <- chunk:
			case <-pump.stopped:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// receiver returns what reads the connection. Bytes of a socket are counted in the same step; a connection that is none,
// as of a test, counts them just after.
func (pump *pump) receiver() func(buffer []byte) (int, error) {
	source, ok := pump.socket.(syscall.Conn)
	if !ok {
		return pump.receiveAndCount
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return pump.receiveAndCount
	}
	return func(buffer []byte) (int, error) {
		return pump.receiveRaw(raw, buffer)
	}
}

func (pump *pump) receiveAndCount(buffer []byte) (int, error) {
	count, err := pump.socket.Read(buffer)
	pump.mutex.Lock()
	defer pump.mutex.Unlock()
	pump.received += int64(count)
	return count, err
}

func (pump *pump) receiveRaw(raw syscall.RawConn, buffer []byte) (int, error) {
	count := 0
	var failure error
	err := raw.Read(func(descriptor uintptr) bool {
		count, failure = pump.receive(int(descriptor), buffer)
		return !errors.Is(failure, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, errors.WithStack(err)
	case count == 0 && failure == nil:
		return 0, io.EOF
	default:
		return count, failure
	}
}

func (pump *pump) receive(descriptor int, buffer []byte) (int, error) {
	pump.mutex.Lock()
	defer pump.mutex.Unlock()
	if pump.shut {
		return 0, net.ErrClosed
	}
	count, err := unix.Read(descriptor, buffer)
	for errors.Is(err, unix.EINTR) {
		count, err = unix.Read(descriptor, buffer)
	}
	count = max(count, 0)
	pump.received += int64(count)
	return count, err
}

// unread reports whether more bytes have come than those counted, in whoever's hands they are.
func (pump *pump) unread(counted int64) bool {
	pump.mutex.Lock()
	defer pump.mutex.Unlock()
	return pump.holdsMore(counted)
}

// shutUnlessUnread takes nothing more from the socket from now on, unless more bytes have come than those counted; it
// reports whether it did.
func (pump *pump) shutUnlessUnread(counted int64) bool {
	pump.mutex.Lock()
	defer pump.mutex.Unlock()
	if pump.holdsMore(counted) {
		return false
	}
	pump.shut = true
	return true
}

// holdsMore is unread while pump.mutex is held.
func (pump *pump) holdsMore(counted int64) bool {
	if pump.received > counted {
		return true
	}
	source, ok := pump.socket.(syscall.Conn)
	return ok && sock.Readable(source)
}

// setDeadline bounds the reads that follow; the zero time takes the bound away.
func (pump *pump) setDeadline(deadline time.Time) {
	pump.deadline = deadline
}

// Read implements io.Reader.
func (pump *pump) Read(buffer []byte) (int, error) {
	if len(pump.rest) == 0 {
		err := pump.fill()
		if err != nil {
			return 0, err
		}
	}
	count := copy(buffer, pump.rest)
	pump.rest = pump.rest[count:]
	pump.handed += int64(count)
	return count, nil
}

func (pump *pump) fill() error {
	var late <-chan time.Time
	if !pump.deadline.IsZero() {
		timer := time.NewTimer(time.Until(pump.deadline))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case chunk, open := <-pump.chunks:
		return pump.take(chunk, open)
	case <-late:
	}
	// On a busy host the time can be up before this goroutine sees what came within it.
	if !pump.unread(pump.handed) {
		return os.ErrDeadlineExceeded
	}
	chunk, open := <-pump.chunks
	return pump.take(chunk, open)
}

func (pump *pump) take(chunk []byte, open bool) error {
	if !open {
		return io.EOF
	}
	pump.rest = chunk
	return nil
}
