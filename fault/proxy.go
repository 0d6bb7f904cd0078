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
	// inUseTimeout is for how long an address that is in use is tried again. A process that this one starts has a copy
	// of each open socket until it runs its own program, and on a busy machine that takes a while; only then is the
	// address of a listener that was closed meanwhile free.
	inUseTimeout       = 10 * time.Second
	inUseRetryInterval = 5 * time.Millisecond
)

// Rules say what happens to connections; the zero value passes everything on.
type Rules struct {
	// Refuse closes new connections at once.
	Refuse bool
	// StallUp and StallDown hold back what goes to, or comes from, the target.
	StallUp   bool
	StallDown bool
	// CutUpAfter and CutDownAfter reset a connection once so many bytes have passed; 0 never does.
	CutUpAfter   int
	CutDownAfter int
	Delay        time.Duration
	// Chunk passes bytes on in pieces of this size, each after Delay; 0 passes them on as they come.
	Chunk int
}

// Proxy passes TCP connections on to a target.
type Proxy struct {
	target   string
	listener net.Listener
	mutex    sync.Mutex
	rules    Rules
	changed  chan struct{}
	conns    map[net.Conn]bool
}

// Listen returns a proxy to a target, on an address of its own.
func Listen(target string) (*Proxy, error) {
	return ListenAt("127.0.0.1:0", target)
}

// ListenAt returns a proxy to a target, on a given address; it waits for an address that is still in use.
func ListenAt(address, target string) (*Proxy, error) {
	listener, err := listenWhenFree(address)
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{target: target, listener: listener, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go proxy.accept()
	return proxy, nil
}

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

// Address returns where the proxy listens.
func (proxy *Proxy) Address() string {
	return proxy.listener.Addr().String()
}

// SetTarget changes where new connections go.
func (proxy *Proxy) SetTarget(target string) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.target = target
}

// Set replaces the rules, for standing connections too.
func (proxy *Proxy) Set(rules Rules) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.rules = rules
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// Reset breaks all standing connections.
func (proxy *Proxy) Reset() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for conn := range proxy.conns {
		reset(conn)
	}
}

// Close stops the proxy.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close()
	proxy.Reset()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (proxy *Proxy) current() (Rules, chan struct{}, string) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.rules, proxy.changed, proxy.target
}

func (proxy *Proxy) accept() {
	for {
		caller, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(caller)
	}
}

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
	var both sync.WaitGroup
	both.Go(func() { proxy.copy(callee, caller, true) })
	both.Go(func() { proxy.copy(caller, callee, false) })
	both.Wait()
	_ = caller.Close()
	_ = callee.Close()
}

func (proxy *Proxy) track(conn net.Conn, open bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if open {
		proxy.conns[conn] = true
		return
	}
	delete(proxy.conns, conn)
}

// copy passes bytes on in one direction until one side ends.
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

// forward writes data by the rules; it reports false when the connection is to be reset.
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

// awaitUnstalled returns the rules once they let bytes pass in a direction.
func (proxy *Proxy) awaitUnstalled(up bool) Rules {
	for {
		rules, changed, _ := proxy.current()
		if up && !rules.StallUp || !up && !rules.StallDown {
			return rules
		}
		<-changed
	}
}
