package main

import (
	"context"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	adapter "cherrykeel/platform"
)

var _ = Describe("connections for grants", func() {
	// Guards against an upstream that gets a grant after the host has given it up: if the network fails during the
	// request and the host only closes the connection, its kernel retransmits the bytes until the network is back. A
	// reset discards what was not delivered.
	It("are reset when a grant is given up", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		ended := make(chan error, 1)
		go func() {
			conn, err := listener.Accept()
			buffer := make([]byte, 4096)
			for err == nil {
				_, err = conn.Read(buffer)
			}
			ended <- err
		}()
		granter := adapter.NewGranter(newTransport((&net.Dialer{}).DialContext, grantIdleTimeout), cherrykeel.BootTimeClock())
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		grant := cherrykeel.SpanGrant{Span: cherrykeel.KeySpan{First: 1, Last: 2}, Fence: 1, LeaseDuration: time.Second}
		err = granter.Grant(ctx, cherrykeel.Upstream{ID: "i-1", Address: listener.Addr().String()}, grant)
		Expect(err).To(MatchError(cherrykeel.ErrNoAnswer))
		Eventually(ended, "20s").Should(Receive(MatchError(syscall.ECONNRESET)))
	})
})
