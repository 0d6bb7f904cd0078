package fault

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// inUseTimeout is the time for which listening on an address that is in use is tried again. A child process has a
	// copy of each open socket from its fork until it executes its program, so the address of a closed listener can stay
	// in use for that time, which is long on a busy machine.
	inUseTimeout = 10 * time.Second
	// inUseRetryInterval is the pause between two attempts to listen.
	inUseRetryInterval = 5 * time.Millisecond
)

// Rules are the faults of a proxy's connections; the zero value forwards everything unchanged. "Up" is the direction to
// the target, "down" the direction from it.
type Rules struct {
	// Refuse resets new connections at once.
	Refuse bool
	// StallUp holds back the bytes to the target until the rules change.
	StallUp bool
	// StallDown holds back the bytes from the target until the rules change.
	StallDown bool
	// CutUpAfter resets a connection after this number of bytes to the target; 0 never resets.
	CutUpAfter int
	// CutDownAfter resets a connection after this number of bytes from the target; 0 never resets.
	CutDownAfter int
	// Delay is the time before each piece is written, in both directions.
	Delay time.Duration
	// Chunk is the largest size of a piece, in bytes; 0 forwards bytes in the pieces in which they are read.
	Chunk int
}

// Proxy forwards TCP connections to a target according to its rules.
type Proxy struct {
	target   string
	listener net.Listener
	mutex    sync.Mutex
	rules    Rules
	// changed is closed and replaced when the rules change.
	changed chan struct{}
	// conns has the open connections to callers and to the target.
	conns map[net.Conn]bool
}

// Listen starts a proxy to a target, on an unused loopback port.
func Listen(target string) (*Proxy, error) {
	return ListenAt("127.0.0.1:0", target)
}

// ListenAt starts a proxy to a target, on a given address. While the address is in use, it waits up to 10 s for it.
func ListenAt(address, target string) (*Proxy, error) {
	listener, err := listenWhenFree(address)
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{target: target, listener: listener, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go proxy.accept()
	return proxy, nil
}

// listenWhenFree listens on an address, and tries again while the address is in use.
func listenWhenFree(address string) (net.Listener, error) {
	until := time.Now().Add(inUseTimeout)
	for {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return listener, err
		}
		time.Sleep(inUseRetryInterval)
	}
}

// Address returns the address on which the proxy listens.
func (proxy *Proxy) Address() string {
	return proxy.listener.Addr().String()
}

// SetTarget replaces the target of new connections; open connections keep theirs.
func (proxy *Proxy) SetTarget(target string) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.target = target
}

// Set replaces the rules, also for open connections.
func (proxy *Proxy) Set(rules Rules) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.rules = rules
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// Reset resets all open connections.
func (proxy *Proxy) Reset() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for conn := range proxy.conns {
		reset(conn)
	}
}

// Close stops listening and resets all open connections.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close()
	proxy.Reset()
}

// reset closes a connection and discards unsent bytes, so that the peer gets a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// current returns the rules, the channel that is closed when they change, and the target.
func (proxy *Proxy) current() (Rules, chan struct{}, string) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.rules, proxy.changed, proxy.target
}

// accept serves new connections until the listener is closed.
func (proxy *Proxy) accept() {
	for {
		caller, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(caller)
	}
}

// serve connects a caller to the target and forwards bytes until both directions have ended.
func (proxy *Proxy) serve(caller net.Conn) {
	rules, _, target := proxy.current()
	if rules.Refuse {
		reset(caller)
		return
	}
	callee, err := net.Dial("tcp", target)
	if err != nil {
		reset(caller)
		return
	}
	proxy.track(caller, true)
	proxy.track(callee, true)
	var directions sync.WaitGroup
	directions.Go(func() { proxy.copy(callee, caller, true) })
	directions.Go(func() { proxy.copy(caller, callee, false) })
	directions.Wait()
	_ = caller.Close()
	_ = callee.Close()
}

// track adds an open connection to conns, or removes one that has ended.
func (proxy *Proxy) track(conn net.Conn, open bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if open {
		proxy.conns[conn] = true
		return
	}
	delete(proxy.conns, conn)
}

// copy forwards bytes in one direction until the sender ends its side. An error or a cut resets connections.
func (proxy *Proxy) copy(to, from net.Conn, up bool) {
	defer proxy.track(from, false)
	buffer := make([]byte, 32<<10)
	passed := 0
	for {
		count, err := from.Read(buffer)
		if count > 0 && !proxy.forward(to, buffer[:count], up, &passed) {
			reset(from)
			reset(to)
			return
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// forward writes data according to the rules and adds the number of bytes to passed. It returns false if the connection
// must be reset: it has reached its cut, or the write failed.
func (proxy *Proxy) forward(to net.Conn, data []byte, up bool, passed *int) bool {
	for len(data) > 0 {
		rules := proxy.awaitUnstalled(up)
		time.Sleep(rules.Delay)
		piece := data
		if rules.Chunk > 0 {
			piece = data[:min(rules.Chunk, len(data))]
		}
		cut := rules.CutDownAfter
		if up {
			cut = rules.CutUpAfter
		}
		if cut > 0 && *passed+len(piece) >= cut {
			_, _ = to.Write(piece[:max(0, cut-*passed)])
			return false
		}
		if _, err := to.Write(piece); err != nil {
			return false
		}
		*passed += len(piece)
		data = data[len(piece):]
	}
	return true
}

// awaitUnstalled waits until the rules do not stall the direction, and returns them.
func (proxy *Proxy) awaitUnstalled(up bool) Rules {
	for {
		rules, changed, _ := proxy.current()
		if up && !rules.StallUp || !up && !rules.StallDown {
			return rules
		}
		<-changed
	}
}
