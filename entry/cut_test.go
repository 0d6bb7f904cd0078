package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zaptest/observer"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/sock"
)

// heldUpstream holds each request until release is closed.
type heldUpstream struct {
	*httptest.Server
	reached chan struct{}
	release chan struct{}
}

func newHeldUpstream() *heldUpstream {
	held := &heldUpstream{reached: make(chan struct{}, 2*maxLoggedCuts), release: make(chan struct{})}
	held.Server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		held.reached <- struct{}{}
		<-held.release
	}))
	DeferCleanup(func() {
		close(held.release)
		held.Close()
	})
	return held
}

// serveSlowRoute makes the host serve callers without its other duties: requests below /slow/ are held by the returned
// upstream, and those below /none/ find none.
func (stopping *stoppingHost) serveSlowRoute(timeout time.Duration) *heldUpstream {
	GinkgoHelper()
	host := stopping.host
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go host.keeper.Run(ctx)
	go func() {
		defer close(host.acceptEnded)
		host.server.Serve(host.listener)
	}()
	stopping.stop = func() {
		go func() {
			defer close(stopping.ended)
			host.stop(ctx)
		}()
	}
	held := newHeldUpstream()
	target := func(service string) []cherrykeel.SplitTarget {
		return []cherrykeel.SplitTarget{{Service: service, Weight: 1}}
	}
	host.relay.SetRoutes(cherrykeel.RouteSet{
		Services: map[string]cherrykeel.RoutedService{"slow": {Name: "slow"}, "none": {Name: "none"}},
		Routes: []cherrykeel.Route{
			{Name: "slow", Domain: "h", PathPrefix: "/slow/", Timeout: timeout, MaxAttempts: 1, SplitTargets: target("slow")},
			{Name: "none", Domain: "h", PathPrefix: "/none/", Timeout: time.Second, MaxAttempts: 1, SplitTargets: target("none")},
		},
	})
	host.relay.SetUpstreams([]cherrykeel.Upstream{{ID: "up", Service: "slow", Address: held.Listener.Addr().String(), Slots: 2 * maxLoggedCuts}})
	return held
}

// connect opens a connection and sends text on it.
func (stopping *stoppingHost) connect(text string) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", stopping.host.settings.CallerAddress)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = conn.Write([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return conn
}

const (
	slowRequest = "GET /slow/ HTTP/1.1\r\nHost: h\r\n\r\n"
	noneRequest = "GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n"
)

var _ = Describe("a host that ends with requests unanswered", func() {
	// Guards against cuts that nobody can trace: a number of connections, and no request.
	It("names each of them, and the answer that waits behind another one", func() {
		stopping := newStoppingHost(noRemoval)
		held := stopping.serveSlowRoute(20 * time.Second)
		stopping.connect(slowRequest + noneRequest)
		Eventually(held.reached, generous).Should(Receive())
		Eventually(func() bool {
			unanswered := stopping.host.server.Unanswered(2)
			return len(unanswered) == 2 && unanswered[1].Ready
		}, generous).Should(BeTrue())
		stopping.clock.Advance(time.Second)
		stopping.begin()
		stopping.clock.Advance(testGrace - endMargin)
		Eventually(stopping.ended, generous).Should(BeClosed())

		cut := stopping.logged.FilterMessage(events.RequestCut.Text).All()
		Expect(cut).To(HaveLen(2))
		fields := func(entry observer.LoggedEntry) map[string]any { return entry.ContextMap() }
		Expect(fields(cut[0])).To(And(HaveKeyWithValue("Request", "r"), HaveKeyWithValue("Route", "slow"), HaveKeyWithValue("Upstream", "up")))
		Expect(fields(cut[0])).To(And(HaveKeyWithValue("Ready", false), HaveKeyWithValue("Ahead", int64(0))))
		Expect(fields(cut[0])).To(HaveKeyWithValue("After", -time.Second))
		Expect(fields(cut[1])).To(And(HaveKeyWithValue("Route", "none"), HaveKeyWithValue("Upstream", ""), HaveKeyWithValue("Ready", true), HaveKeyWithValue("Ahead", int64(1))))
	})

	// Guards against a log that is flooded by a host that ends with thousands of requests.
	It("names only so many", func() {
		stopping := newStoppingHost(noRemoval)
		held := stopping.serveSlowRoute(20 * time.Second)
		const conns = maxLoggedCuts / 3
		for range conns + 1 {
			stopping.connect(slowRequest + noneRequest + noneRequest)
			Eventually(held.reached, generous).Should(Receive())
		}
		Eventually(func() int { return len(stopping.host.server.Unanswered(2 * maxLoggedCuts)) }, generous).Should(Equal(3 * (conns + 1)))
		stopping.begin()
		stopping.clock.Advance(testGrace - endMargin)
		Eventually(stopping.ended, generous).Should(BeClosed())
		Expect(stopping.logged.FilterMessage(events.RequestCut.Text).All()).To(HaveLen(maxLoggedCuts))
	})
})

var _ = Describe("a stopping host takes nothing that it may not live to answer", func() {
	// Guards against a request that is taken though it may last longer than the host.
	It("although its grace is long", func() {
		const grace = 10 * time.Second
		stopping := newStoppingHostWithGrace(grace, noRemoval)
		stopping.run()
		stopping.holdOpen()
		stopping.host.relay.SetRoutes(cherrykeel.RouteSet{
			Services: map[string]cherrykeel.RoutedService{"s": {Name: "s"}},
			Routes: []cherrykeel.Route{
				{Domain: "h", PathPrefix: "/long/", Timeout: 6 * time.Second, SplitTargets: []cherrykeel.SplitTarget{{Service: "s", Weight: 1}}},
				{Domain: "h", PathPrefix: "/short/", Timeout: 5 * time.Second, SplitTargets: []cherrykeel.SplitTarget{{Service: "s", Weight: 1}}},
			},
		})
		send := func(path string) string {
			writer := httptest.NewRecorder()
			stopping.host.relay.ServeHTTP(writer, httptest.NewRequest(http.MethodGet, "http://h"+path, nil))
			return writer.Body.String()
		}
		stopping.begin()
		stopping.clock.Advance(4200 * time.Millisecond)
		Eventually(func() string { return send("/long/") }, generous).Should(HavePrefix("stopping"))
		Expect(send("/short/")).To(HavePrefix("no-upstream"), "admitted, and refused only because there is no upstream")
		// A longer grace in the settings does not move the end that was promised to requests.
		bounds := stopping.host.currentBounds()
		bounds.Grace *= 2
		stopping.host.Reload(cherrykeel.EntrySettings{Bounds: bounds})
		Expect(send("/long/")).To(HavePrefix("stopping"))
	})

	// Guards against a request that is run behind one that outlasts the host, so that its answer is lost.
	It("although its own time is short, behind a request that outlasts the host", func() {
		stopping := newStoppingHost(noRemoval)
		held := stopping.serveSlowRoute(20 * time.Second)
		conn := stopping.connect(slowRequest)
		Eventually(held.reached, generous).Should(Receive())
		stopping.begin()
		_, err := conn.Write([]byte(noneRequest))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return sock.HasUnacknowledged(conn.(*net.TCPConn)) }, generous).Should(BeFalse())
		Consistently(func() int { return len(stopping.host.server.Unanswered(2)) }, "200ms").Should(Equal(1))
		stopping.clock.Advance(testGrace - endMargin)
		Eventually(stopping.ended, generous).Should(BeClosed())
		Expect(stopping.logged.FilterMessage(events.RequestCut.Text).All()).To(HaveLen(1))
	})
})
