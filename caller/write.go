package caller

import (
	"time"
)

func (conn *conn) writeAll() {
	for answer := range conn.answers {
		<-answer.done
		if !conn.write(answer) {
			return
		}
	}
}

// write writes one answer and reports whether the connection goes on.
func (conn *conn) write(answer *answer) bool {
	if answer.aborted || conn.ctx.Err() != nil && answer.request != nil {
		return false
	}
	conn.decideLast(answer)
	_ = conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.socket.Write(answer.encode())
	conn.mutex.Lock()
	conn.open--
	conn.answered++
	conn.idleSince = time.Now()
	conn.written.Broadcast()
	conn.mutex.Unlock()
	return err == nil && !answer.last
}

// decideLast lets the connection of a stopping host end with this answer, if no request follows it yet:
// one that was read already keeps the connection, since it may be running.
func (conn *conn) decideLast(answer *answer) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.server.stopping() && conn.open == 1 && !conn.busy {
		answer.last = true
	}
	if answer.last {
		conn.close()
	}
}

// stop takes no further request.
func (conn *conn) stop() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.close()
	conn.written.Broadcast()
}

// closeIdle ends the connection if no request is being read, waits, or runs.
func (conn *conn) closeIdle() {
	conn.mutex.Lock()
	idle := conn.open == 0 && !conn.busy && !conn.closing
	if idle {
		conn.close()
	}
	conn.mutex.Unlock()
	if idle {
		conn.closeWrite()
		time.AfterFunc(lingerTimeout, func() { _ = conn.socket.Close() })
	}
}

func (conn *conn) closeWrite() {
	half, ok := conn.socket.(interface{ CloseWrite() error })
	if ok {
		_ = half.CloseWrite()
	}
}

// linger lets the caller read the last answer before the socket is gone.
func (conn *conn) linger() {
	if conn.ctx.Err() != nil {
		return
	}
	conn.closeWrite()
	timer := time.NewTimer(lingerTimeout)
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
