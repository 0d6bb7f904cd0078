package conns

import (
	"bufio"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"cherrykeel/heads"
)

// ErrHeadTooLong is an ErrBroken that means that the head of an answer, informational answers before it included, has
// more bytes than any answer needs: the upstream may send without end.
var ErrHeadTooLong = errors.WithMessage(ErrBroken, "the head of the answer is too long")

// maxHeadBytes bounds the head of an answer and the informational answers before it together. The HTTP library reads a
// head into memory until it ends, and skips informational answers for ever.
const maxHeadBytes = 32 << 10

// usualHeadBytes is the size of a usual head.
const usualHeadBytes = 512

// headReader reads from a connection. While a head is read, it returns a bounded number of bytes.
type headReader struct {
	source io.Reader
	// unread is returned before what source has.
	unread []byte
	// bounded means that a head is read, for which left more bytes may be read. exceeded means that it asked for more.
	bounded  bool
	left     int
	exceeded bool
}

// Read implements io.Reader.
func (headReader *headReader) Read(buffer []byte) (int, error) {
	if len(headReader.unread) > 0 {
		count := copy(buffer, headReader.unread)
		headReader.unread = headReader.unread[count:]
		return count, nil
	}
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
		response, err := conn.readNextHead(request)
		if err != nil && conn.source.exceeded {
			return nil, errors.WithStack(ErrHeadTooLong)
		}
		if err != nil {
			return nil, err
		}
		informational := response.StatusCode >= 100 && response.StatusCode < 200
		if !informational || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// readNextHead reads one head, which may be that of an informational answer.
func (conn *conn) readNextHead(request *http.Request) (*http.Response, error) {
	var answer heads.Answer
	head, err := conn.readLines(&answer)
	if errors.Is(err, heads.ErrMalformed) {
		return nil, conn.malformedError(err)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		conn.closedUnderRequest = errors.Is(err, io.ErrUnexpectedEOF)
		return nil, brokenError(err)
	}
	conn.unread(head)
	response, err := http.ReadResponse(conn.reader, request)
	if err != nil {
		return nil, conn.malformedError(err)
	}
	if len(answer.Connection()) > 0 {
		response.Header["Connection"] = answer.Connection()
	}
	return response, nil
}

// readLines reads the lines of a head, including the empty one that ends it, and checks each as soon as it is there: what
// sends bytes that are no answer may never end them.
func (conn *conn) readLines(answer *heads.Answer) ([]byte, error) {
	head := make([]byte, 0, usualHeadBytes)
	for {
		begin := len(head)
		var err error
		head, err = conn.appendLine(head)
		if err != nil {
			return nil, err
		}
		ended, err := answer.AddLine(head[begin:])
		if ended || err != nil {
			return head, err
		}
	}
}

// appendLine reads a line and appends it.
func (conn *conn) appendLine(head []byte) ([]byte, error) {
	for {
		part, err := conn.reader.ReadSlice('\n')
		head = append(head, part...)
		if err != bufio.ErrBufferFull {
			return head, err
		}
	}
}

// unread makes the next reads return a head that was read, and what is buffered behind it.
func (conn *conn) unread(head []byte) {
	buffered, _ := conn.reader.Peek(conn.reader.Buffered())
	conn.source.unread = append(append(head, buffered...), conn.source.unread...)
	conn.reader.Reset(conn.source)
}
