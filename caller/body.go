package caller

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// bodyMemory bounds the bodies that are held at once, so that large ones cannot get the process killed
// with all its requests. A body may take half of what is left: the more is held, the smaller a body
// has to be, so a few large ones leave room for the usual small ones.
type bodyMemory struct {
	mutex sync.Mutex
	limit int64
	inUse int64
}

// alwaysGrantedBytes is always granted; a body as small as this is not worth a refusal.
const alwaysGrantedBytes = 16 << 10

func (memory *bodyMemory) acquire(size int64) bool {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if size > alwaysGrantedBytes && size > (memory.limit-memory.inUse)/2 {
		return false
	}
	memory.inUse += size
	return true
}

func (memory *bodyMemory) release(size int64) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.inUse -= size
}

// body is a request's whole body.
type body struct {
	data []byte
	// acquired is what the memory counts for it.
	acquired int64
}

// BufferedBody is a request's body that has been read; handlers need not copy it.
type BufferedBody struct {
	*bytes.Reader
	data []byte
}

// Close implements io.Closer.
func (*BufferedBody) Close() error {
	return nil
}

// Bytes returns the body, which must not be changed.
func (whole *BufferedBody) Bytes() []byte {
	return whole.data
}

// bodyReader reads one body within the limits.
type bodyReader struct {
	reader *bufio.Reader
	memory *bodyMemory
	limit  int64
	body   body
}

func (bodyReader *bodyReader) read(length int64) (body, error) {
	var err error
	if length == lengthUnknown {
		err = bodyReader.readChunks()
	} else {
		err = bodyReader.readMore(length)
	}
	if err != nil {
		bodyReader.memory.release(bodyReader.body.acquired)
		return body{}, err
	}
	return bodyReader.body, nil
}

// readMore reads that many more bytes of the body.
func (bodyReader *bodyReader) readMore(size int64) error {
	already := int64(len(bodyReader.body.data))
	if size > bodyReader.limit-already {
		return errors.WithStack(ErrBodyTooLarge)
	}
	if !bodyReader.memory.acquire(size) {
		return errors.WithStack(ErrNoMemory)
	}
	bodyReader.body.acquired += size
	// Grown by shares: a body of 64 MiB in chunks of 1 KB would else be copied 65,000 times.
	bodyReader.body.data = slices.Grow(bodyReader.body.data, int(size))[:already+size]
	_, err := io.ReadFull(bodyReader.reader, bodyReader.body.data[already:])
	return err
}

const maxChunkLine = 256

func (bodyReader *bodyReader) readChunks() error {
	for {
		line, err := readLine(bodyReader.reader)
		if err != nil {
			return err
		}
		size, err := parseChunkSize(line)
		if err != nil {
			return err
		}
		if size == 0 {
			return skipTrailer(bodyReader.reader)
		}
		err = bodyReader.readMore(size)
		if err != nil {
			return err
		}
		line, err = readLine(bodyReader.reader)
		if err != nil {
			return err
		}
		if line != "" {
			return errors.Wrap(ErrMalformed, "a chunk is longer than its size")
		}
	}
}

func parseChunkSize(line string) (int64, error) {
	digits, _, _ := strings.Cut(line, ";")
	digits = strings.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(digits, 16, 40)
	if err != nil || strings.ContainsAny(digits, "+_") {
		return 0, errors.Wrap(ErrMalformed, "a chunk's size is no number")
	}
	return int64(size), nil
}

func skipTrailer(reader *bufio.Reader) error {
	for {
		line, err := readLine(reader)
		if err != nil || line == "" {
			return err
		}
	}
}

// readLine reads a short line that ends with carriage return and line feed.
func readLine(reader *bufio.Reader) (string, error) {
	var line []byte
	for {
		one, err := reader.ReadByte()
		if err != nil {
			return "", err
		}
		line = append(line, one)
		if len(line) > maxChunkLine {
			return "", errors.Wrap(ErrMalformed, "a line between chunks is too long")
		}
		if one != '\n' {
			continue
		}
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return "", errors.Wrap(ErrMalformed, "a line ends without a carriage return")
		}
		return string(line[:len(line)-2]), nil
	}
}
