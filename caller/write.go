package caller

import (
	"time"
)

// writeLoop writes the answers in order until the connection closes.
func (conn *conn) writeLoop() {
	for answer := range conn.answers {
		<-answer.done
		if !conn.writeAnswer(answer) {
			return
		}
	}
}

// writeAnswer writes one answer and reports whether the connection stays open.
func (conn *conn) writeAnswer(answer *answer) bool {
	if answer.aborted || conn.ctx.Err() != nil && answer.request != nil {
		return false
	}
	conn.decideCloseAfter(answer)
	_ = conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.socket.Write(answer.encode())
	conn.mutex.Lock()
	conn.unanswered--
	conn.removePending(answer)
	conn.answerCount++
	conn.idleSince = time.Now()
	conn.stateChanged.Broadcast()
	conn.mutex.Unlock()
	return err == nil && !answer.closeAfter
}

// decideCloseAfter makes the connection of a stopping host close after the last answer that is owed. A request that was
// accepted before the stop keeps the connection open, since it may be running. What was sent behind is not begun, and its
// caller sends it again.
func (conn *conn) decideCloseAfter(answer *answer) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.server.isStopping() && conn.unanswered == 1 {
		answer.closeAfter = true
	}
	if answer.closeAfter {
		conn.setClosing()
	}
}

// beginClosing makes the connection accept no further request, and wakes the read loop if it waits for answers.
func (conn *conn) beginClosing() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.setClosing()
	conn.stateChanged.Broadcast()
}

// closeIfIdle closes the connection if it is idle, and reports whether it was.
func (conn *conn) closeIfIdle() bool {
	idle := conn.stopIfIdle()
	if idle {
		_ = conn.socket.Close()
	}
	return idle
}

// idleStart returns the time of the last answer, or of the accept if there was none.
func (conn *conn) idleStart() time.Time {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.idleSince
}

// stopIfIdle stops reading the connection, and reports true, if every request is answered, the caller has acknowledged
// every answer and no byte of a further request has arrived. The socket itself is examined for such bytes: on a busy host
// a request may have arrived long before the reading goroutine runs. A request that arrives after the stop stays in the
// socket, so that the reset tells its caller that it was not read; a host that read on would read requests that it can
// no longer answer.
func (conn *conn) stopIfIdle() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.unanswered > 0 || conn.closing || conn.pump.reader.HasUnacknowledged() {
		return false
	}
	idle := conn.pump.reader.StopUnlessMoreThan(conn.consumedBytes)
	if idle {
		conn.setClosing()
	}
	return idle
}

func (conn *conn) closeWrite() {
	half, ok := conn.socket.(interface{ CloseWrite() error })
	if ok {
		_ = half.CloseWrite()
	}
}

// lingeringClose closes the sending side and discards what arrives until the caller closes its side or the time is up, so
// that the caller can read the last answer before the socket is closed. The time goes on while a slow caller has not
// acknowledged that answer, up to writeTimeout: a request that it sends meanwhile would cost it the rest.
func (conn *conn) lingeringClose() {
	if conn.ctx.Err() != nil {
		return
	}
	conn.closeWrite()
	latest := time.Now().Add(writeTimeout)
	timer := time.NewTimer(lingeringCloseTimeout)
	defer timer.Stop()
	for {
		select {
		case _, open := <-conn.pump.chunks:
			if !open {
				return
			}
		case <-timer.C:
			if !conn.pump.reader.HasUnacknowledged() || time.Now().After(latest) {
				return
			}
			timer.Reset(lingeringCloseTimeout)
		}
	}
}
