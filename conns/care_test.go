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

// serveConns hands each accepted connection to a function, with its number from 1.
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

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func sendWith(pool *conns.Pool, address string, care conns.SendOptions) (conns.Progress, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", nil)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, progress, err := pool.SendWithOptions(ctx, address, request, care)
	if err != nil {
		return progress, err
	}
	defer answer.Close()
	_, err = io.ReadAll(answer)
	return progress, err
}

var _ = Describe("a request that must not be lost", func() {
	// An upstream has as many connections as it takes. It accepts one more and resets it a moment later. A
	// payment that was sent at once may have run, and its caller must not try again; sent a moment later it
	// has not left, and another upstream takes it.
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

	It("is sent on a new connection that stands", func() {
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

	// Upstreams forget connections that have rested for 70 ms, without a word: the next request on one is
	// reset and may have run. The first one is lost; the pool then makes new connections, to other upstreams too.
	It("is lost once when upstreams forget connections that rest", func() {
		forgetful := func(_ int64, conn *net.TCPConn) {
			buffer := make([]byte, 4096)
			rested := time.Now()
			for {
				_, err := conn.Read(buffer)
				if err != nil || time.Since(rested) > 70*time.Millisecond {
					reset(conn)
					return
				}
				_, _ = conn.Write([]byte(fullAnswer))
				rested = time.Now()
			}
		}
		one, two := serveConns(forgetful), serveConns(forgetful)
		pool := conns.NewPool()
		care := conns.SendOptions{MaxIdle: time.Minute}
		lost := 0
		for range 4 {
			for _, address := range []string{one, two} {
				_, err := sendWith(pool, address, care)
				if err != nil {
					lost++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		Expect(lost).To(Equal(1))
	})

	// Upstreams are full and reset requests, on connections that rested as on new ones. Making new connections
	// for all would double their number and help nobody.
	It("keeps connections when new ones are lost as well", func() {
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
		sound := serveConns(func(_ int64, conn *net.TCPConn) {
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
		pool := conns.NewPool()
		care := conns.SendOptions{MaxIdle: time.Minute}
		send := func(address string) error {
			_, err := sendWith(pool, address, care)
			return err
		}
		Expect(send(full)).To(Succeed())
		Expect(send(sound)).To(Succeed())
		time.Sleep(100 * time.Millisecond)
		Expect(send(full)).NotTo(Succeed(), "after a rest")
		Expect(send(full)).NotTo(Succeed(), "on a new connection")
		Expect(send(sound)).To(Succeed())
		Expect(made.Load()).To(BeEquivalentTo(1))
	})
})
