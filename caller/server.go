package caller

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

const (
	// defaultBodyMemory bounds held bodies when no setting does.
	defaultBodyMemory = 64 << 20
	// memoryRetryAfter, in seconds, is about how long the bodies held take to be sent on.
	memoryRetryAfter = "0.3"
	// acceptRetryDelay is waited when no connection can be taken, as when descriptors have run out.
	acceptRetryDelay = 20 * time.Millisecond
)

// defaultLimits hold until the operator's are known; they are the widest that operators use.
var defaultLimits = cherrykeel.CallerLimits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// Server serves callers' connections.
type Server struct {
	handler http.Handler
	limits  func() cherrykeel.CallerLimits
	memory  *bodyMemory
	logger  *zap.Logger

	stopping atomic.Bool
	mutex    sync.Mutex
	conns    map[*conn]bool
}

// Option changes a Server under construction.
type Option func(*Server)

// WithLimits sets where the limits in force are read, before each request.
func WithLimits(limits func() cherrykeel.CallerLimits) Option {
	return func(server *Server) {
		server.limits = limits
	}
}

// WithBodyMemoryLimit bounds the bytes of bodies held at once.
func WithBodyMemoryLimit(limit int64) Option {
	return func(server *Server) {
		server.memory.limit = limit
	}
}

// WithLogger sets where refused requests are logged.
func WithLogger(logger *zap.Logger) Option {
	return func(server *Server) {
		server.logger = logger
	}
}

// New returns a server that hands whole requests to the handler.
func New(handler http.Handler, options ...Option) *Server {
	server := &Server{
		handler: handler,
		limits:  func() cherrykeel.CallerLimits { return defaultLimits },
		memory:  &bodyMemory{limit: defaultBodyMemory},
		logger:  zap.NewNop(),
		conns:   map[*conn]bool{},
	}
	for _, option := range options {
		option(server)
	}
	return server
}

// Serve takes connections until the listener is closed.
func (server *Server) Serve(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err == nil {
			// Counted before its goroutine runs, so that a stopping host does not end meanwhile.
			go server.serve(server.addConn(socket))
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		events.Log(server.logger, events.AcceptFailed, zap.Error(err))
		time.Sleep(acceptRetryDelay)
	}
}

func (server *Server) addConn(socket net.Conn) *conn {
	conn := newConn(server, socket)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.conns[conn] = true
	return conn
}

func (server *Server) serve(conn *conn) {
	conn.serve()
	server.mutex.Lock()
	delete(server.conns, conn)
	server.mutex.Unlock()
}

// DisableKeepAlives lets each connection end with its next answer; requests go on being taken until then.
func (server *Server) DisableKeepAlives() {
	server.stopping.Store(true)
}

// CloseIdle ends the connections on which nothing is read, waits or runs. Meanwhile others can be counted and taken:
// thousands of closes on a slow processor would else hold up the stop.
func (server *Server) CloseIdle() {
	for _, conn := range server.openConns() {
		conn.closeIfIdle()
	}
}

func (server *Server) openConns() []*conn {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return slices.Collect(maps.Keys(server.conns))
}

// OpenConns returns how many connections there are.
func (server *Server) OpenConns() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.conns)
}

func (server *Server) isStopping() bool {
	return server.stopping.Load()
}

func (server *Server) logRefused(conn *conn, err error, status int) {
	events.Log(server.logger, events.RequestRefusedEarly,
		zap.String("Caller", conn.socket.RemoteAddr().String()),
		zap.Int("Status", status),
		zap.Error(err))
}

// DefaultLimits returns the limits that hold until the operator's are known.
func DefaultLimits() cherrykeel.CallerLimits {
	return defaultLimits
}
