package drain_test

import (
	"context"
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
