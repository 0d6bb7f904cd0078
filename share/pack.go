package share

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// packFrom is the size from which a message is compressed: a table of 231 upstreams is 40 KB as text and 6 KB
	// packed, and links that are full drop large datagrams first. Smaller
	// ones are mostly sums of counts, sent 12 times a second to up to 24 hosts, which would all unpack them.
	packFrom = 3 << 10
	// unpackedMost bounds what a packed message may become.
	unpackedMost = 1 << 20
	// packedMark is the first byte of packed messages; all others begin with a brace.
	packedMark = 0x1f
)

// packers are kept, since each takes more than half a megabyte.
var packers = sync.Pool{New: func() any {
	writer, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		return nil
	}
	return writer
}}

// pack compresses a large message.
func pack(data []byte) ([]byte, error) {
	if len(data) < packFrom {
		return data, nil
	}
	var buffer bytes.Buffer
	writer, ok := packers.Get().(*gzip.Writer)
	if !ok {
		return nil, errors.New("no packer")
	}
	defer packers.Put(writer)
	writer.Reset(&buffer)
	_, err := writer.Write(data)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	err = writer.Close()
	return buffer.Bytes(), errors.WithStack(err)
}

// unpack returns a message as it was before pack.
func unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packedMark {
		return data, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	plain, err := io.ReadAll(io.LimitReader(reader, unpackedMost+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(ErrMalformed, err.Error())
	case len(plain) > unpackedMost:
		return nil, errors.Wrap(ErrMalformed, "too large when unpacked")
	default:
		return plain, nil
	}
}
