package drain_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/drain"
)

var _ = Describe("a server whose accepting does not end", func() {
	// Guards against a host that has run out of descriptors and never stops: accepting fails again and again, so that the
	// waiting connection is never accepted. In this test nothing accepts at all.
	It("stops when its context ends", func() {
		listener, err := drain.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := drain.New(&http.Server{Handler: http.NotFoundHandler()}, listener)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		DeferCleanup(cancel)
		stopped := make(chan error, 1)
		go func() { stopped <- server.Stop(ctx) }()
		Eventually(stopped, "30s").Should(Receive())
	})
})

var _ = Describe("a server whose stop cuts a request", func() {
	// Guards against reporting that no request was cut, since its handler has noticed the closed connection and returned.
	It("counts the request", func() {
		listener, err := drain.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		entered, returned := make(chan struct{}), make(chan struct{})
		server := drain.New(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			close(entered)
			<-request.Context().Done()
			close(returned)
		})}, listener)
		go func() { _ = server.Serve() }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: any\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(entered, "10s").Should(BeClosed())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(server.Stop(ctx)).To(MatchError(context.Canceled))
		Eventually(returned, "10s").Should(BeClosed())
		Expect(server.Aborted()).To(BeEquivalentTo(1))
	})
})
