package conns_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/conns"
)

// maxEndlessBytes is how much an upstream may send without end before its connection is closed; most of it waits in the
// buffers of the system.
const maxEndlessBytes = 16 << 20

// endlessUpstream is an upstream that answers with a beginning and then repeats a piece until its connection is closed.
type endlessUpstream struct {
	address string
	sent    atomic.Int64
	ended   chan struct{}
}

func newEndlessUpstream(beginning, piece string) *endlessUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	upstream := &endlessUpstream{address: listener.Addr().String(), ended: make(chan struct{}, 8)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go upstream.serve(conn, beginning, strings.Repeat(piece, max(1, 8192/len(piece))))
		}
	}()
	return upstream
}

func (upstream *endlessUpstream) serve(conn net.Conn, beginning, pieces string) {
	defer conn.Close()
	defer func() { upstream.ended <- struct{}{} }()
	_, _ = conn.Read(make([]byte, 1024))
	_, err := conn.Write([]byte(beginning))
	for err == nil && upstream.sent.Load() < 4*maxEndlessBytes {
		count := 0
		count, err = conn.Write([]byte(pieces))
		upstream.sent.Add(int64(count))
	}
}

var _ = Describe("an upstream that sends bytes without end", func() {
	// Guards against a host that is ended for its memory by one head that has no end, and takes all its requests with it.
	DescribeTable("is given up in the head of an answer", func(beginning, piece string) {
		upstream := newEndlessUpstream(beginning, piece)
		pool := conns.NewPool()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		request, _ := http.NewRequest(http.MethodGet, "http://"+upstream.address+"/", nil)
		_, progress, err := pool.Send(ctx, upstream.address, request)
		Expect(err).To(MatchError(conns.ErrHeadTooLong))
		Expect(progress).To(Equal(conns.Sent))
		Eventually(upstream.ended, "20s").Should(Receive())
		Expect(upstream.sent.Load()).To(BeNumerically("<", maxEndlessBytes))
		Expect(pool.OpenConns(upstream.address)).To(BeZero())
	},
		Entry("in its status line", "HTTP/1.1 200 ", "x"),
		Entry("in one header", "HTTP/1.1 200 OK\r\nA: ", "x"),
		Entry("in many headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
		Entry("in informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("in bytes that are no answer", "", "\x00\x01"),
	)

	// Guards against answers that are given up though they are usual: some informational ones before one with long headers.
	It("is not taken for one that sends a long head", func() {
		head := strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 4) + "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 16<<10) + "\r\nContent-Length: 2\r\n\r\nok"
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				_, _ = conn.Read(make([]byte, 1024))
				_, _ = conn.Write([]byte(head))
			}
		}()
		request, _ := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/", nil)
		answer, _, err := conns.NewPool().Send(context.Background(), listener.Addr().String(), request)
		Expect(err).NotTo(HaveOccurred())
		defer answer.Close()
		Expect(answer.Status).To(Equal(200))
	})
})
