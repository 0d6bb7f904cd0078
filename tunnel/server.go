package tunnel

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/events"
	"cherrykeel/reach"
)

const (
	// callTimeout is how long another host has to say what it asks for.
	callTimeout = 300 * time.Millisecond
	// serveTimeout bounds the connection to the upstream; the host that asks goes on to another one meanwhile.
	serveTimeout = 100 * time.Millisecond
	// guardInterval is how often the process checks that it was not suspended while tunnels are open.
	guardInterval = 100 * time.Millisecond
	// orderPart is the part of the tunnels that is kept for orders: one of so many, and one at least.
	orderPart = 10
	// logInterval bounds the lines on each host that has tunnels here.
	logInterval = 10 * time.Second
)

// Server opens connections to upstreams for other hosts and copies their bytes.
type Server struct {
	dialer *Dialer
	// maxTunnels bounds the tunnels, each of which takes two descriptors and a buffer for each direction.
	maxTunnels int
	stopping   atomic.Bool

	mutex   sync.Mutex
	guard   reach.Guard
	tunnels map[string]int
	total   int
	// loggedAt is when the log last said that a host has tunnels here.
	loggedAt map[string]cherrykeel.Instant
	watched  bool
}

// NewServer returns a server that knows hosts and upstreams as the dialer does.
func NewServer(dialer *Dialer, maxTunnels int) *Server {
	return &Server{dialer: dialer, maxTunnels: maxTunnels, tunnels: map[string]int{}, loggedAt: map[string]cherrykeel.Instant{}}
}

// Serve accepts calls of other hosts until the listener is closed.
func (server *Server) Serve(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			events.Log(server.dialer.Logger, events.AcceptFailed, zap.Error(err))
			time.Sleep(guardInterval)
			continue
		}
		go server.handle(accepted.(*net.TCPConn))
	}
}

// Stop makes the server decline further calls. Open tunnels go on.
func (server *Server) Stop() {
	server.stopping.Store(true)
}

// Tunnels returns the number of open tunnels for each other host.
func (server *Server) Tunnels() map[string]int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	counts := map[string]int{}
	for host, count := range server.tunnels {
		counts[host] = count
	}
	return counts
}

// Total returns the number of open tunnels.
func (server *Server) Total() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.total
}

// handle answers one call, and copies the bytes of its tunnel until it ends.
func (server *Server) handle(near *net.TCPConn) {
	conns.SetTimeouts(near, server.dialer.UserTimeout)
	_ = near.SetDeadline(time.Now().Add(callTimeout))
	call, err := readCall(near)
	if err != nil {
		server.logMalformed(near, err)
		reset(near)
		return
	}
	generation, state := server.admit(call, near.RemoteAddr())
	if state != stateOpened {
		server.decline(near, openAnswer{State: state})
		return
	}
	defer server.leave(call.Host)
	far, answer := server.connect(call.Address)
	if answer.State != stateOpened {
		server.decline(near, answer)
		return
	}
	// The system closes the sockets of a process that is killed in order, unless they linger for no time: an answer that ends
	// with its connection would seem complete to the other host.
	err = near.SetLinger(0)
	if err == nil {
		answer.MarksEnd = true
		err = writeAnswer(near, answer)
	}
	if err != nil {
		reset(near)
		reset(far)
		return
	}
	_ = near.SetDeadline(time.Time{})
	tunnel := &copying{server: server, generation: generation, near: near, far: far}
	tunnel.run()
}

// logMalformed logs a call that is none. A connection that ends before its call is no such case: another host was faster.
func (server *Server) logMalformed(near *net.TCPConn, err error) {
	if errors.Is(err, ErrMalformed) {
		events.Log(server.dialer.Logger, events.MessageInvalid, zap.String("From", near.RemoteAddr().String()), zap.Error(err))
	}
}

// decline answers that no connection was opened. The connection is closed in order, so that the answer arrives.
func (server *Server) decline(near *net.TCPConn, answer openAnswer) {
	_ = writeAnswer(near, answer)
	_ = near.Close()
}

// admit counts a tunnel if it may be opened, and returns how often the process was suspended so far. Only known hosts
// are served, and only with connections to listed upstreams: else anyone who reaches the internal port could reach
// anything.
func (server *Server) admit(call openCall, from net.Addr) (int, state) {
	_, listed := server.dialer.FindUpstream(call.Address)
	switch {
	case server.stopping.Load():
		return 0, stateStopping
	case !listed || !server.dialer.isKnown(call, from):
		return 0, stateUnknown
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.total >= server.limitFor(call) {
		return 0, stateFull
	}
	server.total++
	server.tunnels[call.Host]++
	now := server.dialer.clock.Now()
	last, logged := server.loggedAt[call.Host]
	if !logged || now.Sub(last) > logInterval {
		server.loggedAt[call.Host] = now
		events.Log(server.dialer.Logger, events.TunnelServed, zap.String("Host", call.Host), zap.String("Address", call.Address))
	}
	generation := server.guard.Check(now)
	if !server.watched {
		server.watched = true
		go server.watch()
	}
	return generation, stateOpened
}

// limitFor returns how many tunnels may be open when a call is served. Without room of their own for orders, the callers of
// a zone that has lost its links could keep its keeper from all owners, and all keys would lose theirs.
func (server *Server) limitFor(call openCall) int {
	if call.Order {
		return server.maxTunnels
	}
	return server.maxTunnels - max(1, server.maxTunnels/orderPart)
}

// leave counts the end of a tunnel.
func (server *Server) leave(host string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.total--
	server.tunnels[host]--
	if server.tunnels[host] == 0 {
		delete(server.tunnels, host)
	}
}

// watch checks for suspensions while tunnels are open.
func (server *Server) watch() {
	ticker := time.NewTicker(guardInterval)
	defer ticker.Stop()
	for range ticker.C {
		server.mutex.Lock()
		server.guard.Check(server.dialer.clock.Now())
		server.watched = server.total > 0
		watched := server.watched
		server.mutex.Unlock()
		if !watched {
			return
		}
	}
}

// isCurrent reports whether the process was not suspended since a tunnel was opened.
func (server *Server) isCurrent(generation int) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.guard.Check(server.dialer.clock.Now()) == generation
}

// connect opens a direct connection to an upstream. It never asks a further host. If it fails, the answer tells whether
// this host's links to the upstream's service work: all hosts of an availability zone may have lost theirs, and without
// that they would confirm each other that the upstream's process has ended.
func (server *Server) connect(address string) (*net.TCPConn, openAnswer) {
	dialer := server.dialer
	if dialer.knowsLinksLost(address) {
		return nil, openAnswer{State: stateUnreached, Links: linksLost}
	}
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	opened, err := dialer.Dial(ctx, "tcp", address)
	if err == nil {
		dialer.recordConnected(address)
		return opened.(*net.TCPConn), openAnswer{State: stateOpened}
	}
	links := dialer.checkLinks(address)
	switch {
	case links == reach.LinksLost:
		return nil, openAnswer{State: stateUnreached, Links: linksLost}
	case links == reach.LinksPartial:
		return nil, openAnswer{State: stateUnreached}
	case isRefused(err):
		dialer.recordEnd(address, links)
		return nil, openAnswer{State: stateRefused, Links: linksOf(links)}
	default:
		return nil, openAnswer{State: stateUnreached, Links: linksOf(links)}
	}
}

// recordEnd records that an upstream's process has ended, if this host's own links are not the likelier cause.
func (dialer *Dialer) recordEnd(address string, links reach.Links) {
	if links == reach.LinksUnknown {
		return
	}
	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()
	dialer.table.RecordEnd(address, dialer.clock.Now())
}

// linksOf returns the state of links as messages have it.
func linksOf(links reach.Links) linksState {
	if links == reach.LinksUnknown {
		return linksUnknown
	}
	return linksWork
}

// isKnown reports whether a call comes from another host of ours, in its present incarnation.
func (dialer *Dialer) isKnown(call openCall, from net.Addr) bool {
	dialer.mutex.Lock()
	peer, known := dialer.peers.Find(call.Host)
	dialer.mutex.Unlock()
	return known && peer.Incarnation == call.Incarnation && haveSameIP(peer, from)
}

func haveSameIP(peer cherrykeel.Peer, from net.Addr) bool {
	expected, err := netip.ParseAddrPort(peer.InternalAddress)
	if err != nil {
		return false
	}
	actual, err := netip.ParseAddrPort(from.String())
	return err == nil && expected.Addr().Unmap() == actual.Addr().Unmap()
}
