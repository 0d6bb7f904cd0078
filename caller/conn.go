package caller

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	// pipelineDepth bounds the requests of one connection that are worked on at once.
	pipelineDepth = 16
	// writeTimeout bounds the writing of one answer to a caller that does not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a closed connection still takes bytes, so that a crossing request's
	// arrival does not reset the answer before it: the way to a caller and back takes some 6 ms. Whoever
	// sent that request waits for no longer than this until it knows that it has to send it again.
	lingerTimeout = 150 * time.Millisecond
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
	// closing says that no further request will be taken; closedAt is when that was decided.
	closing  bool
	closedAt time.Time
	written  *sync.Cond
	// openedAt is when the connection was accepted, answered how many answers were written to it.
	openedAt time.Time
	answered int
}

func newConn(server *Server, socket net.Conn) *conn {
	now := time.Now()
	conn := &conn{server: server, socket: socket, answers: make(chan *answer, pipelineDepth), idleSince: now, openedAt: now}
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

// takeNoMore ends the taking of requests; conn.mutex is held.
func (conn *conn) takeNoMore() {
	if !conn.closing {
		conn.closedAt = time.Now()
	}
	conn.closing = true
}
