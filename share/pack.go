package share

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// compressMinBytes is the size from which a message is compressed: a table of 231 upstreams is 40 KB as text and 6
	// KB compressed, and congested links drop large datagrams first. Smaller messages are mostly sums of counts, which
	// are sent 12 times a second to up to 24 hosts, and each of these would have to decompress them.
	compressMinBytes = 3 << 10
	// maxUncompressedBytes bounds the size of a message after decompression.
	maxUncompressedBytes = 1 << 20
	// gzipFirstByte is the first byte of compressed messages; all others begin with a brace.
	gzipFirstByte = 0x1f
)

// gzipWriters are reused, since each takes more than half a megabyte.
var gzipWriters = sync.Pool{New: func() any {
	writer, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		return nil
	}
	return writer
}}

// compress compresses a large message and returns a small one as it is.
func compress(data []byte) ([]byte, error) {
	if len(data) < compressMinBytes {
		return data, nil
	}
	var buffer bytes.Buffer
	writer, ok := gzipWriters.Get().(*gzip.Writer)
	if !ok {
		return nil, errors.New("no gzip writer")
	}
	defer gzipWriters.Put(writer)
	writer.Reset(&buffer)
	_, err := writer.Write(data)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	err = writer.Close()
	return buffer.Bytes(), errors.WithStack(err)
}

// decompress returns a message as it was before compress.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != gzipFirstByte {
		return data, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxUncompressedBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(ErrMalformed, err.Error())
	case len(plain) > maxUncompressedBytes:
		return nil, errors.Wrap(ErrMalformed, "too large after decompression")
	default:
		return plain, nil
	}
}
