package fault_test

import (
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/fault"
)

func TestFault(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fault")
}

var _ = Describe("a proxy on a given address", func() {
	// Guards against a stand-in that fails to restart at its address: a child process that is just being started still
	// has a copy of the closed socket.
	It("waits while the address is in use", func() {
		holder, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listening := make(chan error, 1)
		go func() {
			proxy, err := fault.ListenAt(holder.Addr().String(), "127.0.0.1:1")
			if err == nil {
				proxy.Close()
			}
			listening <- err
		}()
		Consistently(listening, "100ms").ShouldNot(Receive())
		Expect(holder.Close()).To(Succeed())
		Eventually(listening, "10s").Should(Receive(BeNil()))
	})
})
