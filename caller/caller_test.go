package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/caller"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

const testTimeout = "20s"

// serve starts a server, and returns it and a function that connects to it.
func serve(handler http.HandlerFunc, options ...caller.Option) (*caller.Server, func() net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	server := caller.New(handler, options...)
	go server.Serve(listener)
	return server, func() net.Conn {
		socket, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = socket.Close() })
		_ = socket.SetDeadline(time.Now().Add(time.Minute))
		return socket
	}
}

func echo(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	_, _ = io.WriteString(writer, request.Method+" "+request.RequestURI+" "+string(body))
}

func send(socket net.Conn, text string) {
	GinkgoHelper()
	_, err := io.WriteString(socket, text)
	Expect(err).NotTo(HaveOccurred())
}

// readAnswer reads one answer. It adds "Connection: close", which ReadResponse removes, to the header again.
func readAnswer(reader *bufio.Reader) (int, string, http.Header) {
	GinkgoHelper()
	response, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred())
	if response.Close {
		response.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body), response.Header
}

func withLimits(change func(*cherrykeel.CallerLimits)) caller.Option {
	return caller.WithLimits(func() cherrykeel.CallerLimits {
		limits := caller.DefaultLimits()
		change(&limits)
		return limits
	})
}

// heldListener accepts connections whose writes send their bytes at once, but return only after release is closed.
type heldListener struct {
	net.Listener
	release chan struct{}
}

func (listener *heldListener) Accept() (net.Conn, error) {
	socket, err := listener.Listener.Accept()
	return &heldConn{Conn: socket, release: listener.release}, err
}

type heldConn struct {
	net.Conn
	release chan struct{}
}

func (conn *heldConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	<-conn.release
	return count, err
}

var _ = Describe("callers' connections", func() {
	DescribeTable("serves valid requests", func(text, expected string) {
		_, connect := serve(echo)
		socket := connect()
		send(socket, text)
		status, body, _ := readAnswer(bufio.NewReader(socket))
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal(expected))
	},
		Entry("without a body", "GET /a/b?c=%20d HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a/b?c=%20d "),
		Entry("with a length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "POST /a abc"),
		Entry("in chunks", "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: x\r\n\r\n", "PUT /a abcde"),
		Entry("after an empty line", "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / "),
	)

	// Guards against request smuggling: if two parsers read a request differently, part of its body can be served as a
	// request that no caller sent. The answer is 400 and the connection closes, so that no later bytes are parsed.
	DescribeTable("refuses requests that two parsers could read differently", func(text string) {
		var served atomic.Int32
		_, connect := serve(func(writer http.ResponseWriter, request *http.Request) { served.Add(1) })
		socket := connect()
		send(socket, text+"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
		reader := bufio.NewReader(socket)
		status, _, header := readAnswer(reader)
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(header.Get("Connection")).To(Equal("close"))
		_, err := reader.ReadByte()
		Expect(err).To(Equal(io.EOF))
		Expect(served.Load()).To(BeZero())
	},
		Entry("a length and chunks", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		Entry("two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcde"),
		Entry("two equal lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nabcde"),
		Entry("a list of lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5, 5\r\n\r\nabcde"),
		Entry("a signed length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nabcde"),
		Entry("a negative length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\nabcde"),
		Entry("two codings", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		Entry("another coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
		Entry("an unknown coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"),
		Entry("a space before the colon", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\nabcde"),
		Entry("a folded line", "POST / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n"),
		Entry("a bare line feed", "POST / HTTP/1.1\r\nHost: h\nContent-Length: 5\r\n\r\nabcde"),
		Entry("a bare carriage return in a value", "POST / HTTP/1.1\r\nHost: h\r\nX: a\rContent-Length: 5\r\n\r\n"),
		Entry("two Host headers", "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"),
		Entry("no Host header", "GET / HTTP/1.1\r\nX: y\r\n\r\n"),
		Entry("a target with a space", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n"),
		Entry("another protocol", "GET / HTTP/2.0\r\nHost: h\r\n\r\n"),
		Entry("a chunk size with a sign", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n"),
		Entry("a chunk longer than its size", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n"),
		Entry("a chunk line without carriage return", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n"),
	)

	DescribeTable("limits what a caller may send", func(text string, expected int) {
		_, connect := serve(echo, withLimits(func(limits *cherrykeel.CallerLimits) {
			limits.HeaderBytes = 200
			limits.BodyBytes = 10
			limits.HeaderTimeout = 50 * time.Millisecond
		}))
		socket := connect()
		send(socket, text)
		status, _, _ := readAnswer(bufio.NewReader(socket))
		Expect(status).To(Equal(expected))
	},
		Entry("a large head", "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 300)+"\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge),
		Entry("a large body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", http.StatusRequestEntityTooLarge),
		Entry("a large body in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nabcdefgh\r\n8\r\n", http.StatusRequestEntityTooLarge),
		Entry("a head that does not end", "GET / HTTP/1.1\r\nHo", http.StatusRequestTimeout),
	)

	// Guards against a host that is killed with all its requests, since callers send bodies of up to 64 MiB each and the
	// host may use less memory than that. A body beyond the limit is refused, and its request does not run.
	It("refuses a body that exceeds the memory left for bodies", func() {
		hold := make(chan struct{})
		DeferCleanup(func() { close(hold) })
		_, connect := serve(func(http.ResponseWriter, *http.Request) { <-hold }, caller.WithBodyMemoryLimit(100<<10))
		first := connect()
		send(first, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n"+strings.Repeat("x", 50000))
		Eventually(func() int {
			socket := connect()
			send(socket, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n")
			status, _, header := readAnswer(bufio.NewReader(socket))
			Expect(header.Get("Retry-After")).NotTo(BeEmpty())
			return status
		}, testTimeout).Should(Equal(http.StatusServiceUnavailable))
	})

	// Three safe requests arrive at once and run concurrently. The answers have the order of the requests, although the
	// first one is ready last.
	It("runs pipelined requests concurrently and answers them in order", func() {
		started := make(chan string, 3)
		release := map[string]chan struct{}{"/1": make(chan struct{}), "/2": make(chan struct{}), "/3": make(chan struct{})}
		_, connect := serve(func(writer http.ResponseWriter, request *http.Request) {
			started <- request.URL.Path
			<-release[request.URL.Path]
			_, _ = io.WriteString(writer, request.URL.Path)
		})
		socket := connect()
		send(socket, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
		for range 3 {
			Eventually(started, testTimeout).Should(Receive())
		}
		close(release["/3"])
		close(release["/2"])
		close(release["/1"])
		reader := bufio.NewReader(socket)
		for _, path := range []string{"/1", "/2", "/3"} {
			_, body, _ := readAnswer(reader)
			Expect(body).To(Equal(path))
		}
	})

	// Guards against an unsafe request that runs twice: it is pipelined behind a safe one, the connection closes after the
	// first answer, and the caller sends it again while it runs.
	It("starts an unsafe request only after the answers before it", func() {
		started := make(chan string, 2)
		release := make(chan struct{})
		_, connect := serve(func(_ http.ResponseWriter, request *http.Request) {
			started <- request.Method
			if request.Method == http.MethodGet {
				<-release
			}
		})
		socket := connect()
		send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		Eventually(started, testTimeout).Should(Receive(Equal("GET")))
		Consistently(started, "100ms").ShouldNot(Receive())
		close(release)
		Eventually(started, testTimeout).Should(Receive(Equal("POST")))
	})

	// Guards against upstreams that go on working for a caller that has closed its connection while its requests run, one
	// of them unread behind the others. net/http no longer watches a connection on which further bytes have arrived.
	It("cancels the requests of a caller that disconnects, also behind pipelined bytes", func() {
		ended := make(chan struct{}, 4)
		started := make(chan struct{}, 4)
		_, connect := serve(func(_ http.ResponseWriter, request *http.Request) {
			started <- struct{}{}
			<-request.Context().Done()
			ended <- struct{}{}
		})
		socket := connect()
		send(socket, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nPOST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
		Eventually(started, testTimeout).Should(Receive())
		Eventually(started, testTimeout).Should(Receive())
		_ = socket.Close()
		Eventually(ended, testTimeout).Should(Receive())
		Eventually(ended, testTimeout).Should(Receive())
	})

	// Guards against a stop that cuts off a caller. Running requests are answered whole, each connection closes after its
	// next answer, and idle connections are closed.
	It("stops without cutting an answer", func() {
		release := make(chan struct{})
		started := make(chan struct{}, 1)
		server, connect := serve(func(writer http.ResponseWriter, _ *http.Request) {
			started <- struct{}{}
			<-release
			_, _ = io.WriteString(writer, "whole")
		})
		idle := connect()
		busy := connect()
		send(busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(started, testTimeout).Should(Receive())
		Eventually(server.OpenConns, testTimeout).Should(Equal(2))
		server.DisableKeepAlives()
		server.CloseIdle()
		_, err := bufio.NewReader(idle).ReadByte()
		Expect(err).To(Equal(io.EOF))
		close(release)
		reader := bufio.NewReader(busy)
		status, body, header := readAnswer(reader)
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("whole"))
		Expect(header.Get("Connection")).To(Equal("close"))
		Eventually(server.OpenConns, testTimeout).Should(BeZero())
	})

	It("reads a large body in many small chunks", func() {
		_, connect := serve(func(writer http.ResponseWriter, request *http.Request) {
			body, _ := io.ReadAll(request.Body)
			_, _ = io.WriteString(writer, strconv.Itoa(len(body)))
		})
		socket := connect()
		go func() {
			_, _ = io.WriteString(socket, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			_, _ = io.WriteString(socket, strings.Repeat("10\r\n0123456789abcdef\r\n", 100000)+"0\r\n\r\n")
		}()
		_, body, _ := readAnswer(bufio.NewReader(socket))
		Expect(body).To(Equal("1600000"))
	})

	It("closes a connection that was idle for too long", func() {
		_, connect := serve(echo, withLimits(func(limits *cherrykeel.CallerLimits) { limits.IdleTimeout = 30 * time.Millisecond }))
		_, err := bufio.NewReader(connect()).ReadByte()
		Expect(err).To(Equal(io.EOF))
	})

	// Guards against a connection that closes as soon as its answer is written, under the caller's next request: a request
	// takes longer than the idle timeout, and the idle time counts from the request.
	It("counts idle time from the last answer", func() {
		running := make(chan struct{})
		_, connect := serve(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/slow" {
				<-running
			}
			_, _ = io.WriteString(writer, "done")
		}, withLimits(func(limits *cherrykeel.CallerLimits) { limits.IdleTimeout = 10 * time.Millisecond }))
		conn := connect()
		reader := bufio.NewReader(conn)
		for _, path := range []string{"/slow", "/"} {
			_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: any\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			if path == "/slow" {
				time.Sleep(1300 * time.Millisecond)
				close(running)
			}
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("done"))
		}
	})

	// The operator increases the idle timeout while a connection is idle, and callers rely on the new one.
	It("applies the idle timeout that is in force when the idle time ends", func() {
		var limit atomic.Int64
		limit.Store(int64(10 * time.Millisecond))
		_, connect := serve(echo, caller.WithLimits(func() cherrykeel.CallerLimits {
			limits := caller.DefaultLimits()
			limits.IdleTimeout = time.Duration(limit.Load())
			return limits
		}))
		conn := connect()
		time.Sleep(100 * time.Millisecond)
		limit.Store(int64(time.Minute))
		time.Sleep(1300 * time.Millisecond)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: any\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
	})

	It("closes the connection without a byte when the handler aborts", func() {
		_, connect := serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		socket := connect()
		send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_, err := bufio.NewReader(socket).ReadByte()
		Expect(err).To(HaveOccurred())
	})

	// Guards against a caller that never receives the 100 for a body that it holds back: it sends the request as soon as
	// it has the previous answer, which still counts as unwritten at that moment.
	It("requests a body behind an answer that has just been written", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		held := &heldListener{Listener: listener, release: make(chan struct{})}
		go caller.New(http.HandlerFunc(echo)).Serve(held)
		socket, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		_ = socket.SetDeadline(time.Now().Add(time.Minute))
		reader := bufio.NewReader(socket)
		send(socket, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		_, body, _ := readAnswer(reader)
		Expect(body).To(Equal("GET /x "))
		send(socket, "POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
		time.AfterFunc(300*time.Millisecond, func() { close(held.release) })
		proceed, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(proceed.StatusCode).To(Equal(http.StatusContinue))
		send(socket, "ok")
		_, body, _ = readAnswer(reader)
		Expect(body).To(Equal("POST /y ok"))
	})

	It("sends no body for HEAD, and requests a body that is held back", func() {
		_, connect := serve(echo)
		socket := connect()
		reader := bufio.NewReader(socket)
		send(socket, "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n")
		head, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
		Expect(err).NotTo(HaveOccurred())
		Expect(head.StatusCode).To(Equal(http.StatusOK))
		send(socket, "POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
		proceed, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(proceed.StatusCode).To(Equal(http.StatusContinue))
		send(socket, "ok")
		_, body, _ := readAnswer(reader)
		Expect(body).To(Equal("POST /y ok"))
	})
})
