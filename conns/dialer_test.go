package conns_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"cherrykeel/conns"
)

// optionOf returns a TCP option of a connection.
func optionOf(conn *net.TCPConn, option int) int {
	raw, err := conn.SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	var value int
	var failure error
	Expect(raw.Control(func(descriptor uintptr) {
		value, failure = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, option)
	})).To(Succeed())
	Expect(failure).NotTo(HaveOccurred())
	return value
}

var _ = Describe("the timeouts of a connection", func() {
	// Guards against connections that hang: where TCP_USER_TIMEOUT is set, it decides when probes give up, and the count of
	// probes does not.
	DescribeTable("are set", func(open func(address string, listener net.Listener) *net.TCPConn) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		conn := open(listener.Addr().String(), listener)
		defer conn.Close()
		Expect(optionOf(conn, unix.TCP_USER_TIMEOUT)).To(Equal(500))
		Expect(optionOf(conn, unix.TCP_KEEPIDLE)).To(Equal(1))
		Expect(optionOf(conn, unix.TCP_KEEPINTVL)).To(Equal(1))
	},
		Entry("on one that is dialed", func(address string, _ net.Listener) *net.TCPConn {
			conn, err := conns.NewDialer(time.Second, 500*time.Millisecond).Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			return conn.(*net.TCPConn)
		}),
		Entry("on one that is accepted", func(address string, listener net.Listener) *net.TCPConn {
			dialed, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(dialed.Close)
			accepted, err := listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			conns.SetTimeouts(accepted.(*net.TCPConn), 500*time.Millisecond)
			return accepted.(*net.TCPConn)
		}),
	)
})
