package conns

import (
	"context"
	"time"
)

const (
	// quietTime is how long nothing may arrive on any direct connection, while an answer is awaited on one, before that
	// one's link is checked. A link that works brings answers from some upstream meanwhile.
	quietTime = 120 * time.Millisecond
	// mistrustTime is how long after a link was found silent other idle connections are not trusted unless something has
	// arrived since. By then their links have been found silent as well, or work.
	mistrustTime = time.Second
	// openAheadInterval bounds the checks of one address.
	openAheadInterval = time.Second
)

// watchForAnswer checks the link to a used connection's address once its answer is late. The returned function ends
// that.
//
// A silent link shows nothing: a request on an open connection would wait until the system gives the connection up, and
// meanwhile further requests would be sent the same way.
func (pool *Pool) watchForAnswer(conn *conn, options SendOptions) (stop func()) {
	if options.AnswerWithin == 0 || conn.idleSince.IsZero() || conn.via() != "" {
		return func() {}
	}
	sentAt := time.Now()
	quiet := time.AfterFunc(quietTime, func() {
		if pool.lastArrival().Before(sentAt) {
			pool.openAhead(conn.address)
		}
	})
	late := time.AfterFunc(max(quietTime, options.AnswerWithin), func() { pool.openAhead(conn.address) })
	return func() {
		quiet.Stop()
		late.Stop()
	}
}

func (pool *Pool) recordArrival(conn *conn) {
	if conn.via() != "" {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.arrivedAt = time.Now()
}

func (pool *Pool) lastArrival() time.Time {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.arrivedAt
}

// openAhead opens a connection that the next request will use, unless one was opened ahead a moment ago or the address
// has as many as it may have. How it is opened shows whether the link works.
func (pool *Pool) openAhead(address string) {
	if !pool.reserveAhead(address) {
		return
	}
	conn, err := pool.dial(context.Background(), address, 0)
	pool.mutex.Lock()
	pool.addressPool(address).opensAhead = false
	pool.mutex.Unlock()
	if err == nil {
		pool.release(conn)
	}
}

// reserveAhead counts a connection that is opened ahead, if it may be.
func (pool *Pool) reserveAhead(address string) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pooled := pool.addressPool(address)
	now := time.Now()
	if pooled.opensAhead || pooled.open >= pooled.limit || now.Sub(pooled.openedAheadAt) < openAheadInterval {
		return false
	}
	pooled.opensAhead = true
	pooled.openedAheadAt = now
	pooled.open++
	return true
}

// isTrusted reports whether an idle connection is used without a doubt. All links of a host may become silent at one moment,
// and each would lose a request before it is found silent itself.
func (pool *Pool) isTrusted(conn *conn) bool {
	if conn.via() != "" {
		return true
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	silent := time.Since(pool.silentSince) < mistrustTime && pool.arrivedAt.Before(pool.silentSince)
	return !silent || conn.idleSince.After(pool.silentSince)
}

// BreakSilent ends what waits on direct connections to an address whose link is silent: idle connections are closed, and
// repeatable requests fail now, not when the system gives their connections up. Other requests go on, since their outcome
// would be unknown and the link may only be slow.
func (pool *Pool) BreakSilent(address string) {
	pool.mutex.Lock()
	pool.silentSince = time.Now()
	pooled := pool.addressPool(address)
	var idle, kept []*conn
	for _, conn := range pooled.idle {
		if conn.via() != "" {
			kept = append(kept, conn)
			continue
		}
		idle = append(idle, conn)
	}
	pooled.idle = kept
	for conn, repeatable := range pooled.used {
		if repeatable && conn.via() == "" {
			conn.broken = true
			_ = conn.socket.SetDeadline(pastTime)
		}
	}
	pool.mutex.Unlock()
	for _, conn := range idle {
		pool.discard(conn)
	}
}

// isBroken reports whether the pool itself broke a connection off.
func (pool *Pool) isBroken(conn *conn) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return conn.broken
}
