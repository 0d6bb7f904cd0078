package drain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/drain"
	"cherrykeel/fakes"
	"cherrykeel/sock"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

var _ = Describe("a server that stops", func() {
	var (
		listener *drain.Listener
		server   *drain.Server
		release  chan struct{}
		entered  chan struct{}
		failed   chan error
		stopped  chan error
	)

	BeforeEach(func() {
		var err error
		listener, err = drain.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		release = make(chan struct{})
		entered = make(chan struct{}, 10)
		handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/slow" {
				entered <- struct{}{}
				<-release
			}
			_, _ = io.WriteString(writer, "whole")
		})
		server = drain.New(&http.Server{Handler: handler}, listener)
		failed = make(chan error, 1)
		go func(server *drain.Server, failed chan<- error) { failed <- server.Serve() }(server, failed)
		stopped = make(chan error, 1)
	})

	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn
	}
	send := func(conn net.Conn, path string) {
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: any\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
	}
	read := func(conn net.Conn) {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("whole"))
		Expect(response.Close).To(BeTrue())
	}
	// stop returns when the listener is closed, so that the following steps come after the stop began.
	stop := func() {
		go func() { stopped <- server.Stop(context.Background()) }()
		Eventually(failed, "10s").Should(Receive(BeNil()))
	}

	// Guards against a caller that cannot tell whether its request ran: it connects, and the host stops before the request
	// arrives. http.Server.Shutdown alone reads that request and closes the connection without an answer.
	It("answers the first request of a connection that it had accepted", func() {
		conn := dial()
		stop()
		send(conn, "/")
		read(conn)
		Eventually(stopped, "10s").Should(Receive(BeNil()))
	})

	It("answers a running request, and meanwhile the first one of another connection", func() {
		slow := dial()
		send(slow, "/slow")
		Eventually(entered, "10s").Should(Receive())
		late := dial()
		stop()
		send(late, "/")
		read(late)
		Consistently(stopped, "100ms").ShouldNot(Receive())
		close(release)
		read(slow)
		Eventually(stopped, "10s").Should(Receive(BeNil()))
	})

	// Guards against dropping a request that has arrived on a kept-alive connection, since the server has not read it yet.
	It("answers a request that arrived on a kept-alive connection before the stop", func() {
		before := runtime.GOMAXPROCS(1)
		DeferCleanup(func() { runtime.GOMAXPROCS(before) })
		kept := dial()
		reader := bufio.NewReader(kept)
		send(kept, "/")
		first, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(first.Body)
		Expect(err).NotTo(HaveOccurred())
		for range 100 {
			runtime.Gosched()
		}
		server.DisableKeepAlives()
		send(kept, "/")
		Expect(server.Stop(context.Background())).To(Succeed())
		second, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Close).To(BeTrue())
	})

	// Guards against a stop that closes a connection as idle although a second request on it has been read, and so cuts the
	// answer to that request.
	It("answers a request behind an answer that did not close the connection", func() {
		ended := make(chan struct{})
		checking := make(chan struct{})
		go func(server *drain.Server) {
			defer close(checking)
			for {
				select {
				case <-ended:
					return
				default:
					drain.CloseIdle(server)
				}
			}
		}(server)
		for range 500 {
			conn := dial()
			_, err := io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: any\r\n\r\n", 2))
			Expect(err).NotTo(HaveOccurred())
			reader := bufio.NewReader(conn)
			for range 2 {
				response, err := http.ReadResponse(reader, nil)
				Expect(err).NotTo(HaveOccurred())
				_, err = io.ReadAll(response.Body)
				Expect(err).NotTo(HaveOccurred())
			}
		}
		close(ended)
		<-checking
	})

	It("closes a kept-alive connection on which nothing arrives", func() {
		kept := dial()
		send(kept, "/")
		reader := bufio.NewReader(kept)
		first, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(first.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Stop(context.Background())).To(Succeed())
		_, err = reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("closes the remaining connections when its context ends", func() {
		conn := dial()
		send(conn, "/slow")
		Eventually(entered, "10s").Should(Receive())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(server.Stop(ctx)).NotTo(Succeed())
		got, _ := io.ReadAll(conn)
		Expect(got).To(BeEmpty())
		close(release)
	})
})

var _ = Describe("a connection of a server", func() {
	// Guards against callers that wait half a second for the close of a connection whose request was refused unread.
	It("can be half-closed", func() {
		near, far := connPair()
		Expect(far.(interface{ CloseWrite() error }).CloseWrite()).To(Succeed())
		_, err := io.ReadAll(near)
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("a connection whose read deadline has passed", func() {
	// Guards against a request that arrived in time and is reset unread, since the host was suspended until the deadline.
	It("returns once what has arrived", func() {
		near, far := connPair()
		_, err := near.Write([]byte("ab"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return sock.HasUnacknowledged(near.(*net.TCPConn)) }, "10s").Should(BeFalse())
		Expect(far.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())

		buffer := make([]byte, 1)
		Expect(far.Read(buffer)).To(Equal(1))
		_, err = far.Read(buffer)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})
})

var _ = Describe("a server with keep-alives disabled", func() {
	// Guards against a connection that stays open after the answer to a request that was running when the stop began, and
	// is then closed under its caller's next request.
	DescribeTable("closes the connection with each answer", func(write func(http.ResponseWriter)) {
		listener, err := drain.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		inner := &http.Server{}
		var server *drain.Server
		inner.Handler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			server.DisableKeepAlives()
			write(writer)
		})
		server = drain.New(inner, listener)
		recorder := httptest.NewRecorder()
		inner.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		Expect(recorder.Header().Get("Connection")).To(Equal("close"))
	},
		Entry("with a status", func(writer http.ResponseWriter) { writer.WriteHeader(http.StatusOK) }),
		Entry("with a body only", func(writer http.ResponseWriter) { _, _ = writer.Write([]byte("x")) }),
		Entry("with nothing", func(http.ResponseWriter) {}),
	)
})

var _ = Describe("a listener that stops", func() {
	// Guards against resetting callers that cannot tell whether their requests ran: callers connect faster than the host
	// accepts, and the host stops while some connections are established but not accepted.
	It("accepts the established connections before it closes", func() {
		listener, err := drain.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		var early []net.Conn
		for range 3 {
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			early = append(early, conn)
		}
		listener.Stop()
		for range early {
			conn, err := listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(conn, "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed())
		}
		_, err = listener.Accept()
		Expect(err).To(MatchError(net.ErrClosed))
		_, err = net.Dial("tcp", address)
		Expect(err).To(HaveOccurred())
		for _, conn := range early {
			got, err := io.ReadAll(conn)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got)).To(Equal("x"))
		}
	})

	// Guards against a caller that is reset while it connects, and cannot tell whether its request was read.
	It("refuses or answers each caller that connects while it closes", func() {
		for range 30 {
			listener, err := drain.Listen("127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			address := listener.Addr().String()
			go echoAll(listener)
			callers := fakes.StartCallers(16, func() error { return requestEcho(address) })
			Eventually(callers.Answered, "10s").Should(BeNumerically(">", 100))
			Expect(listener.Stop()).To(Succeed())
			Expect(callers.Failures()).To(HaveEach(MatchError(syscall.ECONNREFUSED)))
		}
	})

	It("ends a waiting Accept", func() {
		listener, err := drain.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		go func() {
			_, err := listener.Accept()
			ended <- err
		}()
		listener.Stop()
		Eventually(ended, "10s").Should(Receive(MatchError(net.ErrClosed)))
	})
})

// requestEcho connects, sends a byte and reads it back.
func requestEcho(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = conn.Write([]byte("x"))
	if err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

// echoAll sends the first byte of each connection back until the listener is closed.
func echoAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			_, _ = io.CopyN(conn, conn, 1)
		}()
	}
}

// connPair returns both ends of a connection, the far one as wrapped by a Server that is not stopping.
func connPair() (net.Conn, net.Conn) {
	return connPairWith(new(atomic.Bool), time.Minute)
}

// connPairWith is connPair with a Server that may be stopping, and a timeout for unused connections.
func connPairWith(stopping *atomic.Bool, firstRequestTimeout time.Duration) (net.Conn, net.Conn) {
	listener, err := drain.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	near, err := net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(near.Close)
	far, err := drain.TrackingListener(listener, stopping, firstRequestTimeout).Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(far.Close)
	return near, far
}
