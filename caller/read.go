package caller

import (
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel/events"
)

const (
	// bodyTimeout bounds the reading of one body. Callers wait for an answer for seconds at most, so a slower body is
	// of no use to them.
	bodyTimeout = 20 * time.Second
	// idleGrace is added to the operator's idle timeout. Callers reuse a connection that has been idle for up to four
	// fifths of the timeout, and a request that is sent at the last moment may wait for the processor on this host.
	idleGrace = time.Second
)

// readLoop reads requests until the connection accepts no more of them.
func (conn *conn) readLoop() {
	defer close(conn.answers)
	defer func() {
		failure := recover()
		if failure != nil {
			conn.logPanic(failure)
		}
	}()
	for conn.readRequest() {
	}
}

// readRequest reads a request and passes it to the handler; it reports whether another one may follow.
func (conn *conn) readRequest() bool {
	if !conn.awaitRequest() {
		return false
	}
	if !conn.isAccepting() {
		conn.logRequestAfterClose()
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

// awaitRequest waits for the first byte of a request. It reports false if none can come any more or if the connection has
// been idle for too long. Idle time counts from the last answer; the timeout in force at its end applies.
func (conn *conn) awaitRequest() bool {
	for {
		left := conn.idleTimeLeft()
		if left <= 0 && conn.stopIfIdle() {
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

// idleTimeLeft returns how long the connection may still wait for a request.
func (conn *conn) idleTimeLeft() time.Duration {
	allowed := conn.server.limits().IdleTimeout + idleGrace
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.unanswered > 0 {
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
		conn.sendContinue()
	}
	conn.pump.setDeadline(time.Now().Add(bodyTimeout))
	reader := bodyReader{reader: conn.reader, memory: conn.server.memory, limit: limits.BodyBytes}
	return reader.read(length)
}

// sendContinue requests a body that the caller holds back (Expect: 100-continue), once all earlier answers are written.
// It waits for them since an answer counts as unwritten for a moment after its bytes were sent: a caller that sends its
// next request at once would otherwise never receive the 100, and would get a timeout instead of its answer.
func (conn *conn) sendContinue() {
	if conn.awaitAnswers() {
		_, _ = conn.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// awaitAnswers waits until all answers are written; it reports false if no further request is accepted.
func (conn *conn) awaitAnswers() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.awaitAnswersLocked()
	return !conn.closing && conn.ctx.Err() == nil
}

// awaitAnswersLocked waits until all answers are written or the connection ends. conn.mutex must be held.
func (conn *conn) awaitAnswersLocked() {
	for conn.unanswered > 0 && conn.ctx.Err() == nil && !conn.closing {
		conn.stateChanged.Wait()
	}
}

// isAccepting reports whether the connection still accepts requests.
func (conn *conn) isAccepting() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return !conn.closing
}

// logRequestAfterClose logs that a request arrived after the connection had begun to close. The request is not handled, and
// its caller has to send it again.
func (conn *conn) logRequestAfterClose() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	now := time.Now()
	events.Log(conn.server.logger, events.RequestAfterClose,
		zap.String("Caller", conn.socket.RemoteAddr().String()),
		zap.Duration("Opened", now.Sub(conn.openedAt)), zap.Duration("Closed", now.Sub(conn.closingSince)),
		zap.Int("Answered", conn.answerCount), zap.Int("Open", conn.unanswered))
}
