package tunnel_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/reach"
	"cherrykeel/tunnel"
)

var _ = Describe("a connection to an upstream", func() {
	It("is direct where that works", func() {
		network := newNetwork(2)
		conn, err := network.hosts[0].open(network.listen(echo))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(via(conn)).To(BeEmpty())
		Expect(exchange(conn, "hello")).To(Equal("hello"))
	})

	// Guards against a host without links that serves nothing while others reach the upstream.
	DescribeTable("goes through another host where this one does not reach it", func(cut func(host *testHost)) {
		network := newNetwork(2)
		address := network.listen(echo)
		cut(network.hosts[0])
		conn, err := network.hosts[0].open(address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(via(conn)).To(Equal("b"))
		Expect(exchange(conn, "hello")).To(Equal("hello"))
		Expect(network.hosts[1].server.Tunnels()).To(Equal(map[string]int{"a": 1}))
		Expect(network.hosts[0].dialer.Tunnels()).To(Equal(map[string]int{"b": 1}))
	},
		Entry("since it is refused", (*testHost).refuse),
		Entry("since nothing arrives", func(host *testHost) { host.silent.Store(true) }),
	)

	It("is direct again when the link is back", func() {
		network := newNetwork(2)
		address := network.listen(echo)
		network.hosts[0].refuse()
		tunneled, err := network.hosts[0].open(address)
		Expect(err).NotTo(HaveOccurred())
		defer tunneled.Close()
		network.hosts[0].dialError.Store(nil)
		Eventually(func() string {
			conn, err := network.hosts[0].open(address)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			return via(conn)
		}, waitLimit, "50ms").Should(BeEmpty())
		Expect(tunneled.(interface{ IsStale() bool }).IsStale()).To(BeTrue())
	})

	// Guards against connections that go through another host for ever: while tunnels are reused, no request needs a new
	// connection, and nothing would show that the link is back.
	It("is direct again though its tunnels go on being used", func() {
		network := newNetwork(2)
		address := network.listen(echo)
		host := network.hosts[0]
		host.refuse()
		tunneled, err := host.open(address)
		Expect(err).NotTo(HaveOccurred())
		defer tunneled.Close()
		host.dialer.TryLost()
		Consistently(tunneled.(interface{ IsStale() bool }).IsStale, "50ms").Should(BeFalse())
		host.dialError.Store(nil)
		host.clock.ahead.Store(int64(2 * time.Second))
		host.dialer.TryLost()
		Eventually(tunneled.(interface{ IsStale() bool }).IsStale, waitLimit).Should(BeTrue())
		Eventually(host.restored.Load, waitLimit).Should(BeEquivalentTo(1))
	})

	// Guards against time lost at hosts of the build before, which do not listen for such calls.
	It("asks no host again that cannot be asked", func() {
		network := newNetwork(2)
		address := network.listen(echo)
		_ = network.hosts[1].listener.Close()
		network.hosts[0].refuse()
		_, err := network.hosts[0].open(address)
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		_, err = network.hosts[0].open(network.listen(echo))
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
	})

	// Guards against false marks of crashes and against true ones that are missed: the refusal of an upstream whose process
	// has ended, and that of a cut link, look alike to one host.
	It("is refused as by the upstream only if other hosts are refused as well", func() {
		network := newNetwork(3)
		address := network.listen(echo)
		for _, host := range network.hosts {
			host.refuse()
		}
		_, err := network.hosts[0].open(address)
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		other := network.listen(echo)
		network.hosts[1].dialError.Store(nil)
		_, err = network.hosts[0].open(other)
		Expect(err).NotTo(HaveOccurred())
		network.hosts[1].silent.Store(true)
		network.hosts[2].silent.Store(true)
		_, err = network.hosts[0].open(network.listen(echo))
		Expect(err).To(MatchError(tunnel.ErrUnreached))
	})

	// Guards against hosts of one availability zone that lose their links together, are refused everywhere, and confirm
	// each other that upstreams have crashed which serve all other hosts.
	It("is not refused as by the upstream if those that are asked are refused everywhere", func() {
		network := newNetwork(4)
		address := network.listen(echo)
		network.listen(echo)
		for _, host := range network.hosts {
			host.refuse()
		}
		_, err := network.hosts[0].open(address)
		Expect(err).To(MatchError(tunnel.ErrUnreached))
	})

	// Guards against hosts that are cut from some upstreams of a service and confirm the end of those, since they reach
	// another one.
	It("is not refused as by the upstream if those that are asked have lost another upstream of its service", func() {
		network := newNetwork(3)
		address, other, reached := network.listen(echo), network.listen(echo), network.listen(echo)
		for _, host := range network.hosts[:2] {
			host.refuse()
			host.reached.Store(&reached)
		}
		for _, host := range network.hosts[:2] {
			_, err := host.open(other)
			Expect(err).NotTo(HaveOccurred())
		}
		_ = network.hosts[2].listener.Close()
		_, err := network.hosts[0].open(address)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(syscall.ECONNREFUSED))
	})

	// Guards against crashes that no host marks any more: hosts that are refused doubt their own links.
	It("is refused as by the upstream if its process has ended and others still accept", func() {
		network := newNetwork(3)
		network.listen(echo)
		_, err := network.hosts[0].open(network.list(fakes.FreeAddress()))
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
	})

	// Guards against hosts of the build before, which confirm a refusal though they may be cut themselves.
	DescribeTable("is refused as by the upstream where a host confirms it that has not checked its links", func(cut bool, expected error) {
		network := newNetwork(1)
		network.listen(echo)
		before := newHostOfBuildBefore("Refused")
		network.hosts[0].dialer.SetPeers([]cherrykeel.Peer{before})
		if cut {
			network.hosts[0].refuse()
		}
		_, err := network.hosts[0].open(network.list(fakes.FreeAddress()))
		Expect(err).To(MatchError(expected))
	},
		Entry("only if this host's own links work", false, syscall.ECONNREFUSED),
		Entry("not if this host is refused everywhere", true, tunnel.ErrUnreached),
	)

	// Guards against connection attempts for each request while nobody reaches the upstream.
	It("is not tried for a while after nobody has reached it", func() {
		network := newNetwork(2)
		address := network.listen(echo)
		for _, host := range network.hosts {
			host.silent.Store(true)
		}
		_, err := network.hosts[0].open(address)
		Expect(err).To(MatchError(tunnel.ErrUnreached))
		dials := network.hosts[0].dials.Load()
		_, err = network.hosts[0].open(address)
		Expect(err).To(MatchError(tunnel.ErrUnreached))
		Expect(network.hosts[0].dials.Load()).To(Equal(dials))
	})

	// Guards against a circle of hosts that ask each other.
	It("goes through one other host at most", func() {
		network := newNetwork(3)
		address := network.listen(echo)
		network.hosts[0].refuse()
		network.hosts[1].refuse()
		conn, err := network.hosts[1].open(address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		network.hosts[2].server.Stop()
		_, err = network.hosts[0].open(address)
		Expect(err).To(MatchError(tunnel.ErrUnreached))
	})

	// Guards against orders that hang on a connection whose link has become silent: the owners' leases would end.
	It("fails at once if it carries orders and its link is found silent", func() {
		network := newNetwork(2)
		host := network.hosts[0]
		first, second := network.listen(echo), network.listen(echo)
		order, err := host.dialer.DialOrder(GinkgoT().Context(), "tcp", second)
		Expect(err).NotTo(HaveOccurred())
		defer order.Close()
		host.silent.Store(true)
		for _, address := range []string{first, second} {
			conn, err := host.open(address)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
		}
		Expect(<-host.silences).To(Equal(second))
		_, err = order.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("timeout")))
	})
})

var _ = Describe("a connection through another host", func() {
	var network *network
	var conn net.Conn
	open := func(serve func(conn *net.TCPConn)) {
		network = newNetwork(2)
		address := network.listen(serve)
		network.hosts[0].refuse()
		var err error
		conn, err = network.hosts[0].open(address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
	}

	// Guards against an answer that ends with its connection and looks complete, since a reset became an orderly end.
	It("passes on the upstream's reset as a reset", func() {
		open(func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.SetLinger(0)
			_ = conn.Close()
		})
		_, _ = conn.Write([]byte("x"))
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	It("passes on the upstream's last bytes and its orderly end", func() {
		open(func(conn *net.TCPConn) {
			_, _ = conn.Write([]byte("answer"))
			_ = conn.Close()
		})
		data, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(Equal("answer"))
	})

	// Guards against upstreams that work for callers who have left.
	DescribeTable("passes on its own end", func(end func(conn net.Conn), expected error) {
		ended := make(chan error, 1)
		open(func(conn *net.TCPConn) {
			_, err := io.Copy(io.Discard, conn)
			ended <- err
		})
		_, _ = conn.Write([]byte("x"))
		end(conn)
		_ = conn.Close()
		var seen error
		Eventually(ended, waitLimit).Should(Receive(&seen))
		if expected == nil {
			Expect(seen).NotTo(HaveOccurred())
			return
		}
		Expect(seen).To(MatchError(expected))
	},
		Entry("orderly", func(net.Conn) {}, nil),
		Entry("a reset", func(conn net.Conn) { _ = conn.(interface{ SetLinger(seconds int) error }).SetLinger(0) }, syscall.ECONNRESET),
	)

	// Guards against keys with two owners: a grant waits in a suspended host and reaches its upstream seconds after the
	// keeper has counted it as lost.
	It("is cut when the host in between was suspended, before it passes on another byte", func() {
		received := make(chan string, 16)
		open(func(conn *net.TCPConn) {
			buffer := make([]byte, 64)
			for {
				count, err := conn.Read(buffer)
				if err != nil {
					received <- "end"
					return
				}
				received <- string(buffer[:count])
			}
		})
		_, _ = conn.Write([]byte("before"))
		Eventually(received, waitLimit).Should(Receive(Equal("before")))
		network.hosts[1].clock.ahead.Store(int64(2 * time.Second))
		_, _ = conn.Write([]byte("after"))
		Eventually(received, waitLimit).Should(Receive(Equal("end")))
	})
})

var _ = Describe("a host that is asked for connections", func() {
	// Guards against an open relay: whoever reaches the internal port would reach anything.
	It("serves known hosts in their present incarnation only", func() {
		network := newNetwork(2)
		address := network.listen(echo)
		network.hosts[0].refuse()
		restarted := network.hosts[0].peer
		restarted.Incarnation = "another"
		network.hosts[1].dialer.SetPeers(append(hostsOf(network.hosts[1]), restarted))
		_, err := network.hosts[0].open(address)
		Expect(err).To(HaveOccurred())
		Expect(network.hosts[1].dials.Load()).To(BeZero())
	})

	It("connects to listed upstreams only", func() {
		network := newNetwork(2)
		address := network.listen(echo)
		network.hosts[0].refuse()
		network.mutex.Lock()
		network.listed = map[string]bool{}
		network.mutex.Unlock()
		_, err := network.hosts[0].open(address)
		Expect(err).To(HaveOccurred())
		Expect(network.hosts[1].dials.Load()).To(BeZero())
	})

	It("declines beyond its limit, and what is left is asked elsewhere", func() {
		network := newNetwork(2)
		address := network.listen(echo)
		network.hosts[0].refuse()
		for range 4 {
			conn, err := network.hosts[0].open(address)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
		}
		_, err := network.hosts[0].open(address)
		Expect(err).To(HaveOccurred())
		Expect(network.hosts[1].server.Total()).To(Equal(4))
	})

	// Guards against keys without an owner: callers of hosts without links take all connections of the only host that
	// reaches the upstreams, and the keeper gets none.
	It("has room for orders when it declines others", func() {
		network := newNetwork(2)
		address := network.listen(echo)
		network.hosts[0].refuse()
		for range 4 {
			conn, err := network.hosts[0].open(address)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
		}
		_, err := network.hosts[0].open(address)
		Expect(err).To(HaveOccurred())
		order, err := network.hosts[0].dialer.DialOrder(context.Background(), "tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer order.Close()
	})

	// Guards against requests that a planned stop cuts: a host that stops would end while others still open connections
	// through it.
	It("declines when it stops, and lets open connections go on", func() {
		network := newNetwork(2)
		address := network.listen(echo)
		network.hosts[0].refuse()
		conn, err := network.hosts[0].open(address)
		Expect(err).NotTo(HaveOccurred())
		network.hosts[1].server.Stop()
		network.hosts[0].dialer.SetStatuses(map[string]reach.Status{"b": {Stopping: true}})
		Expect(conn.(interface{ IsStale() bool }).IsStale()).To(BeTrue())
		Expect(exchange(conn, "hello")).To(Equal("hello"))
		_, err = network.hosts[0].open(address)
		Expect(err).To(HaveOccurred())
		_ = conn.Close()
		Eventually(network.hosts[1].server.Total, waitLimit).Should(BeZero())
	})

	// Guards against a host of the build before, or another program, that sends what is no message.
	DescribeTable("ends a connection that begins with something else", func(bytes string) {
		network := newNetwork(2)
		conn, err := net.Dial("tcp", network.hosts[1].peer.InternalAddress)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, _ = conn.Write([]byte(bytes))
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(network.hosts[1].server.Total()).To(BeZero())
	},
		Entry("nothing", ""),
		Entry("a request", "GET / HTTP/1.1\r\n\r\n"),
		Entry("no JSON", "\x00\x04abcd"),
		Entry("another method", "\x00\x2b"+`{"jsonrpc":"2.0","method":"Other","id":"1"}`),
	)
})
