package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/fakes"
)

const (
	generous  = "30s"
	testGrace = 6 * time.Second
)

// hostsLog is the hosts' topic; it calls a function for each removal of a record.
type hostsLog struct {
	emptyLog
	remove func(ctx context.Context)
}

func (log hostsLog) Put(ctx context.Context, _ string, value []byte) (int64, error) {
	if value == nil {
		log.remove(ctx)
	}
	return 0, nil
}

// stoppingHost is a host that the test stops, on a clock that the test moves.
type stoppingHost struct {
	host  *Host
	clock *fakes.Clock
	stop  context.CancelFunc
	ended chan struct{}
	// logged holds what the host has logged.
	logged *observer.ObservedLogs
}

func newStoppingHost(remove func(ctx context.Context)) *stoppingHost {
	GinkgoHelper()
	return newStoppingHostWithGrace(testGrace, remove)
}

func newStoppingHostWithGrace(grace time.Duration, remove func(ctx context.Context)) *stoppingHost {
	GinkgoHelper()
	core, logged := observer.New(zapcore.InfoLevel)
	clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
	settings := cherrykeel.EntrySettings{
		Name: "host-1", CallerAddress: fakes.FreeAddress(), ReadinessAddress: fakes.FreeAddress(), InternalAddress: fakes.FreeAddress(),
		Bounds: cherrykeel.Bounds{Grace: grace, MaxLeaseDuration: 10 * time.Second, RetryWindow: 10 * time.Second, MaxSettingsDelay: 2 * time.Second, Drain: 2 * time.Second},
	}
	platform := Platform{Dialect: noDialect{}, NewGranter: noGranter, Operator: emptyLog{}, Upstreams: emptyLog{}, Spans: emptyLog{}, Hosts: hostsLog{remove: remove}}
	host := New(settings, platform, WithClock(clock), WithLogger(zap.New(core)))
	Expect(host.Listen()).To(Succeed())
	return &stoppingHost{host: host, clock: clock, ended: make(chan struct{}), logged: logged}
}

// run serves until stop is called.
func (stopping *stoppingHost) run() {
	ctx, stop := context.WithCancel(context.Background())
	stopping.stop = stop
	DeferCleanup(stop)
	go func() {
		defer close(stopping.ended)
		_ = stopping.host.Run(ctx)
	}()
}

// begin makes the host stop and returns when it has begun.
func (stopping *stoppingHost) begin() {
	GinkgoHelper()
	stopping.stop()
	Eventually(stopping.host.stopping.Load, generous).Should(BeTrue())
}

// holdOpen opens a connection that is not idle: half a request has arrived on it.
func (stopping *stoppingHost) holdOpen() {
	GinkgoHelper()
	conn, err := net.Dial("tcp", stopping.host.settings.CallerAddress)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\n"))
	Expect(err).NotTo(HaveOccurred())
	Eventually(stopping.host.server.OpenConns, generous).Should(Equal(1))
}

func noRemoval(context.Context) {}

var _ = Describe("a stopping host ends within its grace", func() {
	// Guards against a host that has run out of descriptors, or whose callers connect all the time while the system
	// cannot refuse them: accepting does not end, the stop waits for it, and the platform kills the host.
	It("although accepting does not end", func() {
		stopping := newStoppingHost(noRemoval)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go stopping.host.keeper.Run(ctx)
		go func() {
			defer close(stopping.ended)
			stopping.host.stop(ctx)
		}()
		Eventually(stopping.host.stopping.Load, generous).Should(BeTrue())
		stopping.clock.Advance(testGrace)
		Eventually(stopping.ended, generous).Should(BeClosed())
	})

	// Guards against a client of the store that does not notice that its context has ended.
	It("although the store's client hangs", func() {
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		stopping := newStoppingHost(func(context.Context) { <-release })
		stopping.run()
		stopping.begin()
		stopping.clock.Advance(testGrace)
		Eventually(stopping.ended, generous).Should(BeClosed())
	})

	// A host is suspended during its stop until its time is nearly over, and the store does not answer. Guards against
	// a call to the store with a timeout of its own from its beginning, for which the host waits beyond its grace.
	It("and makes no call to the store that outlasts it", func() {
		var mutex sync.Mutex
		lateCalls := 0
		stopping := newStoppingHost(func(ctx context.Context) {
			mutex.Lock()
			defer mutex.Unlock()
			if ctx.Err() == nil {
				lateCalls++
			}
		})
		stopping.run()
		stopping.begin()
		stopping.clock.Advance(testGrace)
		Eventually(stopping.ended, generous).Should(BeClosed())
		mutex.Lock()
		defer mutex.Unlock()
		Expect(lateCalls).To(BeZero())
	})

	// The machine is suspended while the host gets its signal, and the grace may have begun at any moment of that.
	// Guards against requests that the host admits and that the platform cuts by killing it, and against requests that
	// the host cuts itself although it has the time to answer them.
	It("and admits nothing that might outlast it if it was suspended at its signal, but serves what it has admitted", func() {
		stopping := newStoppingHost(noRemoval)
		stopping.run()
		stopping.holdOpen()
		stopping.host.relay.SetRoutes(cherrykeel.RouteSet{
			Services: map[string]cherrykeel.RoutedService{"s": {Name: "s"}},
			Routes:   []cherrykeel.Route{{Domain: "h", PathPrefix: "/", Timeout: testGrace / 2, SplitTargets: []cherrykeel.SplitTarget{{Service: "s", Weight: 1}}}},
		})
		send := func() string {
			writer := httptest.NewRecorder()
			stopping.host.relay.ServeHTTP(writer, httptest.NewRequest(http.MethodGet, "http://h/x", nil))
			return writer.Body.String()
		}
		Expect(send()).To(HavePrefix("no-upstream"), "admitted, and refused only because there is no upstream")
		stopping.clock.Advance(testGrace / 2)
		stopping.begin()
		Eventually(send, generous).Should(HavePrefix("stopping"))
		stopping.clock.Advance(testGrace - endMargin - 1)
		Consistently(stopping.ended, "200ms").ShouldNot(BeClosed())
		stopping.clock.Advance(1)
		Eventually(stopping.ended, generous).Should(BeClosed())
	})

	// Guards against a host that is too busy to notice its signal at once, and is killed in the middle of its stop with
	// requests that it has admitted; and against one that was suspended while it measured its delay, and cuts all
	// requests at once.
	DescribeTable("counted from the signal, which it notices late, with the same delay allowed for its exit", func(measured, counted time.Duration) {
		stopping := newStoppingHost(noRemoval)
		stopping.host.schedulingDelay.yield = func() { stopping.clock.Advance(measured) }
		stopping.host.schedulingDelay.measure()
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		stopping.host.schedulingDelay.yield = func() { <-release }
		stopping.run()
		stopping.holdOpen()
		stopping.begin()
		stopping.clock.Advance(testGrace - 2*counted - endMargin - 1)
		Consistently(stopping.ended, "200ms").ShouldNot(BeClosed())
		stopping.clock.Advance(1)
		Eventually(stopping.ended, generous).Should(BeClosed())
	},
		Entry("by a second", time.Second, time.Second),
		Entry("by more than a quarter of the grace", testGrace, testGrace/4),
	)

	It("and not before, while a request is unanswered, if it was not suspended", func() {
		stopping := newStoppingHost(noRemoval)
		stopping.run()
		stopping.holdOpen()
		stopping.begin()
		stopping.clock.Advance(testGrace - endMargin - 1)
		Consistently(stopping.ended, "200ms").ShouldNot(BeClosed())
		stopping.clock.Advance(1)
		Eventually(stopping.ended, generous).Should(BeClosed())
	})

	// Guards against callers whose connections are reset because the host gets to its listener late in its stop,
	// although it has time for them.
	It("and accepts the last connections although it gets to its listener late", func() {
		stopping := newStoppingHost(noRemoval)
		stopping.run()
		stopping.begin()
		stopping.clock.Advance(testGrace - endMargin - removeTimeout/2)
		closed := func() []observer.LoggedEntry {
			return stopping.logged.FilterMessage(events.EntryListenerClosed.Text).All()
		}
		Eventually(closed, generous).Should(HaveLen(1))
		Expect(closed()[0].ContextMap()).NotTo(HaveKeyWithValue("Error", ErrConnectionsNotAccepted.Error()))
		Eventually(stopping.ended, generous).Should(BeClosed())
	})
})
