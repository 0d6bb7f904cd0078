package tunnel_test

import (
	"context"
	"encoding/binary"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/tunnel"
)

func TestTunnel(t *testing.T) {
	if os.Getenv(peerVariable) != "" {
		serveForPeer()
		return
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "tunnel")
}

const waitLimit = "20s"

// network holds hosts that know each other, and the addresses of listed upstreams.
type network struct {
	hosts  []*testHost
	mutex  sync.Mutex
	listed map[string]bool
}

// movingClock is the system's clock, which a spec can set forward.
type movingClock struct {
	cherrykeel.Clock
	ahead atomic.Int64
}

func newMovingClock() *movingClock {
	return &movingClock{Clock: cherrykeel.SystemClock()}
}

// Now implements cherrykeel.Clock.
func (clock *movingClock) Now() cherrykeel.Instant {
	return clock.Clock.Now().Add(time.Duration(clock.ahead.Load()))
}

type testHost struct {
	peer     cherrykeel.Peer
	clock    *movingClock
	dialer   *tunnel.Dialer
	server   *tunnel.Server
	listener net.Listener
	// dialError, if set, is what the host's direct connections fail with, except those to the address reached; silent makes
	// them hang instead.
	dialError atomic.Pointer[error]
	reached   atomic.Pointer[string]
	silent    atomic.Bool
	dials     atomic.Int64
	restored  atomic.Int64
	// silences are the addresses whose links were found silent.
	silences chan string
}

func newNetwork(count int) *network {
	network := &network{listed: map[string]bool{}}
	for i := range count {
		network.hosts = append(network.hosts, network.newHost(string(rune('a'+i))))
	}
	var peers []cherrykeel.Peer
	for _, host := range network.hosts {
		peers = append(peers, host.peer)
	}
	for _, host := range network.hosts {
		host.dialer.SetPeers(peers)
	}
	return network
}

func (network *network) newHost(name string) *testHost {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	host := &testHost{
		peer:  cherrykeel.Peer{Name: name, Incarnation: name + "-1", InternalAddress: listener.Addr().String(), Zone: "z"},
		clock: newMovingClock(), listener: listener, silences: make(chan string, 16),
	}
	host.dialer = tunnel.NewDialer(tunnel.Settings{
		Self: host.peer, Clock: host.clock, Logger: zap.NewNop(), Scope: tally.NoopScope, Dial: host.dial, UserTimeout: 500 * time.Millisecond,
		FindUpstream: network.find, ShortName: func(id string) string { return id }, FindOthers: network.findOthers,
		OnLost: func(address string, silent bool) {
			if silent {
				host.silences <- address
			}
		},
		OnRestored: func() { host.restored.Add(1) },
	})
	// One of them is kept for orders.
	host.server = tunnel.NewServer(host.dialer, 5)
	go host.server.Serve(listener)
	return host
}

func (network *network) find(address string) (cherrykeel.Upstream, bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return cherrykeel.Upstream{ID: "u-" + address, Address: address}, network.listed[address]
}

// newHostOfBuildBefore returns a host that answers each call with a state and tells nothing about its links.
func newHostOfBuildBefore(state string) cherrykeel.Peer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	answer := `{"id":"","result":{"State":"` + state + `"},"jsonrpc":"2.0"}`
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1024))
			_, _ = conn.Write(binary.BigEndian.AppendUint16(nil, uint16(len(answer))))
			_, _ = conn.Write([]byte(answer))
		}
	}()
	return cherrykeel.Peer{Name: "before", Incarnation: "before-1", InternalAddress: listener.Addr().String(), Zone: "z"}
}

// findOthers returns addresses of listed upstreams.
func (network *network) findOthers(limit int, isSelected func(upstream cherrykeel.Upstream) bool) []string {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	var others []string
	for other := range network.listed {
		if len(others) < limit && isSelected(cherrykeel.Upstream{Address: other}) {
			others = append(others, other)
		}
	}
	return others
}

// list makes an address that of an upstream.
func (network *network) list(address string) string {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.listed[address] = true
	return address
}

// listen returns the address of a new upstream, which passes each connection to a function.
func (network *network) listen(serve func(conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return network.list(listener.Addr().String())
}

// echo returns the bytes of a connection until it ends.
func echo(conn *net.TCPConn) {
	buffer := make([]byte, 4096)
	for {
		count, err := conn.Read(buffer)
		if err != nil {
			_ = conn.Close()
			return
		}
		_, _ = conn.Write(buffer[:count])
	}
}

func (host *testHost) dial(ctx context.Context, network, address string) (net.Conn, error) {
	host.dials.Add(1)
	if host.silent.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
		return nil, os.ErrDeadlineExceeded
	}
	failure := host.dialError.Load()
	reached := host.reached.Load()
	if failure != nil && (reached == nil || *reached != address) {
		return nil, *failure
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// refuse makes all direct connections of the host fail as if no process listened.
func (host *testHost) refuse() {
	var failure error = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	host.dialError.Store(&failure)
}

func (host *testHost) open(address string) (net.Conn, error) {
	return host.dialer.DialContext(context.Background(), "tcp", address)
}

// via returns the name of the host through which a connection goes, or "".
func via(conn net.Conn) string {
	tunneled, ok := conn.(interface{ Via() string })
	if !ok {
		return ""
	}
	return tunneled.Via()
}

// exchange sends a text and returns what comes back.
func exchange(conn net.Conn, text string) string {
	_, err := conn.Write([]byte(text))
	if err != nil {
		return err.Error()
	}
	buffer := make([]byte, len(text))
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	count, err := conn.Read(buffer)
	if err != nil {
		return err.Error()
	}
	return string(buffer[:count])
}

// hostsOf returns the host itself as the only known one.
func hostsOf(host *testHost) []cherrykeel.Peer {
	return []cherrykeel.Peer{host.peer}
}
