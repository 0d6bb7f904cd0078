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
	// unusedPatience is how long a stop waits for the first request of an accepted connection. Callers send it within a
	// way there and back; one that was opened in advance loses nothing when it ends unused.
	unusedPatience = 5 * time.Second
	// lookEvery is how often a stop looks at its connections, and the most that one look counts for. What passes beyond
	// that has passed without the process: a host that stood still would else end connections whose callers stood still
	// with it and are about to send.
	lookEvery = 10 * time.Millisecond
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
	// turnedAway counts the connections that ended unused.
	turnedAway atomic.Int64

	mutex sync.Mutex
	open  map[*conn]openConn
	// ran is how long the process ran since the stop's first look, and looked the time of the last one.
	ran    time.Duration
	looked time.Time
}

type openConn struct {
	state http.ConnState
	// since is Server.ran when the connection came into that state.
	since time.Duration
	// taken counts the bytes that had been read when the connection became idle.
	taken int64
}

// New returns a server that takes over the given one's ConnState hook and handler, and the listener.
func New(server *http.Server, listener *Listener) *Server {
	drained := &Server{server: server, listener: listener, accepted: make(chan struct{}), open: map[*conn]openConn{}}
	server.ConnState = drained.note
	server.Handler = &parting{handler: server.Handler, stopping: &drained.stopping}
	return drained
}

// Serve accepts connections until Stop, which makes it return nil, or until accepting fails.
func (server *Server) Serve() error {
	defer close(server.accepted)
	err := server.server.Serve(watched{Listener: server.listener, stopping: &server.stopping, patience: unusedPatience})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.WithStack(err)
}

func (server *Server) note(accepted net.Conn, state http.ConnState) {
	conn, ok := accepted.(*conn)
	if !ok {
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		server.open[conn] = openConn{state: state, since: server.ran}
	case http.StateIdle:
		conn.awaited.Store(false)
		server.open[conn] = openConn{state: state, since: server.ran, taken: conn.intake.ReceivedBytes()}
	case http.StateHijacked, http.StateClosed:
		delete(server.open, conn)
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
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for server.closeIdle(time.Now()) > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		server.turnAwayUnread()
	}
	err := server.server.Shutdown(ctx)
	if err != nil {
		_ = server.server.Close()
	}
	return errors.WithStack(err)
}

// ClosedUnused returns how many connections brought no request until the stop ended them; their callers were told so.
func (server *Server) ClosedUnused() int64 {
	return server.turnedAway.Load()
}

// closeIdle closes the connections that are idle or have brought no request for long, and counts the others.
func (server *Server) closeIdle(now time.Time) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.count(now)
	for conn, open := range server.open {
		idle := func() bool { return conn.idle(open.taken) }
		switch {
		case open.state == http.StateIdle && idle():
			_ = conn.Close()
			delete(server.open, conn)
		case open.state == http.StateNew && server.ran-open.since >= unusedPatience:
			server.turnAway(conn, idle)
		}
	}
	return len(server.open)
}

// count adds the time that the process ran since the last look; Server.mutex is held.
func (server *Server) count(now time.Time) {
	if !server.looked.IsZero() {
		server.ran += min(now.Sub(server.looked), lookEvery)
	}
	server.looked = now
}

// turnAwayUnread ends the connections of which nothing was read, whatever has come on them.
func (server *Server) turnAwayUnread() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn, open := range server.open {
		if open.state == http.StateNew {
			server.turnAway(conn, conn.intake.StopUnlessReceived)
		}
	}
}

// turnAway ends an unused connection if shut reports that nothing on it is read any more; Server.mutex is held.
func (server *Server) turnAway(conn *conn, shut func() bool) {
	if conn.turnAway(shut) {
		delete(server.open, conn)
		server.turnedAway.Add(1)
	}
}
