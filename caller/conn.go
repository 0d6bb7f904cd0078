package caller

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel/events"
)

const (
	// pipelineDepth bounds the requests of one connection that are worked on at once.
	pipelineDepth = 16
	// bodyTimeout bounds the reading of one body; callers wait seconds at most, so a slower body serves nobody.
	bodyTimeout = 20 * time.Second
	// writeTimeout bounds the writing of one answer to a caller that does not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a closed connection still takes bytes, so that a crossing request's
	// arrival does not reset the answer before it: the way to a caller and back takes some 6 ms. Whoever
	// sent that request waits for no longer than this until it knows that it has to send it again.
	lingerTimeout = 150 * time.Millisecond
	// idleGrace is how much longer than the operator's limit a connection may be idle. Callers use one for
	// up to four fifths of the limit; a request of the last moment may wait for the processor here.
	idleGrace = time.Second
	// maxStack bounds what is logged of a panic.
	maxStack = 4 << 10
)

type conn struct {
	server *Server
	socket net.Conn
	pump   *pump
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// answers are written in the order in which their requests came.
	answers chan *answer

	mutex sync.Mutex
	// open counts requests that were read and whose answers are not written.
	open int
	// taken counts the bytes of the requests that were read whole.
	taken int64
	// idleSince is when the last answer was written.
	idleSince time.Time
	// closing says that no further request will be taken; closed is when that was decided.
	closing bool
	closed  time.Time
	written *sync.Cond
	// opened is when the connection was accepted, answered how many answers were written to it.
	opened   time.Time
	answered int
}

func newConn(server *Server, socket net.Conn) *conn {
	now := time.Now()
	conn := &conn{server: server, socket: socket, answers: make(chan *answer, pipelineDepth), idleSince: now, opened: now}
	conn.written = sync.NewCond(&conn.mutex)
	conn.ctx, conn.cancel = context.WithCancel(context.Background())
	conn.pump = newPump(socket, conn.gone)
	conn.reader = bufio.NewReaderSize(conn.pump, chunkBytes)
	return conn
}

// gone ends the requests of a caller that has left.
func (conn *conn) gone() {
	conn.cancel()
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.written.Broadcast()
}

func (conn *conn) serve() {
	go conn.readAll()
	conn.writeAll()
	conn.stop()
	conn.linger()
	close(conn.pump.stopped)
	_ = conn.socket.Close()
	conn.gone()
	for answer := range conn.answers {
		<-answer.done
	}
}

func (conn *conn) readAll() {
	defer close(conn.answers)
	defer func() {
		failure := recover()
		if failure != nil {
			conn.panicked(failure)
		}
	}()
	for conn.readOne() {
	}
}

// readOne reads a request and hands it to the handler; it reports whether another may follow.
func (conn *conn) readOne() bool {
	if !conn.await() {
		return false
	}
	if !conn.begin() {
		conn.noteCrossed()
		return false
	}
	limits := conn.server.limits()
	conn.pump.setDeadline(time.Now().Add(limits.HeaderTimeout))
	head, err := readHead(conn.reader, limits.HeaderBytes)
	if err != nil {
		return conn.refuse(err)
	}
	request, length, err := parseHead(head)
	if err != nil {
		return conn.refuse(err)
	}
	body, err := conn.readBody(request, length)
	if err != nil {
		return conn.refuse(err)
	}
	return conn.dispatch(request, body)
}

// await waits for the first byte of a request; false if there will be none, or the connection has been idle
// for too long. It is idle from its last answer on, and by the limit that is in force when its time is up.
func (conn *conn) await() bool {
	for {
		left := conn.idleLeft()
		if left <= 0 && conn.endIdle() {
			return false
		}
		if left <= 0 {
			left = conn.server.limits().HeaderTimeout
		}
		conn.pump.setDeadline(time.Now().Add(left))
		_, err := conn.reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
}

// idleLeft returns for how long the connection may still wait for a request.
func (conn *conn) idleLeft() time.Duration {
	allowed := conn.server.limits().IdleTimeout + idleGrace
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.open > 0 {
		return allowed
	}
	return allowed - time.Since(conn.idleSince)
}

func (conn *conn) readBody(request *http.Request, length int64) (body, error) {
	limits := conn.server.limits()
	if length > limits.BodyBytes {
		return body{}, errors.WithStack(ErrBodyTooLarge)
	}
	if request.Header.Get("Expect") != "" && length != 0 {
		conn.proceed()
	}
	conn.pump.setDeadline(time.Now().Add(bodyTimeout))
	reader := bodyReader{reader: conn.reader, memory: conn.server.memory, limit: limits.BodyBytes}
	return reader.read(length)
}

// proceed asks for a body that the caller holds back, once the answers before it are written. An answer counts as
// unwritten for a moment after its bytes have gone out; a caller that sends its next request at once was never asked
// for the body then, and got a timeout in place of its answer.
func (conn *conn) proceed() {
	if conn.awaitAnswers() {
		_, _ = conn.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// awaitAnswers waits until all answers are written; it reports false if no further request is taken.
func (conn *conn) awaitAnswers() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.awaitWritten()
	return !conn.closing && conn.ctx.Err() == nil
}

// awaitWritten waits until all answers are written or the connection ends; conn.mutex is held.
func (conn *conn) awaitWritten() {
	for conn.open > 0 && conn.ctx.Err() == nil && !conn.closing {
		conn.written.Wait()
	}
}

// begin reports whether the connection still takes requests.
func (conn *conn) begin() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return !conn.closing
}

// admit counts a request that was read whole.
func (conn *conn) admit(request *http.Request) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.taken = conn.pump.handed - int64(conn.reader.Buffered())
	if conn.closing {
		return false
	}
	if !alongside(request) {
		// What may change something waits for all answers before it: were one of them the
		// connection's last, the caller would send this request again while it runs.
		conn.awaitWritten()
	}
	if conn.closing || conn.ctx.Err() != nil {
		return false
	}
	conn.open++
	return true
}

// close takes no further request from now on; conn.mutex is held.
func (conn *conn) close() {
	if !conn.closing {
		conn.closed = time.Now()
	}
	conn.closing = true
}

// noteCrossed logs that a request came too late to be taken: its caller has to send it again.
func (conn *conn) noteCrossed() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	now := time.Now()
	events.Log(conn.server.logger, events.RequestCrossed,
		zap.String("Caller", conn.socket.RemoteAddr().String()),
		zap.Duration("Opened", now.Sub(conn.opened)), zap.Duration("Closed", now.Sub(conn.closed)),
		zap.Int("Answered", conn.answered), zap.Int("Open", conn.open))
}

// alongside reports whether the request may run beside others of its connection.
func alongside(request *http.Request) bool {
	return request.Method == http.MethodGet || request.Method == http.MethodHead
}

func (conn *conn) dispatch(request *http.Request, body body) bool {
	if !conn.admit(request) {
		conn.server.memory.giveBack(body.held)
		return false
	}
	answer := newAnswer(request)
	answer.held = body.held
	last := request.Close || request.ProtoMinor == 0
	answer.last = last
	request = request.WithContext(conn.ctx)
	request.RemoteAddr = conn.socket.RemoteAddr().String()
	request.ContentLength = int64(len(body.data))
	request.Body = &Whole{Reader: bytes.NewReader(body.data), data: body.data}
	conn.answers <- answer
	go conn.handle(answer, request)
	return !last
}

func (conn *conn) handle(answer *answer, request *http.Request) {
	defer answer.finish()
	defer conn.server.memory.giveBack(answer.held)
	defer func() {
		failure := recover()
		if failure == nil {
			return
		}
		answer.aborted = true
		conn.panicked(failure)
	}()
	conn.server.handler.ServeHTTP(answer, request)
}

// panicked takes a fault of ours that one request has met. Passed on, it ends the process with all requests that it
// holds, and the same request does so at the next host; contained, it costs its caller's connection.
func (conn *conn) panicked(failure any) {
	if failure == http.ErrAbortHandler {
		return
	}
	stack := debug.Stack()
	events.Log(conn.server.logger, events.RequestPanicked,
		zap.String("Caller", conn.socket.RemoteAddr().String()), zap.Any("Failure", failure),
		zap.ByteString("Stack", stack[:min(len(stack), maxStack)]))
}

// refuse answers a request that was not read whole; the connection ends with that answer.
func (conn *conn) refuse(err error) bool {
	answer := newAnswer(nil)
	answer.last = true
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
	conn.server.refused(conn, err, answer.status)
	conn.mutex.Lock()
	conn.open++
	conn.mutex.Unlock()
	answer.finish()
	conn.answers <- answer
	return false
}
