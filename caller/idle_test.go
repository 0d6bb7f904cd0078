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

// useOneProcessor lets the goroutines of the process run one at a time, as on a host that is short of processor time: what
// has come on a socket stays unread until the running goroutine gives way.
func useOneProcessor() {
	before := runtime.GOMAXPROCS(1)
	DeferCleanup(func() { runtime.GOMAXPROCS(before) })
}

// yieldTimes lets other goroutines run that many times.
func yieldTimes(times int) {
	for range times {
		runtime.Gosched()
	}
}

const (
	// maxSteps is more often than a request's bytes pass from goroutine to goroutine until it is taken.
	maxSteps      = 12
	roundsPerStep = 5
)

var _ = Describe("connections that a stopping host closes as idle", func() {
	ask := func(socket net.Conn) {
		send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	expectAnswer := func(socket net.Conn) {
		GinkgoHelper()
		status, _, _ := answer(bufio.NewReader(socket))
		Expect(status).To(Equal(http.StatusOK))
	}

	// Guards against a request that came in time and is given up, since the host has not looked at it yet.
	It("answers a request that has come before the close, however far it has been read", func() {
		useOneProcessor()
		for steps := range maxSteps * roundsPerStep {
			server, connect := serve(echo)
			rested := connect()
			ask(rested)
			expectAnswer(rested)
			time.Sleep(time.Millisecond)
			server.DisableKeepAlives()
			ask(rested)
			yieldTimes(steps % maxSteps)
			server.CloseIdle()
			expectAnswer(rested)
		}
	})

	// Guards against an answer on its way to a slow caller that the reset for its next request overtakes.
	It("does not take a connection to rest whose last answer has not arrived", func() {
		const size = 128 << 10
		server, connect := serve(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(make([]byte, size)) })
		slow := connect()
		Expect(slow.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
		ask(slow)
		reader := bufio.NewReader(slow)
		first, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		server.DisableKeepAlives()
		for range maxSteps {
			server.CloseIdle()
			time.Sleep(time.Millisecond)
		}
		ask(slow)
		Expect(slow.(*net.TCPConn).SetReadBuffer(1 << 20)).To(Succeed())
		body, err := io.ReadAll(first.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(size))
		status, _, _ := answer(reader)
		Expect(status).To(Equal(http.StatusOK))
	})

	// Guards against a request that the connection's goroutine has got and not begun.
	It("answers a request that waits for the connection's goroutine", func() {
		held := make(chan struct{})
		var looks atomic.Int32
		server, connect := serve(echo, caller.WithLimits(func() cherrykeel.CallerLimits {
			if looks.Add(1) == 1 {
				<-held
			}
			return caller.DefaultLimits()
		}))
		socket := connect()
		Eventually(looks.Load, testTimeout).Should(BeNumerically(">", 0))
		ask(socket)
		Eventually(func() bool { return sock.HasUnacknowledged(socket.(*net.TCPConn)) }, testTimeout).Should(BeFalse())
		time.Sleep(time.Millisecond)
		server.DisableKeepAlives()
		server.CloseIdle()
		close(held)
		expectAnswer(socket)
	})

	// Guards against a host that reads a request after it has decided that it takes no more on that connection.
	It("leaves in the socket what comes after the close", func() {
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

	// Guards against the first request of a connection being given up, since it was accepted just before the close.
	It("answers the first request of a connection that it has just accepted", func() {
		useOneProcessor()
		for steps := range maxSteps * roundsPerStep {
			server, connect := serve(echo)
			socket := connect()
			ask(socket)
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
