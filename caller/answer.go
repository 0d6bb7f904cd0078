package caller

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"cherrykeel"
)

// answer buffers a handler's answer until the answers before it are written to the connection.
type answer struct {
	conn   *conn
	header http.Header
	status int
	body   bytes.Buffer
	// done is closed when the answer is complete.
	done chan struct{}
	once sync.Once
	// aborted is set if the handler panicked: the connection then closes without a byte of this answer.
	aborted bool
	request *http.Request
	// acquired is the number of bytes to release after the request.
	acquired int64
	// closeAfter is set if the connection closes after this answer, as the caller requested or the host decided.
	closeAfter bool
	// progress is what the handler has recorded last, or nil.
	progress atomic.Pointer[cherrykeel.RequestProgress]
}

func (conn *conn) newAnswer(request *http.Request) *answer {
	return &answer{conn: conn, header: http.Header{}, done: make(chan struct{}), request: request}
}

// Header implements http.ResponseWriter.
func (answer *answer) Header() http.Header {
	return answer.header
}

// WriteHeader implements http.ResponseWriter.
func (answer *answer) WriteHeader(status int) {
	if answer.status == 0 {
		answer.status = status
	}
}

// Write implements http.ResponseWriter.
func (answer *answer) Write(data []byte) (int, error) {
	answer.WriteHeader(http.StatusOK)
	return answer.body.Write(data)
}

func (answer *answer) finish() {
	answer.once.Do(func() { close(answer.done) })
}

// isBodiless reports whether the answer must not have a body, whatever its headers say.
func (answer *answer) isBodiless() bool {
	if answer.request != nil && answer.request.Method == http.MethodHead {
		return true
	}
	return answer.status == http.StatusNoContent || answer.status == http.StatusNotModified
}

// encode returns the answer as it is sent.
func (answer *answer) encode() []byte {
	if answer.status == 0 {
		answer.status = http.StatusOK
	}
	header := answer.header
	header.Del("Transfer-Encoding")
	if answer.closeAfter {
		header.Set("Connection", "close")
	} else {
		header.Del("Connection")
	}
	if !answer.isBodiless() {
		header.Set("Content-Length", strconv.Itoa(answer.body.Len()))
	}
	var buffer bytes.Buffer
	buffer.WriteString("HTTP/1.1 " + strconv.Itoa(answer.status) + " " + http.StatusText(answer.status) + "\r\n")
	_ = header.Write(&buffer)
	buffer.WriteString("\r\n")
	if !answer.isBodiless() {
		buffer.Write(answer.body.Bytes())
	}
	return buffer.Bytes()
}
