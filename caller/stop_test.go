package caller_test

import (
	"net/http"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/caller"
	"cherrykeel/drain"
	"cherrykeel/fakes"
)

var _ = Describe("a host that stops while callers connect all the time", func() {
	// Guards against a caller that is reset or cut off while it connects, and cannot tell whether its request was read.
	It("refuses each of them, or answers it", func() {
		for range 10 {
			listener, err := drain.Listen("127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			server := caller.New(http.HandlerFunc(echo))
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				server.Serve(listener)
			}()
			callers := fakes.StartCallers(16, fakes.AskAnew("http://"+listener.Addr().String()))
			Eventually(callers.Answered, testTimeout).Should(BeNumerically(">", 100))

			server.DisableKeepAlives()
			Expect(listener.Stop()).To(Succeed())
			<-closed
			open := func() int {
				server.CloseIdle()
				return server.OpenConns()
			}
			Eventually(open, testTimeout, "1ms").Should(BeZero())

			Expect(callers.Failures()).To(HaveEach(MatchError(syscall.ECONNREFUSED)))
		}
	})
})
