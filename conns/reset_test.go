package conns

import (
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/sock"
)

// lateConn is a connection whose reads reach their deadline before they see what has arrived, as on a busy host.
type lateConn struct {
	*net.TCPConn
}

// Read implements net.Conn.
func (lateConn) Read([]byte) (int, error) {
	return 0, os.ErrDeadlineExceeded
}

var _ = Describe("the wait on a new connection", func() {
	// Guards against a busy host that considers a reset connection open, since the wait ended before it saw the reset.
	It("checks the socket at its end", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		near, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(near.Close)
		far, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		socket := lateConn{TCPConn: near.(*net.TCPConn)}
		Expect(newConn("upstream", socket).staysOpen(time.Millisecond)).To(BeTrue())
		Expect(far.(*net.TCPConn).SetLinger(0)).To(Succeed())
		Expect(far.Close()).To(Succeed())
		Eventually(func() bool { return sock.IsReadable(socket) }, "10s").Should(BeTrue())
		Expect(newConn("upstream", socket).staysOpen(time.Millisecond)).To(BeFalse())
	})
})
