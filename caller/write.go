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
	if conn.server.stopping() && conn.open == 1 && !conn.pump.intake.HasMoreThan(conn.taken) {
		answer.last = true
	}
	if answer.last {
		conn.takeNoMore()
	}
}

// stop takes no further request.
func (conn *conn) stop() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.takeNoMore()
	conn.written.Broadcast()
}

// closeIdle ends the connection if it is idle.
func (conn *conn) closeIdle() {
	if conn.endIdle() {
		_ = conn.socket.Close()
	}
}

// endIdle takes nothing more from the connection if no answer is owed or on its way, and no byte has come that belongs to
// no request yet. What the reading goroutine has begun says too little: on a busy host a request that came long ago waits
// for it. A request that crosses the close stays in the socket: its caller is told by the reset that nobody has read it,
// and a host that read on, to be polite, took requests that it could not answer any more.
func (conn *conn) endIdle() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.open > 0 || conn.closing || conn.pump.intake.HasUnacknowledged() {
		return false
	}
	idle := conn.pump.intake.StopUnlessMoreThan(conn.taken)
	if idle {
		conn.takeNoMore()
	}
	return idle
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
