package caller_test

import (
	"bufio"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/caller"
)

var _ = Describe("callers that open ever more connections", func() {
	// Guards against a host that runs out of descriptors: it accepts nothing while it says that it is ready, and cannot
	// answer the readiness check either.
	It("have their longest idle ones closed, and no busy one", func() {
		release := make(chan struct{})
		handler := http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/busy" {
				<-release
			}
		})
		const limit = 16
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := caller.New(handler, caller.WithConnLimit(limit))
		go server.Serve(listener)
		DeferCleanup(listener.Close)
		connect := func(path string) (net.Conn, *bufio.Reader) {
			socket, err := net.Dial("tcp", listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(socket.Close)
			send(socket, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			return socket, bufio.NewReader(socket)
		}
		_, busy := connect("/busy")
		for range limit - 1 {
			_, answers := connect("/")
			status, _, _ := readAnswer(answers)
			Expect(status).To(Equal(http.StatusOK))
		}
		time.Sleep(time.Second)
		for range 3 * limit {
			_, answers := connect("/")
			status, _, _ := readAnswer(answers)
			Expect(status).To(Equal(http.StatusOK), "a new connection is served")
			if server.OpenConns() <= limit {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		Expect(server.OpenConns()).To(BeNumerically("<=", limit))
		close(release)
		status, _, _ := readAnswer(busy)
		Expect(status).To(Equal(http.StatusOK))
	})
})
