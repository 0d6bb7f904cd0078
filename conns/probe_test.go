package conns_test

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/conns"
)

// answerAll answers each request of a connection until the connection ends.
func answerAll(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	for {
		_, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

var _ = Describe("an address at which a request was lost", func() {
	It("refuses connections once no process listens there", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		pool := conns.NewPool()
		Expect(pool.IsRefused(listener.Addr().String())).To(BeFalse())
		Expect(listener.Close()).To(Succeed())
		Expect(pool.IsRefused(listener.Addr().String())).To(BeTrue())
	})

	// An upstream closes one connection of many. The end of its process would have closed the idle ones too, so an open
	// one shows that the process still runs, and no new connection is needed.
	It("gets no new connection while an idle one is open", func() {
		var accepted atomic.Int64
		address := serveConns(func(number int64, conn *net.TCPConn) {
			accepted.Store(number)
			answerAll(conn)
		})
		pool := conns.NewPool()
		_, err := sendWith(pool, address, conns.SendOptions{MaxIdle: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		Expect(pool.IsRefused(address)).To(BeFalse())
		Consistently(accepted.Load, "50ms").Should(Equal(int64(1)))
	})

	// An upstream with too many connections resets some and keeps running; a process that ends closes those whose requests
	// it has read.
	DescribeTable("distinguishes a reset from a close", func(end func(conn *net.TCPConn), isReset bool) {
		address := serveConns(func(_ int64, conn *net.TCPConn) {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			end(conn)
		})
		progress, err := sendWith(conns.NewPool(), address, conns.SendOptions{MaxIdle: time.Minute})
		Expect(progress.IsUnanswered()).To(BeTrue())
		Expect(err).To(MatchError(conns.ErrBroken))
		if isReset {
			Expect(err).To(MatchError(conns.ErrReset))
			return
		}
		Expect(err).NotTo(MatchError(conns.ErrReset))
	},
		Entry("reset", reset, true),
		Entry("closed", func(conn *net.TCPConn) { _ = conn.Close() }, false),
	)
})
