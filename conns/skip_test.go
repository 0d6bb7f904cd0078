package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/conns"
)

var _ = Describe("the answer behind a skipped one", func() {
	// Guards against requests that are held for an answer whose caller has left, or whose time was up, just before.
	It("is not waited for once the context has ended", func() {
		address := serveConns(func(_ int64, conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 1024))
			_, _ = io.WriteString(conn, fullAnswer)
			_, _ = conn.Read(make([]byte, 1))
		})
		request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		answer, _, err := conns.NewPool().SendWithOptions(ctx, address, request, conns.SendOptions{MaxIdle: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		defer answer.Close()
		cancel()
		time.Sleep(50 * time.Millisecond)
		skipped := make(chan error, 1)
		go func() { skipped <- answer.Skip(1<<20, time.Minute) }()
		Eventually(skipped, "20s").Should(Receive(MatchError(conns.ErrBroken)))
	})
})
