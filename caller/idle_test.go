package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cherrykeel"
	"cherrykeel/caller"
	"cherrykeel/events"
	"cherrykeel/sock"
)

// useOneProcessor lets only one goroutine run at a time, as on a host that is short of processor time: what arrives on a
// socket stays unread until the running goroutine yields.
func useOneProcessor() {
	before := runtime.GOMAXPROCS(1)
	DeferCleanup(func() { runtime.GOMAXPROCS(before) })
}

// yieldTimes yields to other goroutines the given number of times.
func yieldTimes(times int) {
	for range times {
		runtime.Gosched()
	}
}

const (
	// maxSteps exceeds the number of goroutine switches until a request is accepted.
	maxSteps = 12
	// roundsPerStep is how often each number of switches is tried.
	roundsPerStep = 5
)

var _ = Describe("connections that a stopping host closes as idle", func() {
	sendGet := func(socket net.Conn) {
		send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	expectAnswer := func(socket net.Conn) {
		GinkgoHelper()
		status, _, _ := readAnswer(bufio.NewReader(socket))
		Expect(status).To(Equal(http.StatusOK))
	}

	// Guards against a request that arrived in time and is dropped, since the host has not read it yet.
	It("answers a request that arrived before the close, however far it has been read", func() {
		useOneProcessor()
		for steps := range maxSteps * roundsPerStep {
			server, connect := serve(echo)
			idle := connect()
			sendGet(idle)
			expectAnswer(idle)
			time.Sleep(time.Millisecond)
			server.DisableKeepAlives()
			sendGet(idle)
			yieldTimes(steps % maxSteps)
			server.CloseIdle()
			expectAnswer(idle)
		}
	})

	// Guards against a slow caller that loses the rest of an answer, since its next request causes a reset.
	It("does not treat a connection as idle whose last answer has not arrived", func() {
		const size = 128 << 10
		server, connect := serve(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(make([]byte, size)) })
		slow := connect()
		Expect(slow.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
		sendGet(slow)
		reader := bufio.NewReader(slow)
		first, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		server.DisableKeepAlives()
		for range maxSteps {
			server.CloseIdle()
			time.Sleep(time.Millisecond)
		}
		sendGet(slow)
		Expect(slow.(*net.TCPConn).SetReadBuffer(1 << 20)).To(Succeed())
		body, err := io.ReadAll(first.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(size))
		status, _, _ := readAnswer(reader)
		Expect(status).To(Equal(http.StatusOK))
	})

	// Guards against dropping a request whose bytes were read from the socket, but not yet by the connection's goroutine.
	It("answers a request that waits for the connection's goroutine", func() {
		held := make(chan struct{})
		var limitReads atomic.Int32
		server, connect := serve(echo, caller.WithLimits(func() cherrykeel.CallerLimits {
			if limitReads.Add(1) == 1 {
				<-held
			}
			return caller.DefaultLimits()
		}))
		socket := connect()
		Eventually(limitReads.Load, testTimeout).Should(BeNumerically(">", 0))
		sendGet(socket)
		Eventually(func() bool { return sock.HasUnacknowledged(socket.(*net.TCPConn)) }, testTimeout).Should(BeFalse())
		time.Sleep(time.Millisecond)
		server.DisableKeepAlives()
		server.CloseIdle()
		close(held)
		expectAnswer(socket)
	})

	// Guards against a host that reads a request after it has decided to accept no more on that connection.
	It("leaves in the socket what arrives after the close", func() {
		core, logged := observer.New(zap.DebugLevel)
		server, connect := serve(echo, caller.WithLogger(zap.New(core)))
		socket := connect()
		Eventually(server.OpenConns, testTimeout).Should(Equal(1))
		server.CloseIdle()
		_, err := bufio.NewReader(socket).ReadByte()
		Expect(err).To(Equal(io.EOF))
		_, _ = io.WriteString(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(server.OpenConns, testTimeout).Should(BeZero())
		Eventually(func() error {
			_, err := io.WriteString(socket, "x")
			return err
		}, testTimeout).Should(HaveOccurred())
		Expect(logged.FilterMessage(events.RequestAfterClose.Text).All()).To(BeEmpty())
	})

	// Guards against a host that runs out of memory, since each of its idle connections keeps its last answer.
	It("keep no answer that was written", func() {
		const conns, size = 64, 1 << 20
		server, connect := serve(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(make([]byte, size)) })
		for range conns {
			socket := connect()
			sendGet(socket)
			expectAnswer(socket)
		}
		heapBytes := func() uint64 {
			runtime.GC()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			return memory.HeapAlloc
		}
		Eventually(heapBytes, testTimeout).Should(BeNumerically("<", conns*size/2))
		Expect(server.OpenConns()).To(Equal(conns))
	})

	// Guards against dropping the first request of a connection that was accepted just before the close.
	It("answers the first request of a connection that it has just accepted", func() {
		useOneProcessor()
		for steps := range maxSteps * roundsPerStep {
			server, connect := serve(echo)
			socket := connect()
			sendGet(socket)
			for server.OpenConns() == 0 {
				runtime.Gosched()
			}
			server.DisableKeepAlives()
			yieldTimes(steps % maxSteps)
			server.CloseIdle()
			expectAnswer(socket)
		}
	})
})
