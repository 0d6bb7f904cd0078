package caller

import (
	"bytes"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel/events"
)

// maxLoggedStack bounds what is logged of a panic.
const maxLoggedStack = 4 << 10

// admit counts a request that was read whole.
func (conn *conn) admit(request *http.Request) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.consumedBytes = conn.pump.returnedBytes - int64(conn.reader.Buffered())
	if conn.closing {
		return false
	}
	if !isSafe(request) {
		// What may change something waits for all answers before it: were one of them the
		// connection's last, the caller would send this request again while it runs.
		conn.awaitAnswersLocked()
	}
	if conn.closing || conn.ctx.Err() != nil {
		return false
	}
	conn.unanswered++
	return true
}

// isSafe reports whether the request may run beside others of its connection.
func isSafe(request *http.Request) bool {
	return request.Method == http.MethodGet || request.Method == http.MethodHead
}

func (conn *conn) dispatch(request *http.Request, body body) bool {
	if !conn.admit(request) {
		conn.server.memory.release(body.acquired)
		return false
	}
	answer := newAnswer(request)
	answer.acquired = body.acquired
	last := request.Close || request.ProtoMinor == 0
	answer.closeAfter = last
	request = request.WithContext(conn.ctx)
	request.RemoteAddr = conn.socket.RemoteAddr().String()
	request.ContentLength = int64(len(body.data))
	request.Body = &BufferedBody{Reader: bytes.NewReader(body.data), data: body.data}
	conn.answers <- answer
	go conn.handle(answer, request)
	return !last
}

func (conn *conn) handle(answer *answer, request *http.Request) {
	defer answer.finish()
	defer conn.server.memory.release(answer.acquired)
	defer func() {
		failure := recover()
		if failure == nil {
			return
		}
		answer.aborted = true
		conn.logPanic(failure)
	}()
	conn.server.handler.ServeHTTP(answer, request)
}

// logPanic takes a fault of ours that one request has met. Passed on, it ends the process with all requests that it
// holds, and the same request does so at the next host; contained, it costs its caller's connection.
func (conn *conn) logPanic(failure any) {
	if failure == http.ErrAbortHandler {
		return
	}
	stack := debug.Stack()
	events.Log(conn.server.logger, events.RequestPanicked,
		zap.String("Caller", conn.socket.RemoteAddr().String()), zap.Any("Failure", failure),
		zap.ByteString("Stack", stack[:min(len(stack), maxLoggedStack)]))
}

// refuse answers a request that was not read whole; the connection ends with that answer.
func (conn *conn) refuse(err error) bool {
	answer := newAnswer(nil)
	answer.closeAfter = true
	switch {
	case errors.Is(err, ErrMalformed):
		answer.status = http.StatusBadRequest
	case errors.Is(err, ErrHeadTooLarge):
		answer.status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodyTooLarge):
		answer.status = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrNoMemory):
		answer.status = http.StatusServiceUnavailable
		answer.header.Set("Retry-After", memoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		answer.status = http.StatusRequestTimeout
	default:
		return false
	}
	conn.server.logRefused(conn, err, answer.status)
	conn.mutex.Lock()
	conn.unanswered++
	conn.mutex.Unlock()
	answer.finish()
	conn.answers <- answer
	return false
}
