package caller

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"cherrykeel/memory"
)

// body is a request's complete body.
type body struct {
	data []byte
	// acquired is the number of bytes to release after the request.
	acquired int64
}

// BufferedBody is a request body that has been read into memory. Handlers can use Bytes instead of copying it.
type BufferedBody struct {
	*bytes.Reader
	data []byte
}

// Close implements io.Closer.
func (*BufferedBody) Close() error {
	return nil
}

// Bytes returns the body, which must not be modified.
func (bufferedBody *BufferedBody) Bytes() []byte {
	return bufferedBody.data
}

// bodyReader reads one body, up to limit bytes and as far as the memory has room.
type bodyReader struct {
	reader *bufio.Reader
	memory *memory.Limit
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
		bodyReader.memory.Release(bodyReader.body.acquired)
		return body{}, err
	}
	return bodyReader.body, nil
}

// readMore appends the next size bytes to the body.
func (bodyReader *bodyReader) readMore(size int64) error {
	already := int64(len(bodyReader.body.data))
	if size > bodyReader.limit-already {
		return errors.WithStack(ErrBodyTooLarge)
	}
	if !bodyReader.memory.Acquire(bodyReader.body.acquired, size) {
		return errors.WithStack(ErrNoMemory)
	}
	bodyReader.body.acquired += size
	// Grow enlarges the buffer in proportion to its size; otherwise a body of 64 MiB in chunks of 1 KB would be copied
	// 65,000 times.
	bodyReader.body.data = slices.Grow(bodyReader.body.data, int(size))[:already+size]
	_, err := io.ReadFull(bodyReader.reader, bodyReader.body.data[already:])
	return err
}

// maxChunkLine bounds a chunk's size line and a trailer line, in bytes.
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
		return 0, errors.Wrap(ErrMalformed, "a chunk's size is not a number")
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
		char, err := reader.ReadByte()
		if err != nil {
			return "", err
		}
		line = append(line, char)
		if len(line) > maxChunkLine {
			return "", errors.Wrap(ErrMalformed, "a line between chunks is too long")
		}
		if char != '\n' {
			continue
		}
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return "", errors.Wrap(ErrMalformed, "a line ends without a carriage return")
		}
		return string(line[:len(line)-2]), nil
	}
}
