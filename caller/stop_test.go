package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/caller"
	"cherrykeel/drain"
	"cherrykeel/fakes"
	"cherrykeel/sock"
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

var _ = Describe("a request behind an unanswered one, on a connection of a stopping host", func() {
	const first = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"

	// Guards against an answer that was there and is cut, since it waited for one that outlasts the host.
	DescribeTable("is not begun, and the answer before it closes the connection", func(behind string) {
		begun := make(chan struct{})
		release := make(chan struct{})
		var others atomic.Int32
		server, connect := serve(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != "/first" {
				others.Add(1)
				return
			}
			close(begun)
			<-release
			_, _ = io.WriteString(writer, "whole")
		})
		socket := connect()
		send(socket, first)
		Eventually(begun, testTimeout).Should(BeClosed())
		server.DisableKeepAlives()
		send(socket, behind)
		Eventually(func() bool { return sock.HasUnacknowledged(socket.(*net.TCPConn)) }, testTimeout).Should(BeFalse())
		Consistently(others.Load, "200ms").Should(BeZero())
		close(release)

		reader := bufio.NewReader(socket)
		status, body, header := readAnswer(reader)
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("whole"))
		Expect(header.Get("Connection")).To(Equal("close"))
		_, err := reader.ReadByte()
		Expect(err).To(Equal(io.EOF))
		Eventually(server.OpenConns, testTimeout).Should(BeZero())
		Expect(others.Load()).To(BeZero())
	},
		Entry("one", "GET /second HTTP/1.1\r\nHost: h\r\n\r\n"),
		Entry("many", strings.Repeat("GET /second HTTP/1.1\r\nHost: h\r\n\r\n", 100)),
		Entry("one that changes something", "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"),
		Entry("half of one", "GET /second HTT"),
	)

	// Guards against a stopping host that drops what it has begun: both requests were accepted before the stop.
	It("is answered if it was accepted before the stop", func() {
		var begun atomic.Int32
		release := make(chan struct{})
		server, connect := serve(func(writer http.ResponseWriter, request *http.Request) {
			begun.Add(1)
			<-release
			_, _ = io.WriteString(writer, request.URL.Path)
		})
		socket := connect()
		send(socket, first+"GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(begun.Load, testTimeout).Should(Equal(int32(2)))
		server.DisableKeepAlives()
		close(release)
		reader := bufio.NewReader(socket)
		_, body, header := readAnswer(reader)
		Expect(body).To(Equal("/first"))
		Expect(header.Get("Connection")).To(BeEmpty())
		_, body, header = readAnswer(reader)
		Expect(body).To(Equal("/second"))
		Expect(header.Get("Connection")).To(Equal("close"))
	})

	// Guards against a reset that costs a slow caller the rest of its answer, since it has sent a further request.
	It("does not cost its caller the rest of the answer before it", func() {
		const size = 128 << 10
		server, connect := serve(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(make([]byte, size)) })
		server.DisableKeepAlives()
		slow := connect().(*net.TCPConn)
		Expect(slow.SetReadBuffer(4 << 10)).To(Succeed())
		send(slow, first)
		reader := bufio.NewReader(slow)
		answer, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Close).To(BeTrue())
		time.Sleep(500 * time.Millisecond)
		send(slow, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(slow.SetReadBuffer(1 << 20)).To(Succeed())
		body, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(size))
		_, err = reader.ReadByte()
		Expect(err).To(Equal(io.EOF))
	})

	// Guards against a connection that closes although its last answer did not say so.
	It("is answered if the answer before it has left with the connection kept", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(inner.Close)
		release := make(chan struct{})
		server := caller.New(http.HandlerFunc(echo))
		go server.Serve(&heldListener{Listener: inner, release: release})
		socket, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		reader := bufio.NewReader(socket)
		send(socket, first)
		_, _, header := readAnswer(reader)
		Expect(header.Get("Connection")).To(BeEmpty())
		server.DisableKeepAlives()
		send(socket, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(func() bool { return sock.HasUnacknowledged(socket.(*net.TCPConn)) }, testTimeout).Should(BeFalse())
		close(release)
		_, body, header := readAnswer(reader)
		Expect(body).To(Equal("GET /second "))
		Expect(header.Get("Connection")).To(Equal("close"))
	})
})
