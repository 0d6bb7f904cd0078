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

// pair returns both ends of a connection over loopback.
func pair() (net.Conn, net.Conn) {
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

var _ = Describe("an intake", func() {
	buffer := make([]byte, 8)

	It("knows of bytes that lie in the socket, and of those read and not counted", func() {
		near, far := pair()
		intake := sock.NewReader(far)
		Expect(intake.HasMoreThan(0)).To(BeFalse())
		_, err := near.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return intake.HasMoreThan(0) }, "10s").Should(BeTrue())
		Expect(intake.StopUnlessMoreThan(0)).To(BeFalse())
		count, err := intake.Read(buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(count).To(Equal(3))
		Expect(intake.HasMoreThan(2)).To(BeTrue())
		Expect(intake.HasMoreThan(3)).To(BeFalse())
		Expect(intake.ReceivedBytes()).To(BeEquivalentTo(3))
	})

	It("can be shut over bytes that lie in the socket, and not once something was read", func() {
		near, far := pair()
		intake := sock.NewReader(far)
		_, err := near.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return intake.HasMoreThan(0) }, "10s").Should(BeTrue())
		Expect(intake.StopUnlessReceived()).To(BeTrue())
		_, err = intake.Read(buffer)
		Expect(err).To(MatchError(net.ErrClosed))

		near, far = pair()
		intake = sock.NewReader(far)
		_, err = near.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		Expect(intake.Read(buffer)).To(BeNumerically(">", 0))
		Expect(intake.StopUnlessReceived()).To(BeFalse())
	})

	It("reads nothing once it is shut", func() {
		near, far := pair()
		intake := sock.NewReader(far)
		Expect(intake.StopUnlessMoreThan(0)).To(BeTrue())
		_, err := near.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return sock.IsReadable(far.(*net.TCPConn)) }, "10s").Should(BeTrue())
		_, err = intake.Read(buffer)
		Expect(err).To(MatchError(net.ErrClosed))
		Expect(intake.ReceivedBytes()).To(BeZero())
	})

	It("gives the end and a timeout as the connection does", func() {
		near, far := pair()
		intake := sock.NewReader(far)
		Expect(far.SetReadDeadline(time.Now())).To(Succeed())
		_, err := intake.Read(buffer)
		var timeout net.Error
		Expect(err).To(BeAssignableToTypeOf(&net.OpError{}))
		timeout = err.(net.Error)
		Expect(timeout.Timeout()).To(BeTrue())
		Expect(far.SetReadDeadline(time.Time{})).To(Succeed())
		Expect(near.Close()).To(Succeed())
		_, err = intake.Read(buffer)
		Expect(err).To(Equal(io.EOF))
	})

	It("counts the bytes of a connection that is no socket", func() {
		near, far := net.Pipe()
		intake := sock.NewReader(far)
		go func() { _, _ = near.Write([]byte("abc")) }()
		_, err := intake.Read(buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(intake.HasMoreThan(0)).To(BeTrue())
		Expect(intake.HasMoreThan(3)).To(BeFalse())
	})
})
