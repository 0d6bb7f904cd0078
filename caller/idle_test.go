package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cherrykeel/caller"
	"cherrykeel/events"
)

// busyHost lets the goroutines of the process run one at a time, as on a host that is short of processor time: what
// has come on a socket stays unread until the running goroutine gives way.
func busyHost() {
	before := runtime.GOMAXPROCS(1)
	DeferCleanup(func() { runtime.GOMAXPROCS(before) })
}

// giveWay lets other goroutines run that many times.
func giveWay(times int) {
	for range times {
		runtime.Gosched()
	}
}

const (
	// mostSteps is more often than a request's bytes pass from goroutine to goroutine until it is taken.
	mostSteps     = 12
	roundsOfSteps = 5
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
		busyHost()
		for steps := range mostSteps * roundsOfSteps {
			server, connect := serve(echo)
			rested := connect()
			ask(rested)
			expectAnswer(rested)
			time.Sleep(time.Millisecond)
			server.Stop()
			ask(rested)
			giveWay(steps % mostSteps)
			server.CloseIdle()
			expectAnswer(rested)
		}
	})

	// Guards against a host that reads a request after it has decided that it takes no more on that connection.
	It("leaves in the socket what comes after the close", func() {
		core, logged := observer.New(zap.DebugLevel)
		server, connect := serve(echo, caller.WithLogger(zap.New(core)))
		socket := connect()
		Eventually(server.Open, generous).Should(Equal(1))
		server.CloseIdle()
		_, err := bufio.NewReader(socket).ReadByte()
		Expect(err).To(Equal(io.EOF))
		_, _ = io.WriteString(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(server.Open, generous).Should(BeZero())
		Expect(logged.FilterMessage(events.RequestCrossed.Text).All()).To(BeEmpty())
	})

	// Guards against the first request of a connection being given up, since it was accepted just before the close.
	It("answers the first request of a connection that it has just accepted", func() {
		busyHost()
		for steps := range mostSteps * roundsOfSteps {
			server, connect := serve(echo)
			socket := connect()
			ask(socket)
			for server.Open() == 0 {
				runtime.Gosched()
			}
			server.Stop()
			giveWay(steps % mostSteps)
			server.CloseIdle()
			expectAnswer(socket)
		}
	})
})
