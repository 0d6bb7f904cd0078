package caller

import (
	"time"
)

func (conn *conn) writeLoop() {
	for answer := range conn.answers {
		<-answer.done
		if !conn.writeAnswer(answer) {
			return
		}
	}
}

// writeAnswer writes one answer and reports whether the connection goes on.
func (conn *conn) writeAnswer(answer *answer) bool {
	if answer.aborted || conn.ctx.Err() != nil && answer.request != nil {
		return false
	}
	conn.decideCloseAfter(answer)
	_ = conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.socket.Write(answer.encode())
	conn.mutex.Lock()
	conn.unanswered--
	conn.answerCount++
	conn.idleSince = time.Now()
	conn.stateChanged.Broadcast()
	conn.mutex.Unlock()
	return err == nil && !answer.closeAfter
}

// decideCloseAfter lets the connection of a stopping host end with this answer, if no request follows it yet:
// one that was read already keeps the connection, since it may be running.
func (conn *conn) decideCloseAfter(answer *answer) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.server.isStopping() && conn.unanswered == 1 && !conn.pump.reader.HasMoreThan(conn.consumedBytes) {
		answer.closeAfter = true
	}
	if answer.closeAfter {
		conn.setClosing()
	}
}

// beginClosing takes no further request.
func (conn *conn) beginClosing() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.setClosing()
	conn.stateChanged.Broadcast()
}

// closeIfIdle ends the connection if it is idle.
func (conn *conn) closeIfIdle() {
	if conn.stopIfIdle() {
		_ = conn.socket.Close()
	}
}

// stopIfIdle takes nothing more from the connection if no answer is owed or on its way, and no byte has come that belongs to
// no request yet. What the reading goroutine has begun says too little: on a busy host a request that came long ago waits
// for it. A request that crosses the close stays in the socket: its caller is told by the reset that nobody has read it,
// and a host that read on, to be polite, took requests that it could not answer any more.
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

// lingeringClose lets the caller read the last answer before the socket is gone.
func (conn *conn) lingeringClose() {
	if conn.ctx.Err() != nil {
		return
	}
	conn.closeWrite()
	timer := time.NewTimer(lingeringCloseTimeout)
	defer timer.Stop()
	for {
		select {
		case _, open := <-conn.pump.chunks:
			if !open {
				return
			}
		case <-timer.C:
			return
		}
	}
}
