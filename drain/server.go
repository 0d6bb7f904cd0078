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
	// firstRequestTimeout is how long a stop waits for the first request of an accepted connection. Callers send it
	// within a round trip; a connection that was opened in advance can be closed unused without harm.
	firstRequestTimeout = 5 * time.Second
	// checkInterval is the interval at which a stop checks its connections, and the most time that one check counts as
	// run time. Time beyond that counts as a suspension of the process: without this limit, a resumed host would close
	// connections whose callers were suspended with it and are about to send.
	checkInterval = 10 * time.Millisecond
)

// Server is an HTTP server whose stop answers the requests of all accepted connections.
//
// http.Server.Shutdown alone drops each request whose head it reads after the shutdown began, and each that is unread on a
// connection that it considers idle; the caller cannot tell whether the request ran. So Server closes the listener first,
// closes a connection as idle only if nothing on it is unread, answers on a connection without a request that none was
// read, and calls Shutdown when no connection is left.
type Server struct {
	server   *http.Server
	listener *Listener
	accepted chan struct{}
	stopping atomic.Bool
	// closedUnused counts the connections that were closed before their first request was read.
	closedUnused atomic.Int64
	// handling is the number of requests that are being answered, and aborted its value when Finish closed connections.
	handling atomic.Int64
	aborted  atomic.Int64

	mutex sync.Mutex
	conns map[*conn]connState
	// runTime is how long the process has run, without suspensions, since the stop's first check, and lastCheck the
	// time of the last check.
	runTime   time.Duration
	lastCheck time.Time
}

// connState is the state of a connection as net/http reports it.
type connState struct {
	state http.ConnState
	// since is the value of Server.runTime at which the connection entered the state.
	since time.Duration
	// readBytes is the number of bytes that had been read when the connection became idle.
	readBytes int64
}

// New returns a server that serves the listener. It replaces the given server's ConnState hook and wraps its handler.
func New(server *http.Server, listener *Listener) *Server {
	drained := &Server{server: server, listener: listener, accepted: make(chan struct{}), conns: map[*conn]connState{}}
	server.ConnState = drained.recordState
	server.Handler = &closingHandler{handler: server.Handler, stopping: &drained.stopping, handling: &drained.handling}
	return drained
}

// Serve accepts connections until the server stops, and returns nil then, or until accepting fails.
func (server *Server) Serve() error {
	defer close(server.accepted)
	err := server.server.Serve(trackingListener{Listener: server.listener, stopping: &server.stopping, firstRequestTimeout: firstRequestTimeout})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.WithStack(err)
}

// recordState is the http.Server's ConnState hook.
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

// DisableKeepAlives makes each connection close after its next answer; requests are still accepted.
func (server *Server) DisableKeepAlives() {
	server.stopping.Store(true)
}

// StopAccepting disables keep-alives, stops the listener and returns when it is closed. It returns the error of
// Listener.Stop, or that of the context if it ends before all established connections are accepted, as when the process
// has run out of descriptors: the listener is closed then, but may have reset a caller.
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

// Stop accepts no more connections and returns when the accepted ones have been answered; see Finish.
func (server *Server) Stop(ctx context.Context) error {
	_ = server.StopAccepting(ctx)
	return server.Finish(ctx)
}

// Finish returns when the accepted connections have been answered, after StopAccepting. When the context ends, it closes
// the connections that are left and returns the context's error; callers of which nothing was read are told so.
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
		server.aborted.Store(server.handling.Load())
		_ = server.server.Close()
	}
	return errors.WithStack(err)
}

// Aborted returns how many requests were without a whole answer when Finish closed the connections that were left.
func (server *Server) Aborted() int64 {
	return server.aborted.Load()
}

// ClosedUnused returns how many connections the stop closed before their first request was read; their callers were told
// so.
func (server *Server) ClosedUnused() int64 {
	return server.closedUnused.Load()
}

// closeIdle closes the connections that are idle or have had no request for firstRequestTimeout, and returns the number of
// the others.
func (server *Server) closeIdle(now time.Time) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.addRunTime(now)
	for conn, open := range server.conns {
		stopIfIdle := func() bool { return conn.stopIfIdle(open.readBytes) }
		switch {
		case open.state == http.StateIdle && stopIfIdle():
			_ = conn.Close()
			delete(server.conns, conn)
		case open.state == http.StateNew && server.runTime-open.since >= firstRequestTimeout:
			server.closeUnused(conn, stopIfIdle)
		}
	}
	return len(server.conns)
}

// addRunTime adds the time that the process has run since the last check. Server.mutex must be held.
func (server *Server) addRunTime(now time.Time) {
	if !server.lastCheck.IsZero() {
		server.runTime += min(now.Sub(server.lastCheck), checkInterval)
	}
	server.lastCheck = now
}

// closeUnread closes the connections of which nothing was read, even if something has arrived on them.
func (server *Server) closeUnread() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn, open := range server.conns {
		if open.state == http.StateNew {
			server.closeUnused(conn, conn.reader.StopUnlessReceived)
		}
	}
}

// closeUnused closes an unused connection if stopReading reports that nothing on it will be read. Server.mutex must be
// held.
func (server *Server) closeUnused(conn *conn, stopReading func() bool) {
	if conn.closeNotRead(stopReading) {
		delete(server.conns, conn)
		server.closedUnused.Add(1)
	}
}
