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
	// lingeringCloseTimeout is how long a closed connection still takes bytes, so that a crossing request's
	// arrival does not reset the answer before it: the way to a caller and back takes some 6 ms. Whoever
	// sent that request waits for no longer than this until it knows that it has to send it again.
	lingeringCloseTimeout = 150 * time.Millisecond
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
	// unanswered counts requests that were read and whose answers are not written.
	unanswered int
	// consumedBytes counts the bytes of the requests that were read whole.
	consumedBytes int64
	// idleSince is when the last answer was written.
	idleSince time.Time
	// closing says that no further request will be taken; closedAt is when that was decided.
	closing      bool
	closingSince time.Time
	stateChanged *sync.Cond
	// openedAt is when the connection was accepted, answered how many answers were written to it.
	openedAt    time.Time
	answerCount int
}

func newConn(server *Server, socket net.Conn) *conn {
	now := time.Now()
	conn := &conn{server: server, socket: socket, answers: make(chan *answer, pipelineDepth), idleSince: now, openedAt: now}
	conn.stateChanged = sync.NewCond(&conn.mutex)
	conn.ctx, conn.cancel = context.WithCancel(context.Background())
	conn.pump = newPump(socket, conn.cancelRequests)
	conn.reader = bufio.NewReaderSize(conn.pump, chunkBytes)
	return conn
}

// cancelRequests ends the requests of a caller that has left.
func (conn *conn) cancelRequests() {
	conn.cancel()
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.stateChanged.Broadcast()
}

func (conn *conn) serve() {
	go conn.readLoop()
	conn.writeLoop()
	conn.beginClosing()
	conn.lingeringClose()
	close(conn.pump.done)
	_ = conn.socket.Close()
	conn.cancelRequests()
	for answer := range conn.answers {
		<-answer.done
	}
}

// setClosing ends the taking of requests; conn.mutex is held.
func (conn *conn) setClosing() {
	if !conn.closing {
		conn.closingSince = time.Now()
	}
	conn.closing = true
}
