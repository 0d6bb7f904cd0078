package conns_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/conns"
)

// otherWay is a connection through another host.
type otherWay struct {
	net.Conn
	stale *atomic.Bool
}

func (otherWay) Via() string { return "host-b" }

func (way otherWay) IsStale() bool { return way.stale.Load() }

// answerUntil answers the requests of a connection until silent is set, and then none.
func answerUntil(silent *atomic.Bool) func(int64, *net.TCPConn) {
	return func(_ int64, conn *net.TCPConn) {
		buffer := make([]byte, 4096)
		for {
			_, err := conn.Read(buffer)
			if err != nil {
				return
			}
			if !silent.Load() {
				_, _ = conn.Write([]byte(fullAnswer))
			}
		}
	}
}

var _ = Describe("connections whose link has become silent", func() {
	var silent *atomic.Bool
	var address string
	var pool *conns.Pool
	var dials atomic.Int64
	BeforeEach(func() {
		silent = &atomic.Bool{}
		address = serveConns(answerUntil(silent))
		dials.Store(0)
		pool = conns.NewPool(conns.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}))
	})
	send := func(options conns.SendOptions) error {
		options.MaxIdle = time.Minute
		_, err := sendWith(pool, address, options)
		return err
	}

	// Guards against requests that hang, one after the other, on open connections that nothing comes through any more.
	It("lead to a new connection once an answer is late", func() {
		Expect(send(conns.SendOptions{})).To(Succeed())
		Expect(dials.Load()).To(BeEquivalentTo(1))
		silent.Store(true)
		ended := make(chan error, 1)
		go func() { ended <- send(conns.SendOptions{Repeatable: true, AnswerWithin: time.Millisecond}) }()
		Eventually(dials.Load, "20s").Should(BeEquivalentTo(2))
		Eventually(func() int { return pool.OpenConns(address) }, "20s").Should(Equal(2))
		pool.BreakSilent(address)
		Eventually(ended, "20s").Should(Receive(MatchError(conns.ErrBroken)))
		silent.Store(false)
		Expect(send(conns.SendOptions{})).To(Succeed())
	})

	It("lead to no new connection where no answer is expected in time", func() {
		Expect(send(conns.SendOptions{})).To(Succeed())
		silent.Store(true)
		go func() { _ = send(conns.SendOptions{Repeatable: true}) }()
		Consistently(dials.Load, "300ms").Should(BeEquivalentTo(1))
		pool.BreakSilent(address)
	})

	// Guards against a request that is not repeatable and is given up although the link was only slow: its caller would
	// never learn what became of it.
	It("keep requests that are not repeatable", func() {
		silent.Store(true)
		ended := make(chan error, 1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/", nil)
			_, _, err := pool.SendWithOptions(ctx, address, request, conns.SendOptions{MaxIdle: time.Minute})
			ended <- err
		}()
		Eventually(func() int { return pool.OpenConns(address) }, "20s").Should(Equal(1))
		pool.BreakSilent(address)
		Consistently(ended, "100ms").ShouldNot(Receive())
		cancel()
		Eventually(ended, "20s").Should(Receive())
	})

	// Guards against one lost request at each upstream when all links of a host become silent at one moment.
	It("make the pool mistrust idle connections to other addresses, until something arrives", func() {
		other := serveConns(answerUntil(&atomic.Bool{}))
		sendTo := func(address string) {
			_, err := sendWith(pool, address, conns.SendOptions{MaxIdle: time.Minute})
			Expect(err).NotTo(HaveOccurred())
		}
		sendTo(other)
		sendTo(other)
		Expect(dials.Load()).To(BeEquivalentTo(1))
		pool.BreakSilent(address)
		sendTo(other)
		Expect(dials.Load()).To(BeEquivalentTo(2), "a new one, since nothing has arrived")
		sendTo(other)
		Expect(dials.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a request that fails on a connection that was broken off just as its last request ended.
	It("are not reused", func() {
		Expect(send(conns.SendOptions{})).To(Succeed())
		pool.BreakSilent(address)
		Expect(pool.OpenConns(address)).To(BeZero())
		Expect(send(conns.SendOptions{Repeatable: true})).To(Succeed())
	})
})

var _ = Describe("losses that a lost link explains", func() {
	// Guards against a new connection for each request: all connections of a host end with its links, and for ten seconds it
	// took that for upstreams that drop idle connections.
	It("do not shorten how long connections are reused once they are forgotten", func() {
		var made atomic.Int64
		var cut atomic.Bool
		address := serveConns(func(_ int64, conn *net.TCPConn) {
			made.Add(1)
			buffer := make([]byte, 4096)
			for {
				_, err := conn.Read(buffer)
				if err != nil || cut.Load() {
					reset(conn)
					return
				}
				_, _ = conn.Write([]byte(fullAnswer))
			}
		})
		pool := conns.NewPool()
		send := func() error {
			_, err := sendWith(pool, address, conns.SendOptions{MaxIdle: time.Minute})
			return err
		}
		Expect(send()).To(Succeed())
		time.Sleep(70 * time.Millisecond)
		cut.Store(true)
		Expect(send()).NotTo(Succeed())
		cut.Store(false)
		pool.ForgetLosses()
		Expect(send()).To(Succeed())
		time.Sleep(70 * time.Millisecond)
		Expect(send()).To(Succeed())
		Expect(made.Load()).To(BeEquivalentTo(2))
	})
})

var _ = Describe("connections through another host", func() {
	// Guards against connections that stay with a host that stops, and against bytes that go on through another host after
	// the link is back.
	It("are used until they are stale, and not broken off with the direct link", func() {
		var silent, stale atomic.Bool
		address := serveConns(answerUntil(&silent))
		var dials atomic.Int64
		pool := conns.NewPool(conns.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return otherWay{Conn: conn, stale: &stale}, err
		}))
		answer := func() string {
			request, _ := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
			answer, _, err := pool.Send(context.Background(), address, request)
			Expect(err).NotTo(HaveOccurred())
			defer answer.Close()
			buffer := make([]byte, 16)
			_, _ = answer.Read(buffer)
			_, _ = answer.Read(buffer)
			return answer.Via()
		}
		Expect(answer()).To(Equal("host-b"))
		pool.BreakSilent(address)
		Expect(pool.OpenConns(address)).To(Equal(1))
		stale.Store(true)
		pool.CloseExpired()
		Expect(pool.OpenConns(address)).To(BeZero())
	})
})
