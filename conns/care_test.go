package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/conns"
)

// serveConns passes each accepted connection to a function, with its number from 1, and returns the address.
func serveConns(serve func(number int64, conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	var count atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(count.Add(1), conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// serveHealthy answers each request, counts the connections made to it, and returns its address.
func serveHealthy(made *atomic.Int64) string {
	return serveConns(func(_ int64, conn *net.TCPConn) {
		made.Add(1)
		buffer := make([]byte, 4096)
		for {
			_, err := conn.Read(buffer)
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte(fullAnswer))
		}
	})
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func sendWith(pool *conns.Pool, address string, options conns.SendOptions) (conns.Progress, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", nil)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, progress, err := pool.SendWithOptions(ctx, address, request, options)
	if err != nil {
		return progress, err
	}
	defer answer.Close()
	_, err = io.ReadAll(answer)
	return progress, err
}

var _ = Describe("a request that must not be lost", func() {
	// Guards against a request whose outcome is unknown: an upstream with too many connections accepts one more and resets
	// it a moment later. A request that was not sent by then can go to another upstream.
	It("is not sent on a new connection that the upstream resets at once", func() {
		address := serveConns(func(_ int64, conn *net.TCPConn) {
			time.Sleep(time.Millisecond)
			reset(conn)
		})
		for range 5 {
			progress, err := sendWith(conns.NewPool(), address, conns.SendOptions{MaxIdle: time.Minute, ResetWait: 5 * time.Second})
			Expect(err).To(MatchError(conns.ErrConnect))
			Expect(progress).To(Equal(conns.NotSent))
		}
	})

	It("is sent on a new connection that stays open", func() {
		address := serveConns(func(_ int64, conn *net.TCPConn) {
			buffer := make([]byte, 4096)
			_, _ = conn.Read(buffer)
			_, _ = conn.Write([]byte(fullAnswer))
			_, _ = conn.Read(buffer)
			_ = conn.Close()
		})
		_, err := sendWith(conns.NewPool(), address, conns.SendOptions{MaxIdle: time.Minute, ResetWait: 20 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against one lost request at each upstream: the upstreams drop connections after 70 ms of idle time without
	// notice, and reset the next request, which may have run. After the first loss the pool makes new connections, also to
	// other upstreams.
	It("is lost only once when upstreams drop idle connections", func() {
		forgetful := func(_ int64, conn *net.TCPConn) {
			buffer := make([]byte, 4096)
			lastUsed := time.Now()
			for {
				_, err := conn.Read(buffer)
				if err != nil || time.Since(lastUsed) > 70*time.Millisecond {
					reset(conn)
					return
				}
				_, _ = conn.Write([]byte(fullAnswer))
				lastUsed = time.Now()
			}
		}
		first, second := serveConns(forgetful), serveConns(forgetful)
		pool := conns.NewPool()
		options := conns.SendOptions{MaxIdle: time.Minute}
		lost := 0
		for range 4 {
			for _, address := range []string{first, second} {
				_, err := sendWith(pool, address, options)
				if err != nil {
					lost++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		Expect(lost).To(Equal(1))
	})

	// Guards against doubling the connections to no benefit: full upstreams reset requests on idle and new connections
	// alike, so replacing the idle ones prevents no loss.
	It("keeps idle connections when new ones are lost as well", func() {
		var made atomic.Int64
		full := serveConns(func(number int64, conn *net.TCPConn) {
			buffer := make([]byte, 4096)
			_, _ = conn.Read(buffer)
			if number == 1 {
				_, _ = conn.Write([]byte(fullAnswer))
				_, _ = conn.Read(buffer)
			}
			reset(conn)
		})
		healthy := serveHealthy(&made)
		pool := conns.NewPool()
		options := conns.SendOptions{MaxIdle: time.Minute}
		send := func(address string) error {
			_, err := sendWith(pool, address, options)
			return err
		}
		Expect(send(full)).To(Succeed())
		Expect(send(healthy)).To(Succeed())
		time.Sleep(100 * time.Millisecond)
		Expect(send(full)).NotTo(Succeed(), "on an idle connection")
		Expect(send(full)).NotTo(Succeed(), "on a new connection")
		Expect(send(healthy)).To(Succeed())
		Expect(made.Load()).To(BeEquivalentTo(1))
	})

	// Guards against twice the connections to no benefit: bytes that are no answer show that the upstream has the connection
	// still, so no idle one was dropped.
	It("keeps idle connections after an upstream has sent bytes that are no answer", func() {
		garbled := serveConns(func(_ int64, conn *net.TCPConn) {
			buffer := make([]byte, 4096)
			_, _ = conn.Read(buffer)
			_, _ = conn.Write([]byte(fullAnswer))
			_, _ = conn.Read(buffer)
			_, _ = conn.Write([]byte("220 ready\r\n\r\n"))
			_, _ = conn.Read(buffer)
		})
		var made atomic.Int64
		healthy := serveHealthy(&made)
		pool := conns.NewPool()
		options := conns.SendOptions{MaxIdle: time.Minute}
		send := func(address string) error {
			_, err := sendWith(pool, address, options)
			return err
		}
		Expect(send(garbled)).To(Succeed())
		Expect(send(healthy)).To(Succeed())
		time.Sleep(100 * time.Millisecond)
		Expect(send(garbled)).NotTo(Succeed())
		Expect(send(healthy)).To(Succeed())
		Expect(made.Load()).To(BeEquivalentTo(1))
	})
})
