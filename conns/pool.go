package conns

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrConnLimit means that all connections that the limit of the address allows are in use.
	ErrConnLimit = errors.New("no connection is free")
	// ErrConnect means that no connection could be established.
	ErrConnect = errors.New("the upstream cannot be reached")
	// ErrRefused is an ErrConnect that means that no process listens on the upstream's address.
	ErrRefused = errors.WithMessage(ErrConnect, "no process listens on its address")
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultLimit       = 16
	// lossWindow is for how long, after the loss of a connection that had been idle, others are reused only if they have
	// been idle for less time. Each host then loses one request in that time, instead of one at each upstream that drops
	// idle connections.
	lossWindow = 10 * time.Second
	// justUsedWithin is the idle time below which a connection counts as just used; upstreams keep idle connections for
	// hundreds of milliseconds at least.
	justUsedWithin = 50 * time.Millisecond
	// freshLossWeight is the number of losses after idle time that one loss without idle time offsets.
	freshLossWeight = 2
)

// Pool keeps connections to upstreams, up to a limit for each.
type Pool struct {
	dialTimeout         time.Duration
	idleTimeout         time.Duration
	userTimeout         time.Duration
	dialFunc            DialFunc
	onClosed            func(address string)
	allowCloseDelimited bool
	lastSerial          atomic.Int64
	mutex               sync.Mutex
	addresses           map[string]*addressPool
	// idleLosses and freshLosses count the connections lost under a request, after idle time and without it. Both start
	// again after lossWindow without a loss. reducedMaxIdle is the idle time allowed after a loss.
	idleLosses     int
	freshLosses    int
	lastLoss       time.Time
	reducedMaxIdle time.Duration
	// arrivedAt is when the head of an answer last arrived on a direct connection.
	arrivedAt time.Time
	// silentSince is when a link was last found silent.
	silentSince time.Time
}

// addressPool holds the connections to one address.
type addressPool struct {
	limit int
	open  int
	idle  []*conn
	// used are the connections that carry a request, and whether it is repeatable.
	used map[*conn]bool
	// opensAhead is set while a connection is opened that no request needs yet, and openedAheadAt when the last one was.
	opensAhead    bool
	openedAheadAt time.Time
}

// Option changes a Pool under construction.
type Option func(*Pool)

// WithDialTimeout bounds the time to establish a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(pool *Pool) {
		pool.dialTimeout = timeout
	}
}

// WithIdleTimeout sets the time after which an idle connection is closed.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(pool *Pool) {
		pool.idleTimeout = timeout
	}
}

// WithUserTimeout sets how long sent bytes may stay unacknowledged before a connection fails. Without it, a request on a
// connection whose peer has become unreachable waits until the request's deadline.
func WithUserTimeout(timeout time.Duration) Option {
	return func(pool *Pool) {
		pool.userTimeout = timeout
	}
}

// WithDial sets how connections are opened, in place of a dialer with the pool's timeouts.
func WithDial(dial DialFunc) Option {
	return func(pool *Pool) {
		pool.dialFunc = dial
	}
}

// WithOnClosed sets a function that is called with the address of an upstream that has closed a direct connection under a
// request, as a process does that ends.
func WithOnClosed(onClosed func(address string)) Option {
	return func(pool *Pool) {
		pool.onClosed = onClosed
	}
}

// WithCloseDelimited accepts answers that have no length and end with an orderly close of their connection.
func WithCloseDelimited() Option {
	return func(pool *Pool) {
		pool.allowCloseDelimited = true
	}
}

// NewPool returns an empty pool.
func NewPool(options ...Option) *Pool {
	pool := &Pool{dialTimeout: defaultDialTimeout, idleTimeout: defaultIdleTimeout, addresses: map[string]*addressPool{}, onClosed: func(string) {}}
	for _, option := range options {
		option(pool)
	}
	if pool.dialFunc == nil {
		pool.dialFunc = NewDialer(pool.dialTimeout, pool.userTimeout).DialContext
	}
	return pool
}

// SetLimit sets the maximum number of connections to an address, which is at least 1.
func (pool *Pool) SetLimit(address string, limit int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.addressPool(address).limit = max(1, limit)
}

// OpenConns returns the number of connections to an address, idle or in use.
func (pool *Pool) OpenConns(address string) int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.addressPool(address).open
}

func (pool *Pool) addressPool(address string) *addressPool {
	found, exists := pool.addresses[address]
	if !exists {
		found = &addressPool{limit: defaultLimit, used: map[*conn]bool{}}
		pool.addresses[address] = found
	}
	return found
}

// recordLoss records that a connection failed under its request after it had been idle for a time, which is 0 for a new
// connection. Other connections are then reused only within half that time, unless connections that were not idle are
// lost about as often: the cause is then a failure of the upstreams, and new connections would only add load to them.
func (pool *Pool) recordLoss(idle time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	if now.After(pool.lastLoss.Add(lossWindow)) {
		pool.idleLosses, pool.freshLosses, pool.reducedMaxIdle = 0, 0, 0
	}
	pool.lastLoss = now
	if idle < justUsedWithin {
		pool.freshLosses++
		return
	}
	pool.idleLosses++
	if pool.reducedMaxIdle == 0 || idle/2 < pool.reducedMaxIdle {
		pool.reducedMaxIdle = idle / 2
	}
}

// ForgetLosses makes the pool reuse connections as before the losses that it has seen, since they have another cause
// than upstreams that drop idle connections.
func (pool *Pool) ForgetLosses() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.idleLosses, pool.freshLosses, pool.reducedMaxIdle = 0, 0, 0
}

// allowedIdle returns how long a connection may have been idle before it is reused.
func (pool *Pool) allowedIdle(maxIdle time.Duration) time.Duration {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if time.Now().After(pool.lastLoss.Add(lossWindow)) || pool.idleLosses <= freshLossWeight*pool.freshLosses {
		return maxIdle
	}
	return min(maxIdle, pool.reducedMaxIdle)
}

// acquire returns an idle connection that is still open and meets the options, or establishes a new one.
func (pool *Pool) acquire(ctx context.Context, address string, options SendOptions) (*conn, error) {
	maxIdle := pool.allowedIdle(options.MaxIdle)
	for {
		idle, replaced, err := pool.reserve(address, options)
		if err != nil {
			return nil, err
		}
		if replaced != nil {
			_ = replaced.socket.Close()
		}
		if idle == nil {
			return pool.dialForUse(ctx, address, options)
		}
		if time.Since(idle.idleSince) < min(maxIdle, idle.idleLimit) && !idle.isStale() && pool.isTrusted(idle) && idle.isOpenAndQuiet() {
			return idle, nil
		}
		pool.discard(idle)
	}
}

// reserve returns an idle connection that has not carried the request, or nil after counting a new one that the caller must
// establish. If the limit allows no further one, the new one takes the place of an idle one, which the caller must close.
func (pool *Pool) reserve(address string, options SendOptions) (idle, replaced *conn, err error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pooled := pool.addressPool(address)
	for i := len(pooled.idle) - 1; i >= 0; i-- {
		conn := pooled.idle[i]
		if conn.carried.has(options.ID) {
			continue
		}
		pooled.idle = slices.Delete(pooled.idle, i, i+1)
		pooled.used[conn] = options.Repeatable
		return conn, nil, nil
	}
	if pooled.open < pooled.limit {
		pooled.open++
		return nil, nil, nil
	}
	if len(pooled.idle) == 0 {
		return nil, nil, errors.WithStack(ErrConnLimit)
	}
	oldest := pooled.idle[0]
	pooled.idle = slices.Delete(pooled.idle, 0, 1)
	return nil, oldest, nil
}

// dialForUse is dial for a connection that carries a request at once.
func (pool *Pool) dialForUse(ctx context.Context, address string, options SendOptions) (*conn, error) {
	conn, err := pool.dial(ctx, address, options.ResetWait)
	if err != nil {
		return nil, err
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.addressPool(address).used[conn] = options.Repeatable
	return conn, nil
}

// dial establishes a connection that reserve has counted; with a wait above 0, it must stay open for that long, and for
// twice as long if it goes through another host, since what the upstream does is seen later.
func (pool *Pool) dial(ctx context.Context, address string, wait time.Duration) (*conn, error) {
	socket, err := pool.dialFunc(ctx, "tcp", address)
	if err != nil {
		pool.countClosed(address)
		return nil, errors.Wrap(connectError(err), err.Error())
	}
	conn := newConn(address, socket)
	conn.serial = pool.lastSerial.Add(1)
	conn.idleLimit = pool.idleTimeout
	if conn.via() != "" {
		wait *= 2
	}
	if wait > 0 && !conn.staysOpen(wait) {
		pool.discard(conn)
		return nil, errors.Wrap(ErrConnect, "the upstream closed the new connection")
	}
	return conn, nil
}

func (pool *Pool) countClosed(address string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.addressPool(address).open--
}

func (pool *Pool) discard(conn *conn) {
	_ = conn.socket.Close()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pooled := pool.addressPool(conn.address)
	pooled.open--
	delete(pooled.used, conn)
}

// release makes a connection available to other requests, or closes it if its address has more than its limit allows.
func (pool *Pool) release(conn *conn) {
	conn.idleSince = time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pooled := pool.addressPool(conn.address)
	delete(pooled.used, conn)
	if pooled.open > pooled.limit || conn.broken {
		pooled.open--
		_ = conn.socket.Close()
		return
	}
	pooled.idle = append(pooled.idle, conn)
}

// CloseIdle closes the idle connections to an address whose process has ended. A request sent on one of them would be
// reset, and this host could not tell whether it had run.
func (pool *Pool) CloseIdle(address string) {
	pool.mutex.Lock()
	pooled := pool.addressPool(address)
	idle := pooled.idle
	pooled.idle = nil
	pool.mutex.Unlock()
	for _, conn := range idle {
		pool.discard(conn)
	}
}

// CloseExpired closes the connections that have been idle for longer than the idle timeout, and those that go another
// way than new ones do.
func (pool *Pool) CloseExpired() {
	for _, conn := range pool.removeExpired() {
		pool.discard(conn)
	}
}

func (pool *Pool) removeExpired() []*conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var expired []*conn
	for _, pooled := range pool.addresses {
		var kept []*conn
		for _, conn := range pooled.idle {
			if time.Since(conn.idleSince) < pool.idleTimeout && !conn.isStale() {
				kept = append(kept, conn)
				continue
			}
			expired = append(expired, conn)
		}
		pooled.idle = kept
	}
	return expired
}
