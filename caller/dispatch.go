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

// maxLoggedStack bounds the logged part of a panic's stack, in bytes.
const maxLoggedStack = 4 << 10

// admit counts a request that was read whole, and its answer that is to come. It reports false if the connection is
// closing, so that the request must not run.
func (conn *conn) admit(answer *answer) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.consumedBytes = conn.pump.returnedBytes - int64(conn.reader.Buffered())
	if conn.closing {
		return false
	}
	if !isSafe(answer.request) || conn.server.isStopping() {
		// A request that may change something waits for all earlier answers: if the connection closed after
		// one of them, the caller would send this request again while it runs. On a stopping host each request
		// waits: its answer would leave after the earlier ones, and these may outlast the host. The last answer
		// that is owed closes the connection, unless it had left before the stop began.
		conn.awaitAnswersLocked()
	}
	if conn.closing || conn.ctx.Err() != nil {
		return false
	}
	conn.unanswered++
	conn.pending = append(conn.pending, answer)
	return true
}

// isSafe reports whether the request changes nothing, so that it may run concurrently with others of its connection.
func isSafe(request *http.Request) bool {
	return request.Method == http.MethodGet || request.Method == http.MethodHead
}

// dispatch starts the handler for a request; it reports whether another request may follow.
func (conn *conn) dispatch(request *http.Request, body body) bool {
	answer := conn.newAnswer(request)
	if !conn.admit(answer) {
		conn.server.memory.Release(body.acquired)
		if !conn.isAccepting() {
			conn.logRequestAfterClose()
		}
		return false
	}
	answer.acquired = body.acquired
	closeAfter := request.Close || request.ProtoMinor == 0
	answer.closeAfter = closeAfter
	request = request.WithContext(conn.ctx)
	request.RemoteAddr = conn.socket.RemoteAddr().String()
	request.ContentLength = int64(len(body.data))
	request.Body = &BufferedBody{Reader: bytes.NewReader(body.data), data: body.data}
	conn.answers <- answer
	go conn.handle(answer, request)
	return !closeAfter
}

// handle runs the handler and recovers from its panics.
func (conn *conn) handle(answer *answer, request *http.Request) {
	defer answer.finish()
	defer conn.server.memory.Release(answer.acquired)
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

// logPanic logs a recovered panic, except http.ErrAbortHandler. A panic that is not recovered ends the process with all
// its requests, and the retried request then does the same at the next host; recovered, it costs only its caller's
// connection.
func (conn *conn) logPanic(failure any) {
	if failure == http.ErrAbortHandler {
		return
	}
	stack := debug.Stack()
	events.Log(conn.server.logger, events.RequestPanicked,
		zap.String("Caller", conn.socket.RemoteAddr().String()), zap.Any("Failure", failure),
		zap.ByteString("Stack", stack[:min(len(stack), maxLoggedStack)]))
}

// refuse answers a request that could not be read whole; the connection closes after that answer. It returns false, since
// no further request may be read.
func (conn *conn) refuse(err error) bool {
	answer := conn.newAnswer(nil)
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
