package caller

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	// pipelineDepth bounds the queued answers of one connection, and with them the requests in progress at once.
	pipelineDepth = 16
	// writeTimeout bounds the writing of one answer, in case the caller does not read it.
	writeTimeout = 10 * time.Second
	// lingeringCloseTimeout is how long a connection is still read after its last answer. A request that arrives
	// meanwhile would otherwise cause a reset, and the caller could lose that answer; a round trip to a caller takes
	// some 6 ms. It also bounds how long the sender of such a request waits until it learns that it must send it again,
	// once the last answer has arrived.
	lingeringCloseTimeout = 150 * time.Millisecond
)

// conn is a caller's connection. One goroutine reads its requests, another one writes the answers.
type conn struct {
	server *Server
	socket net.Conn
	pump   *pump
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// answers holds the answers in the order of their requests; they are written in this order.
	answers chan *answer

	mutex sync.Mutex
	// unanswered counts the accepted requests whose answers have not been written.
	unanswered int
	// pending holds the answers of the accepted requests, in their order, until they are written.
	pending []*answer
	// consumedBytes counts the bytes of the requests that were read whole.
	consumedBytes int64
	// idleSince is the time of the last answer, or of the accept if there was none.
	idleSince time.Time
	// closing is set once no further request is accepted, and closingSince is the time of that decision.
	closing      bool
	closingSince time.Time
	// stateChanged is signaled when an answer was written or the connection ends.
	stateChanged *sync.Cond
	// openedAt is the time of the accept, and answerCount the number of answers written since.
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

// cancelRequests cancels the requests of a connection that its caller has closed or that has ended.
func (conn *conn) cancelRequests() {
	conn.cancel()
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.stateChanged.Broadcast()
}

// serve serves the connection until it ends, and waits for its handlers to return.
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

// setClosing makes the connection accept no further request. conn.mutex must be held.
func (conn *conn) setClosing() {
	if !conn.closing {
		conn.closingSince = time.Now()
	}
	conn.closing = true
}
