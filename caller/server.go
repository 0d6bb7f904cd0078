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
	"cherrykeel/memory"
)

const (
	// defaultBodyMemory bounds the request bodies in memory, in bytes, if WithBodyMemoryLimit sets no other limit.
	defaultBodyMemory = 64 << 20
	// memoryRetryAfter is the Retry-After value, in seconds, for a request refused for lack of body memory: about the
	// time in which the bodies in memory are forwarded.
	memoryRetryAfter = "0.3"
	// evictedShare is the share of the connections' limit that is closed at once if idle ones have to make room: to look
	// for them at each accept would make accepting slow just then.
	evictedShare = 1.0 / 16
	// evictInterval bounds how often idle connections are looked for, and minEvictedIdle is how long one must have been
	// idle: the request of a new one is on its way.
	evictInterval  = 100 * time.Millisecond
	minEvictedIdle = 500 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept, for example when the process has run out of descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// defaultLimits apply until the operator's limits are known; they are the widest that operators use.
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
	memory  *memory.Limit
	logger  *zap.Logger
	// connLimit is the number of connections beyond which idle ones are closed; 0 means none.
	connLimit int
	// evictedAt is when idle connections were last looked for; only Serve's goroutine uses it.
	evictedAt time.Time

	stopping atomic.Bool
	mutex    sync.Mutex
	conns    map[*conn]bool
}

// Option changes a Server under construction.
type Option func(*Server)

// WithLimits sets the function that returns the limits in force; it is called for each request and idle check.
func WithLimits(limits func() cherrykeel.CallerLimits) Option {
	return func(server *Server) {
		server.limits = limits
	}
}

// WithBodyMemoryLimit bounds the request bodies in memory, in bytes.
func WithBodyMemoryLimit(limit int64) Option {
	return func(server *Server) {
		server.memory = memory.NewLimit(limit)
	}
}

// WithConnLimit sets the number of connections beyond which those that have been idle for longest are closed. Without it a
// host whose callers open ever more connections runs out of descriptors, and accepts nothing while it says that it is ready.
func WithConnLimit(limit int) Option {
	return func(server *Server) {
		server.connLimit = limit
	}
}

// WithLogger sets the logger for refused requests, panics and failures to accept.
func WithLogger(logger *zap.Logger) Option {
	return func(server *Server) {
		server.logger = logger
	}
}

// New returns a server that passes each request to the handler once its whole body has been read.
func New(handler http.Handler, options ...Option) *Server {
	server := &Server{
		handler: handler,
		limits:  func() cherrykeel.CallerLimits { return defaultLimits },
		memory:  memory.NewLimit(defaultBodyMemory),
		logger:  zap.NewNop(),
		conns:   map[*conn]bool{},
	}
	for _, option := range options {
		option(server)
	}
	return server
}

// Serve accepts connections until the listener is closed.
func (server *Server) Serve(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err == nil {
			// Counted before its goroutine starts: a stopping host waits until OpenConns returns 0, and would
			// otherwise exit before the connection is served.
			go server.serve(server.addConn(socket))
			server.evictIdle()
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

// DisableKeepAlives makes each connection close after the last answer that it owes. Until then a connection without such
// an answer accepts one more request.
func (server *Server) DisableKeepAlives() {
	server.stopping.Store(true)
}

// CloseIdle closes the connections that have no request in progress and nothing left to read. It does not hold
// Server.mutex while it closes them: thousands of closes on a slow processor would block OpenConns and new connections,
// and so delay the host's stop.
func (server *Server) CloseIdle() {
	for _, conn := range server.openConns() {
		conn.closeIfIdle()
	}
}

// evictIdle closes the connections that have been idle for longest if there are more than the limit allows.
func (server *Server) evictIdle() {
	now := time.Now()
	if server.connLimit <= 0 || server.OpenConns() <= server.connLimit || now.Sub(server.evictedAt) < evictInterval {
		return
	}
	server.evictedAt = now
	idleSince := map[*conn]time.Time{}
	for _, conn := range server.openConns() {
		since := conn.idleStart()
		if now.Sub(since) >= minEvictedIdle {
			idleSince[conn] = since
		}
	}
	oldest := slices.SortedFunc(maps.Keys(idleSince), func(a, b *conn) int { return idleSince[a].Compare(idleSince[b]) })
	most := max(1, int(evictedShare*float64(server.connLimit)))
	closed := 0
	for _, conn := range oldest {
		if closed < most && conn.closeIfIdle() {
			closed++
		}
	}
	events.Log(server.logger, events.IdleConnsClosed, zap.Int("Open", server.OpenConns()), zap.Int("Limit", server.connLimit), zap.Int("Idle", len(oldest)), zap.Int("Closed", closed))
}

func (server *Server) openConns() []*conn {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return slices.Collect(maps.Keys(server.conns))
}

// OpenConns returns the number of open connections.
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

// DefaultLimits returns the limits that apply until the operator's limits are known.
func DefaultLimits() cherrykeel.CallerLimits {
	return defaultLimits
}
