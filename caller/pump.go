package caller

import (
	"io"
	"net"
	"os"
	"time"
)

const (
	chunkBytes = 4 << 10
	// aheadChunks bounds what is read before it is asked for: 64 KiB a connection. Within it the
	// end of the connection is seen at once, also behind pipelined requests.
	aheadChunks = 16
)

// pump reads a socket all the time, so that a caller that leaves is noticed while its request runs.
type pump struct {
	chunks chan []byte
	rest   []byte
	// ended is closed once the socket gives nothing more.
	ended chan struct{}
	// stopped lets the reading goroutine end when nobody takes its chunks any more.
	stopped  chan struct{}
	deadline time.Time
}

func newPump(socket net.Conn, onEnd func()) *pump {
	pump := &pump{chunks: make(chan []byte, aheadChunks), ended: make(chan struct{}), stopped: make(chan struct{})}
	go pump.run(socket, onEnd)
	return pump
}

func (pump *pump) run(socket net.Conn, onEnd func()) {
	defer close(pump.chunks)
	defer onEnd()
	defer close(pump.ended)
	buffer := make([]byte, chunkBytes)
	for {
		count, err := socket.Read(buffer)
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
		if !open {
			return io.EOF
		}
		pump.rest = chunk
		return nil
	case <-late:
		return os.ErrDeadlineExceeded
	}
}
