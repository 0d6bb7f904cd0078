package caller

import (
	"io"
	"net"
	"os"
	"time"

	"cherrykeel/sock"
)

const (
	// chunkBytes is the size of the buffer for one read.
	chunkBytes = 4 << 10
	// readAheadChunks bounds what is read ahead to 64 KiB a connection. Within this bound the end of the connection is
	// noticed at once, also behind pipelined requests.
	readAheadChunks = 16
)

// pump reads a socket continuously, so that a caller that closes its connection is noticed while its request runs.
type pump struct {
	reader *sock.Reader
	chunks chan []byte
	unread []byte
	// returnedBytes counts the bytes that Read has returned; only the goroutine that calls Read uses it.
	returnedBytes int64
	// done is closed when chunks are no longer received, so that the goroutine that reads the socket can end.
	done     chan struct{}
	deadline time.Time
}

func newPump(socket net.Conn, onEnd func()) *pump {
	pump := &pump{reader: sock.NewReader(socket), chunks: make(chan []byte, readAheadChunks), done: make(chan struct{})}
	go pump.run(onEnd)
	return pump
}

func (pump *pump) run(onEnd func()) {
	defer close(pump.chunks)
	defer onEnd()
	buffer := make([]byte, chunkBytes)
	for {
		count, err := pump.reader.Read(buffer)
		if count > 0 {
			chunk := append([]byte(nil), buffer[:count]...)
			select {
			case pump.chunks <- chunk:
			case <-pump.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// setDeadline sets the deadline of the following reads; the zero time removes it.
func (pump *pump) setDeadline(deadline time.Time) {
	pump.deadline = deadline
}

// Read implements io.Reader.
func (pump *pump) Read(buffer []byte) (int, error) {
	if len(pump.unread) == 0 {
		err := pump.nextChunk()
		if err != nil {
			return 0, err
		}
	}
	count := copy(buffer, pump.unread)
	pump.unread = pump.unread[count:]
	pump.returnedBytes += int64(count)
	return count, nil
}

func (pump *pump) nextChunk() error {
	var timeout <-chan time.Time
	if !pump.deadline.IsZero() {
		timer := time.NewTimer(time.Until(pump.deadline))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case chunk, open := <-pump.chunks:
		return pump.setChunk(chunk, open)
	case <-timeout:
	}
	// On a busy host the deadline can pass before this goroutine sees what arrived in time.
	if !pump.reader.HasMoreThan(pump.returnedBytes) {
		return os.ErrDeadlineExceeded
	}
	chunk, open := <-pump.chunks
	return pump.setChunk(chunk, open)
}

func (pump *pump) setChunk(chunk []byte, open bool) error {
	if !open {
		return io.EOF
	}
	pump.unread = chunk
	return nil
}
