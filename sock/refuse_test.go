package sock_test

import (
	"net"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/sock"
)

var _ = Describe("a listener that refuses new connections", func() {
	DescribeTable("keeps complete ones", func(address string) {
		listener, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		early, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(early.Close)

		Expect(sock.RefuseNewConnections(listener.(*net.TCPListener))).To(Succeed())

		_, err = net.Dial("tcp", listener.Addr().String())
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		accepted, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(accepted.Close)
		_, err = accepted.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		buffer := make([]byte, 1)
		Expect(early.Read(buffer)).To(Equal(1))
	},
		Entry("of IPv4", "127.0.0.1:0"),
		Entry("of IPv6", "[::1]:0"),
	)

	loopback := net.Interface{Index: 1, Name: "loopback", Flags: net.FlagLoopback | net.FlagUp}
	up := net.Interface{Index: 2, Name: "up", Flags: net.FlagUp}
	down := net.Interface{Index: 3, Name: "down"}
	DescribeTable("is bound to a device through which no caller comes", func(address string, devices []net.Interface, name string) {
		device, found := sock.UnusedDevice(net.ParseIP(address), devices)
		Expect(found).To(Equal(name != ""))
		Expect(device.Name).To(Equal(name))
	},
		Entry("to a device other than the loopback, for a loopback address", "127.0.0.7", []net.Interface{loopback, up}, "up"),
		Entry("to one that is down, for another address", "10.1.0.15", []net.Interface{loopback, up, down}, "down"),
		Entry("to the loopback, if all are up", "10.1.0.15", []net.Interface{up, loopback}, "loopback"),
		Entry("to the loopback, for all addresses", "::", []net.Interface{up, loopback}, "loopback"),
		Entry("to none, if callers come through the only one", "127.0.0.1", []net.Interface{loopback}, ""),
	)
})
