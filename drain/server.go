package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// firstRequestTimeout is how long a stop waits for the first request of an accepted connection. Callers send it within a
	// way there and back; one that was opened in advance loses nothing when it ends unused.
	firstRequestTimeout = 5 * time.Second
	// checkInterval is how often a stop looks at its connections, and the most that one look counts for. What passes beyond
	// that has passed without the process: a host that stood still would else end connections whose callers stood still
	// with it and are about to send.
	checkInterval = 10 * time.Millisecond
)

// Server is an HTTP server whose stop answers what it has accepted.
//
// net/http's Shutdown alone drops each request whose head it reads after the shutdown began, and each that lies unread on
// a connection it takes for idle; the caller cannot tell whether the request ran. So the listener is closed first, a
// connection is closed as idle only if nothing on it is unread, one that brings no request is told that none was read, and
// Shutdown comes when none is left.
type Server struct {
	server   *http.Server
	listener *Listener
	accepted chan struct{}
	stopping atomic.Bool
	// closedUnused counts the connections that ended unused.
	closedUnused atomic.Int64

	mutex sync.Mutex
	conns map[*conn]connState
	// runTime is how long the process ran since the stop's first look, and looked the time of the last one.
	runTime   time.Duration
	lastCheck time.Time
}

type connState struct {
	state http.ConnState
	// since is Server.ran when the connection came into that state.
	since time.Duration
	// readBytes counts the bytes that had been read when the connection became idle.
	readBytes int64
}

// New returns a server that takes over the given one's ConnState hook and handler, and the listener.
func New(server *http.Server, listener *Listener) *Server {
	drained := &Server{server: server, listener: listener, accepted: make(chan struct{}), conns: map[*conn]connState{}}
	server.ConnState = drained.recordState
	server.Handler = &closingHandler{handler: server.Handler, stopping: &drained.stopping}
	return drained
}

// Serve accepts connections until Stop, which makes it return nil, or until accepting fails.
func (server *Server) Serve() error {
	defer close(server.accepted)
	err := server.server.Serve(trackingListener{Listener: server.listener, stopping: &server.stopping, firstRequestTimeout: firstRequestTimeout})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.WithStack(err)
}

func (server *Server) recordState(accepted net.Conn, state http.ConnState) {
	conn, ok := accepted.(*conn)
	if !ok {
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		server.conns[conn] = connState{state: state, since: server.runTime}
	case http.StateIdle:
		conn.readSinceIdle.Store(false)
		server.conns[conn] = connState{state: state, since: server.runTime, readBytes: conn.reader.ReceivedBytes()}
	case http.StateHijacked, http.StateClosed:
		delete(server.conns, conn)
	}
}

// DisableKeepAlives lets each connection end with its next answer; requests go on being taken.
func (server *Server) DisableKeepAlives() {
	server.stopping.Store(true)
}

// StopAccepting takes no more connections and returns when the listener is closed. Its error is that of Listener.Stop,
// or the context's, if that has ended before all connections were taken, as when descriptors have run out: the listener
// is closed, but may have reset a caller.
func (server *Server) StopAccepting(ctx context.Context) error {
	server.DisableKeepAlives()
	err := server.listener.Stop()
	select {
	case <-server.accepted:
		return err
	case <-ctx.Done():
		_ = server.listener.Close()
		return errors.WithStack(ctx.Err())
	}
}

// Stop takes no more connections and returns when the accepted ones have been answered.
func (server *Server) Stop(ctx context.Context) error {
	_ = server.StopAccepting(ctx)
	return server.Finish(ctx)
}

// Finish returns when the accepted connections have been answered, after StopAccepting; those that are left when the
// context ends are cut, and its error is returned; callers of which nothing was read are told so.
func (server *Server) Finish(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for server.closeIdle(time.Now()) > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		server.closeUnread()
	}
	err := server.server.Shutdown(ctx)
	if err != nil {
		_ = server.server.Close()
	}
	return errors.WithStack(err)
}

// ClosedUnused returns how many connections brought no request until the stop ended them; their callers were told so.
func (server *Server) ClosedUnused() int64 {
	return server.closedUnused.Load()
}

// closeIdle closes the connections that are idle or have brought no request for long, and counts the others.
func (server *Server) closeIdle(now time.Time) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.addRunTime(now)
	for conn, open := range server.conns {
		idle := func() bool { return conn.stopIfIdle(open.readBytes) }
		switch {
		case open.state == http.StateIdle && idle():
			_ = conn.Close()
			delete(server.conns, conn)
		case open.state == http.StateNew && server.runTime-open.since >= firstRequestTimeout:
			server.closeUnused(conn, idle)
		}
	}
	return len(server.conns)
}

// addRunTime adds the time that the process ran since the last look; Server.mutex is held.
func (server *Server) addRunTime(now time.Time) {
	if !server.lastCheck.IsZero() {
		server.runTime += min(now.Sub(server.lastCheck), checkInterval)
	}
	server.lastCheck = now
}

// closeUnread ends the connections of which nothing was read, whatever has come on them.
func (server *Server) closeUnread() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn, open := range server.conns {
		if open.state == http.StateNew {
			server.closeUnused(conn, conn.reader.StopUnlessReceived)
		}
	}
}

// closeUnused ends an unused connection if shut reports that nothing on it is read any more; Server.mutex is held.
func (server *Server) closeUnused(conn *conn, shut func() bool) {
	if conn.closeNotRead(shut) {
		delete(server.conns, conn)
		server.closedUnused.Add(1)
	}
}
