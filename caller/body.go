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

// memory bounds the bodies that are held at once, so that large ones cannot get the process killed
// with all its requests. A body may take half of what is left: the more is held, the smaller a body
// has to be, so a few large ones leave room for the usual small ones.
type memory struct {
	mutex sync.Mutex
	limit int64
	held  int64
}

// freeBytes is always granted; a body as small as this is not worth a refusal.
const freeBytes = 16 << 10

func (memory *memory) take(size int64) bool {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if size > freeBytes && size > (memory.limit-memory.held)/2 {
		return false
	}
	memory.held += size
	return true
}

func (memory *memory) giveBack(size int64) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.held -= size
}

// body is a request's whole body.
type body struct {
	data []byte
	// held is what the memory counts for it.
	held int64
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
	memory *memory
	limit  int64
	body   body
}

func (bodyReader *bodyReader) read(length int64) (body, error) {
	var err error
	if length == lengthUnknown {
		err = bodyReader.readChunks()
	} else {
		err = bodyReader.extend(length)
	}
	if err != nil {
		bodyReader.memory.giveBack(bodyReader.body.held)
		return body{}, err
	}
	return bodyReader.body, nil
}

// extend reads that many more bytes of the body.
func (bodyReader *bodyReader) extend(size int64) error {
	already := int64(len(bodyReader.body.data))
	if size > bodyReader.limit-already {
		return errors.WithStack(ErrBodyTooLarge)
	}
	if !bodyReader.memory.take(size) {
		return errors.WithStack(ErrNoMemory)
	}
	bodyReader.body.held += size
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
		size, err := chunkSize(line)
		if err != nil {
			return err
		}
		if size == 0 {
			return skipTrailer(bodyReader.reader)
		}
		err = bodyReader.extend(size)
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

func chunkSize(line string) (int64, error) {
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
