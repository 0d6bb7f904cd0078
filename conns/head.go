package conns

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrHeadTooLong is an ErrBroken that means that the head of an answer, informational answers before it included, has
// more bytes than any answer needs: the upstream may send without end.
var ErrHeadTooLong = errors.WithMessage(ErrBroken, "the head of the answer is too long")

// maxHeadBytes bounds the head of an answer and the informational answers before it together. The HTTP library reads a
// head into memory until it ends, and skips informational answers for ever.
const maxHeadBytes = 32 << 10

// headReader reads from a connection. While a head is read, it returns a bounded number of bytes.
type headReader struct {
	source io.Reader
	// bounded means that a head is read, for which left more bytes may be read. exceeded means that it asked for more.
	bounded  bool
	left     int
	exceeded bool
}

// Read implements io.Reader.
func (headReader *headReader) Read(buffer []byte) (int, error) {
	if !headReader.bounded {
		return headReader.source.Read(buffer)
	}
	if headReader.left == 0 {
		headReader.exceeded = true
		return 0, io.ErrUnexpectedEOF
	}
	count, err := headReader.source.Read(buffer[:min(len(buffer), headReader.left)])
	headReader.left -= count
	return count, err
}

// begin bounds what is read until end is called.
func (headReader *headReader) begin() {
	headReader.bounded = true
	headReader.left = maxHeadBytes
	headReader.exceeded = false
}

// hasRead reports whether bytes came since begin was called.
func (headReader *headReader) hasRead() bool {
	return headReader.left < maxHeadBytes
}

func (headReader *headReader) end() {
	headReader.bounded = false
}

// readHead reads the head of the final answer and skips informational ones.
func (conn *conn) readHead(request *http.Request) (*http.Response, error) {
	conn.source.begin()
	defer conn.source.end()
	for {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil && conn.source.exceeded {
			return nil, errors.WithStack(ErrHeadTooLong)
		}
		if err != nil {
			conn.closedUnderRequest = errors.Is(err, io.ErrUnexpectedEOF)
			return nil, brokenError(err)
		}
		informational := response.StatusCode >= 100 && response.StatusCode < 200
		if !informational || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}
