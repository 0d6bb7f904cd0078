package sock_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/sock"
)

func TestSock(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sock")
}

// connPair returns both ends of a connection over loopback.
func connPair() (net.Conn, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = near.Close() })
	far, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = far.Close() })
	return near, far
}

var _ = Describe("a reader", func() {
	buffer := make([]byte, 8)

	It("sees bytes that are unread in the socket, and those read and not counted", func() {
		near, far := connPair()
		reader := sock.NewReader(far)
		Expect(reader.HasMoreThan(0)).To(BeFalse())
		_, err := near.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return reader.HasMoreThan(0) }, "10s").Should(BeTrue())
		Expect(reader.StopUnlessMoreThan(0)).To(BeFalse())
		count, err := reader.Read(buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(count).To(Equal(3))
		Expect(reader.HasMoreThan(2)).To(BeTrue())
		Expect(reader.HasMoreThan(3)).To(BeFalse())
		Expect(reader.ReceivedBytes()).To(BeEquivalentTo(3))
	})

	It("can be stopped before unread bytes, and not once something was read", func() {
		near, far := connPair()
		reader := sock.NewReader(far)
		_, err := near.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return reader.HasMoreThan(0) }, "10s").Should(BeTrue())
		Expect(reader.StopUnlessReceived()).To(BeTrue())
		_, err = reader.Read(buffer)
		Expect(err).To(MatchError(net.ErrClosed))

		near, far = connPair()
		reader = sock.NewReader(far)
		_, err = near.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reader.Read(buffer)).To(BeNumerically(">", 0))
		Expect(reader.StopUnlessReceived()).To(BeFalse())
	})

	It("reads nothing once it has stopped", func() {
		near, far := connPair()
		reader := sock.NewReader(far)
		Expect(reader.StopUnlessMoreThan(0)).To(BeTrue())
		_, err := near.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return sock.IsReadable(far.(*net.TCPConn)) }, "10s").Should(BeTrue())
		_, err = reader.Read(buffer)
		Expect(err).To(MatchError(net.ErrClosed))
		Expect(reader.ReceivedBytes()).To(BeZero())
	})

	It("returns the end and a timeout as the connection does", func() {
		near, far := connPair()
		reader := sock.NewReader(far)
		Expect(far.SetReadDeadline(time.Now())).To(Succeed())
		_, err := reader.Read(buffer)
		var timeout net.Error
		Expect(err).To(BeAssignableToTypeOf(&net.OpError{}))
		timeout = err.(net.Error)
		Expect(timeout.Timeout()).To(BeTrue())
		Expect(far.SetReadDeadline(time.Time{})).To(Succeed())
		Expect(near.Close()).To(Succeed())
		_, err = reader.Read(buffer)
		Expect(err).To(Equal(io.EOF))
	})

	It("counts the bytes of a connection that is not a socket", func() {
		near, far := net.Pipe()
		reader := sock.NewReader(far)
		go func() { _, _ = near.Write([]byte("abc")) }()
		_, err := reader.Read(buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(reader.HasMoreThan(0)).To(BeTrue())
		Expect(reader.HasMoreThan(3)).To(BeFalse())
	})
})
