package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/conns"
)

func TestConns(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "conns")
}

// serveScript answers each request of a connection with the next text, and closes the connection at "close".
func serveScript(texts ...string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer := make([]byte, 4096)
				for _, text := range texts {
					if text == "close" {
						return
					}
					if _, err := conn.Read(buffer); err != nil {
						return
					}
					_, _ = conn.Write([]byte(text))
				}
				time.Sleep(time.Second)
			}()
		}
	}()
	return listener.Addr().String()
}

func get(pool *conns.Pool, ctx context.Context, address string) (string, conns.Progress, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	answer, progress, err := pool.Send(ctx, address, request)
	if err != nil {
		return "", progress, err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), progress, err
}

const fullAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"

var _ = Describe("a pool of connections", func() {
	// Guards against answers to the wrong request: if the connection were reused after an upstream sent an unrequested
	// second answer on it, the next caller would get that answer.
	It("does not reuse a connection on which an unrequested answer has arrived", func() {
		pool := conns.NewPool()
		address := serveScript(fullAnswer+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", fullAnswer)
		for range 3 {
			body, _, err := get(pool, context.Background(), address)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("first"))
		}
	})

	It("reuses a connection after a complete answer", func() {
		pool := conns.NewPool()
		address := serveScript(fullAnswer, strings.Replace(fullAnswer, "first", "again", 1))
		body, _, _ := get(pool, context.Background(), address)
		Expect(body).To(Equal("first"))
		body, _, _ = get(pool, context.Background(), address)
		Expect(body).To(Equal("again"))
		Expect(pool.OpenConns(address)).To(Equal(1))
	})

	DescribeTable("distinguishes a broken answer from a complete one", func(text string, progress conns.Progress, failure error) {
		pool := conns.NewPool()
		address := serveScript(text, "close")
		_, got, err := get(pool, context.Background(), address)
		Expect(err).To(MatchError(failure))
		Expect(got).To(Equal(progress))
		Expect(pool.OpenConns(address)).To(BeZero())
	},
		Entry("closed before the head", "HTTP", conns.Sent, conns.ErrBroken),
		Entry("closed within the head", "HTTP/1.1 200 OK\r\nContent-", conns.Sent, conns.ErrBroken),
		Entry("not HTTP", "220 hello\r\n\r\n", conns.Sent, conns.ErrBroken),
		Entry("no length", "HTTP/1.1 200 OK\r\n\r\nbody", conns.AnswerBegun, conns.ErrCloseDelimited),
		Entry("a chunk that ends early", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfir", conns.AnswerBegun, conns.ErrBroken),
	)

	It("reports that nothing was sent to an unreachable address, and that the request was sent when its caller cancels it", func() {
		pool := conns.NewPool()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		gone := listener.Addr().String()
		_ = listener.Close()
		_, progress, err := get(pool, context.Background(), gone)
		Expect(err).To(MatchError(conns.ErrConnect))
		Expect(progress).To(Equal(conns.NotSent))

		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, progress, err = get(pool, ctx, serveScript())
		Expect(err).To(MatchError(conns.ErrBroken))
		Expect(progress).To(Equal(conns.Sent))
	})

	It("makes no more connections than the limit of the address", func() {
		pool := conns.NewPool()
		address := serveScript()
		pool.SetLimit(address, 1)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _, _ = get(pool, ctx, address)
		}()
		Eventually(func() int { return pool.OpenConns(address) }, "10s").Should(Equal(1))
		_, progress, err := get(pool, context.Background(), address)
		Expect(err).To(MatchError(conns.ErrConnLimit))
		Expect(progress).To(Equal(conns.NotSent))
		cancel()
		<-ended
		Expect(pool.OpenConns(address)).To(BeZero())
	})
})
