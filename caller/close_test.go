package caller_test

import (
	"net"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/caller"
)

// slowConn is a connection whose Close blocks until release is closed.
type slowConn struct {
	net.Conn
	once    *sync.Once
	closing chan struct{}
	release chan struct{}
}

func (conn slowConn) Close() error {
	conn.once.Do(func() { close(conn.closing) })
	<-conn.release
	return conn.Conn.Close()
}

// slowListener accepts connections whose Close blocks until release is closed.
type slowListener struct {
	net.Listener
	closing chan struct{}
	release chan struct{}
}

func (listener slowListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{Conn: conn, once: &sync.Once{}, closing: listener.closing, release: listener.release}, nil
}

var _ = Describe("a stopping host that closes connections slowly", func() {
	// Guards against a stop that exceeds its grace period: a host with thousands of connections and little processor time
	// could neither count nor accept connections until all idle ones were closed.
	It("can count them meanwhile", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(inner.Close)
		listener := slowListener{Listener: inner, closing: make(chan struct{}), release: make(chan struct{})}
		server := caller.New(http.HandlerFunc(echo))
		go server.Serve(listener)
		conn, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Eventually(server.OpenConns, testTimeout).Should(Equal(1))

		server.DisableKeepAlives()
		go server.CloseIdle()
		Eventually(listener.closing, testTimeout).Should(BeClosed())
		counted := make(chan int, 1)
		go func() { counted <- server.OpenConns() }()
		Eventually(counted, testTimeout).Should(Receive(Equal(1)))
		close(listener.release)
		Eventually(server.OpenConns, testTimeout).Should(BeZero())
	})
})
