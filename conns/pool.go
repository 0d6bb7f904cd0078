package conns

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrConnLimit means that the upstream's share of connections is used up.
	ErrConnLimit = errors.New("no connection is free")
	// ErrConnect means that no connection could be made.
	ErrConnect = errors.New("the upstream cannot be reached")
	// ErrRefused is an ErrConnect that means that no process listens at the upstream's address.
	ErrRefused = errors.WithMessage(ErrConnect, "nobody listens there")
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultLimit       = 16
	// lossWindow is how long connections are reused sooner, or not at all, after one that had rested was lost.
	// Each host then loses one request in that time, not one at each upstream that forgets connections.
	lossWindow = 10 * time.Second
	// justUsedWithin is the rest below which a connection counts as just used; upstreams keep idle ones for
	// hundreds of milliseconds at the least.
	justUsedWithin = 50 * time.Millisecond
	// freshLossWeight is how many losses after a rest one loss without a rest explains.
	freshLossWeight = 2
)

// Pool keeps connections to upstreams, up to a limit for each.
type Pool struct {
	dialTimeout         time.Duration
	idleTimeout         time.Duration
	userTimeout         time.Duration
	allowCloseDelimited bool
	mutex               sync.Mutex
	addresses           map[string]*addressPool
	// idleLosses and lostFresh count connections that were lost since the last time that none was for
	// doubtFor; doubt bounds how long others may rest.
	idleLosses     int
	freshLosses    int
	lastLoss       time.Time
	reducedMaxIdle time.Duration
}

type addressPool struct {
	limit int
	open  int
	idle  []*conn
}

// Option changes a Pool under construction.
type Option func(*Pool)

// WithDialTimeout sets the time that connecting may take.
func WithDialTimeout(timeout time.Duration) Option {
	return func(pool *Pool) {
		pool.dialTimeout = timeout
	}
}

// WithIdleTimeout sets the time after which an unused connection is closed.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(pool *Pool) {
		pool.idleTimeout = timeout
	}
}

// WithUserTimeout sets how long sent bytes may stay unacknowledged before a connection is
// given up; without it a request on a connection gone silent hangs until its deadline.
func WithUserTimeout(timeout time.Duration) Option {
	return func(pool *Pool) {
		pool.userTimeout = timeout
	}
}

// WithCloseDelimited takes answers that say no length and end with an orderly close of their connection.
func WithCloseDelimited() Option {
	return func(pool *Pool) {
		pool.allowCloseDelimited = true
	}
}

// NewPool returns an empty pool.
func NewPool(options ...Option) *Pool {
	pool := &Pool{dialTimeout: defaultDialTimeout, idleTimeout: defaultIdleTimeout, addresses: map[string]*addressPool{}}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// SetLimit sets how many connections there may be to an address.
func (pool *Pool) SetLimit(name string, limit int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.addressPool(name).limit = max(1, limit)
}

// OpenConns returns how many connections there are to an address.
func (pool *Pool) OpenConns(name string) int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.addressPool(name).open
}

func (pool *Pool) addressPool(name string) *addressPool {
	found, exists := pool.addresses[name]
	if !exists {
		found = &addressPool{limit: defaultLimit}
		pool.addresses[name] = found
	}
	return found
}

// recordLoss notes that a connection ended with its request, after a rest or, with 0, a new or just used one. Those
// that rested for half as long are in doubt then, unless connections that have not rested are lost about as
// often: that is the upstreams' trouble, and new connections only add to it.
func (pool *Pool) recordLoss(rested time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	if now.After(pool.lastLoss.Add(lossWindow)) {
		pool.idleLosses, pool.freshLosses, pool.reducedMaxIdle = 0, 0, 0
	}
	pool.lastLoss = now
	if rested < justUsedWithin {
		pool.freshLosses++
		return
	}
	pool.idleLosses++
	if pool.reducedMaxIdle == 0 || rested/2 < pool.reducedMaxIdle {
		pool.reducedMaxIdle = rested / 2
	}
}

// allowedIdle returns how long a connection may have rested.
func (pool *Pool) allowedIdle(maxIdle time.Duration) time.Duration {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if time.Now().After(pool.lastLoss.Add(lossWindow)) || pool.idleLosses <= freshLossWeight*pool.freshLosses {
		return maxIdle
	}
	return min(maxIdle, pool.reducedMaxIdle)
}

// acquire returns an idle connection that still stands and meets the care, or makes a new one.
func (pool *Pool) acquire(ctx context.Context, name string, care SendOptions) (*conn, error) {
	maxIdle := pool.allowedIdle(care.MaxIdle)
	for {
		idle, err := pool.reserve(name)
		if err != nil {
			return nil, err
		}
		if idle == nil {
			return pool.dial(ctx, name, care.ResetWait)
		}
		if time.Since(idle.idleSince) < min(maxIdle, idle.idleLimit) && idle.isOpenAndQuiet() {
			return idle, nil
		}
		pool.discard(idle)
	}
}

// reserve returns an idle connection, or nil with room for a new one counted.
func (pool *Pool) reserve(name string) (*conn, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	address := pool.addressPool(name)
	if last := len(address.idle) - 1; last >= 0 {
		conn := address.idle[last]
		address.idle = address.idle[:last]
		return conn, nil
	}
	if address.open >= address.limit {
		return nil, errors.WithStack(ErrConnLimit)
	}
	address.open++
	return nil, nil
}

func (pool *Pool) dial(ctx context.Context, name string, watch time.Duration) (*conn, error) {
	dialer := NewDialer(pool.dialTimeout, pool.userTimeout)
	socket, err := dialer.DialContext(ctx, "tcp", name)
	if err != nil {
		pool.countClosed(name)
		return nil, errors.Wrap(connectError(err), err.Error())
	}
	conn := newConn(name, socket)
	conn.idleLimit = pool.idleTimeout
	if watch > 0 && !conn.staysOpen(watch) {
		pool.discard(conn)
		return nil, errors.Wrap(ErrConnect, "the upstream ended the connection at once")
	}
	return conn, nil
}

func (pool *Pool) countClosed(name string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.addressPool(name).open--
}

func (pool *Pool) discard(conn *conn) {
	_ = conn.socket.Close()
	pool.countClosed(conn.address)
}

func (pool *Pool) release(conn *conn) {
	conn.idleSince = time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	address := pool.addressPool(conn.address)
	if address.open > address.limit {
		address.open--
		_ = conn.socket.Close()
		return
	}
	address.idle = append(address.idle, conn)
}

// CloseIdle closes the idle connections to an address, whose process has ended: what would be sent on them next is
// reset, and may have run for all that this host can tell.
func (pool *Pool) CloseIdle(name string) {
	pool.mutex.Lock()
	address := pool.addressPool(name)
	idle := address.idle
	address.idle = nil
	pool.mutex.Unlock()
	for _, conn := range idle {
		pool.discard(conn)
	}
}

// CloseExpired closes connections that have been idle for too long.
func (pool *Pool) CloseExpired() {
	for _, conn := range pool.removeExpired() {
		pool.discard(conn)
	}
}

func (pool *Pool) removeExpired() []*conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var old []*conn
	for _, address := range pool.addresses {
		var kept []*conn
		for _, conn := range address.idle {
			if time.Since(conn.idleSince) < pool.idleTimeout {
				kept = append(kept, conn)
				continue
			}
			old = append(old, conn)
		}
		address.idle = kept
	}
	return old
}
