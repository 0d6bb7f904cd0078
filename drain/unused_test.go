package drain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/drain"
)

const (
	request = "GET / HTTP/1.1\r\nHost: any\r\n\r\n"
	// testTimeout bounds the waits of the specs; none asserts how long something takes.
	testTimeout = "10s"
	// timeoutChecks is the number of checks in time after which an unused connection is closed.
	timeoutChecks = int(drain.FirstRequestTimeout/drain.CheckInterval) + 1
)

var _ = Describe("a connection without a request when its server stops", func() {
	var (
		listener *drain.Listener
		server   *drain.Server
		now      time.Time
	)

	BeforeEach(func() {
		now = time.Now()
		var err error
		listener, err = drain.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "whole") })
		server = drain.New(&http.Server{Handler: handler}, listener)
		go func(server *drain.Server) { _ = server.Serve() }(server)
	})

	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn
	}
	answer := func(conn net.Conn) *http.Response {
		GinkgoHelper()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Close).To(BeTrue())
		return response
	}
	expectTurnedAway := func(response *http.Response) {
		GinkgoHelper()
		Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(response.Header.Get(cherrykeel.HeaderOutcome)).To(Equal(string(cherrykeel.NotRun)))
	}
	// check checks the server's connections several times, at the given interval by the spec's own clock.
	check := func(times int, apart time.Duration) {
		for range times {
			now = now.Add(apart)
			drain.CloseIdleAt(server, now)
		}
	}

	// Guards against a caller that is cut off without an answer, since the host was suspended for longer than the timeout:
	// the caller was suspended with it, and is about to send.
	It("is not closed for time in which the host was suspended", func() {
		conn := dial()
		Expect(server.StopAccepting(context.Background())).To(Succeed())
		check(10, drain.FirstRequestTimeout)
		_, err := io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer(conn).StatusCode).To(Equal(http.StatusOK))
		Expect(server.ClosedUnused()).To(BeZero())
	})

	// Guards against a caller that cannot tell whether its request was read when the timeout ends.
	It("is answered that nothing was read when the timeout ends", func() {
		conn := dial()
		Expect(server.StopAccepting(context.Background())).To(Succeed())
		ended := func() int64 {
			check(timeoutChecks, drain.CheckInterval)
			return server.ClosedUnused()
		}
		Eventually(ended, testTimeout).Should(BeEquivalentTo(1))
		expectTurnedAway(answer(conn))
	})

	// Guards against a request that arrives as the timeout ends, and gets a reset instead of an answer.
	It("gets an answer, or the one that nothing was read, if its request arrives at that moment", func() {
		var early []net.Conn
		for range 300 {
			early = append(early, dial())
		}
		Expect(server.StopAccepting(context.Background())).To(Succeed())
		check(timeoutChecks-1, drain.CheckInterval)
		var sent atomic.Int32
		for _, conn := range early {
			go func() {
				_, _ = io.WriteString(conn, request)
				sent.Add(1)
			}()
		}
		for int(sent.Load()) < len(early) {
			check(1, drain.CheckInterval)
		}
		for _, conn := range early {
			Expect(answer(conn).StatusCode).To(BeElementOf(http.StatusOK, http.StatusRequestTimeout))
		}
	})

	// Guards against a caller that cannot tell whether its request was read when the stop's context ends.
	It("is answered that nothing was read when the stop's context ends", func() {
		conn := dial()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Stop(ctx)
		expectTurnedAway(answer(conn))
		Expect(server.ClosedUnused()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("an unused connection whose read deadline has passed", func() {
	// The request arrives after the deadline, which passed while the host and its caller were suspended.
	It("waits once more", func() {
		near, far := connPair()
		Expect(far.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
		go func() { _, _ = io.WriteString(near, request) }()
		buffer := make([]byte, len(request))
		Expect(io.ReadFull(far, buffer)).To(Equal(len(request)))

		Expect(far.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
		_, err := far.Read(buffer)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})

	It("times out after that", func() {
		_, far := connPairWith(new(atomic.Bool), time.Millisecond)
		Expect(far.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
		_, err := far.Read(make([]byte, 1))
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})

	// Guards against a read that closes a connection on which the stop still waits for a request.
	It("waits until the stop of its server closes it", func() {
		stopping := new(atomic.Bool)
		stopping.Store(true)
		near, far := connPairWith(stopping, time.Millisecond)
		Expect(far.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
		ended := make(chan error, 1)
		go func() {
			_, err := far.Read(make([]byte, 1))
			ended <- err
		}()
		Consistently(ended, "50ms").ShouldNot(Receive())
		Expect(near.(*net.TCPConn).CloseWrite()).To(Succeed())
		Eventually(ended, testTimeout).Should(Receive(MatchError(io.EOF)))
	})
})
