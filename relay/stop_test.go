package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/flow"
)

// refusalDialect reads a refusal with status 503 as one of an upstream that did not run the request, and gives each
// request a key.
type refusalDialect struct {
	emptyDialect
	key int
}

func (dialect refusalDialect) ReadRequest(*http.Request) cherrykeel.RequestHeaders {
	return cherrykeel.RequestHeaders{ID: "r", Key: dialect.key}
}

func (refusalDialect) ReadReply(status int, _ http.Header) cherrykeel.ReplyHeaders {
	return cherrykeel.ReplyHeaders{ID: "r", NotRun: status == http.StatusServiceUnavailable}
}

// newStoppingRelay returns a relay whose requests have a minute; those with a key wait for an owner that never comes.
func newStoppingRelay(key int, upstreams ...cherrykeel.Upstream) *Relay {
	relay := New(Settings{
		Zone: "z", Clock: cherrykeel.SystemClock(), Dialect: refusalDialect{key: key}, Logger: zap.NewNop(), Scope: tally.NoopScope,
		Bounds: func() cherrykeel.Bounds {
			return cherrykeel.Bounds{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second}
		},
		Owner: func(string, int) flow.Owner { return flow.Owner{} }, HostCount: func() int { return 1 },
		OnKeyRequest: func(string, int) {}, OnMisdirected: func() {}, Pool: conns.NewPool(),
	})
	relay.SetRoutes(cherrykeel.RouteSet{
		Version:  1,
		Services: map[string]cherrykeel.RoutedService{"s": {Name: "s", Keyed: key != cherrykeel.NoKey}},
		Routes:   []cherrykeel.Route{{Domain: "h", PathPrefix: "/", Timeout: time.Minute, TargetLatency: time.Minute, MaxAttempts: 2, Repeatable: true, SplitTargets: []cherrykeel.SplitTarget{splitTarget("s", 1)}}},
	})
	relay.SetUpstreams(upstreams)
	return relay
}

// serveLater serves a request in its own goroutine and sends its answer on the channel.
func serveLater(relay *Relay) <-chan *httptest.ResponseRecorder {
	answers := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		writer := httptest.NewRecorder()
		relay.ServeHTTP(writer, httptest.NewRequest(http.MethodGet, "http://h/x", nil))
		answers <- writer
	}()
	return answers
}

func expectStopping(writer *httptest.ResponseRecorder) {
	GinkgoHelper()
	Expect(writer.Code).To(Equal(http.StatusServiceUnavailable))
	Expect(writer.Body.String()).To(HavePrefix("stopping"))
	Expect(writer.Header().Get(cherrykeel.HeaderOutcome)).To(Equal(string(cherrykeel.NotRun)))
	Expect(writer.Header().Get("Retry-After")).NotTo(BeEmpty())
}

var _ = Describe("a request that was admitted before its host began to stop", func() {
	const soon = "10s"

	// Guards against a request that waits for its key's owner, is sent when one comes late in the stop, and is cut.
	It("is refused at once as not run if it waits and may outlast the host", func() {
		relay := newStoppingRelay(7, cherrykeel.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1})
		answers := serveLater(relay)
		Eventually(func() int { return relay.OwnCounts().Waiting[""] }, soon).Should(Equal(1))
		relay.SetProcessEnd(relay.clock.Now().Add(30 * time.Second))
		var writer *httptest.ResponseRecorder
		Eventually(answers, soon).Should(Receive(&writer))
		expectStopping(writer)
		Expect(relay.OwnCounts().Waiting[""]).To(BeZero())
	})

	// Guards against a stopping host that refuses what it has the time to serve.
	It("keeps waiting if its deadline is before the host's end", func() {
		relay := newStoppingRelay(7, cherrykeel.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1})
		answers := serveLater(relay)
		Eventually(func() int { return relay.OwnCounts().Waiting[""] }, soon).Should(Equal(1))
		relay.SetProcessEnd(relay.clock.Now().Add(2 * time.Minute))
		Consistently(answers, "200ms").ShouldNot(Receive())
		Expect(relay.OwnCounts().Waiting[""]).To(Equal(1))
	})

	// Guards against a request that is sent to a second upstream late in the stop, and is cut there.
	DescribeTable("is not sent to a second upstream if it may outlast the host", func(fail http.HandlerFunc, check func(*httptest.ResponseRecorder)) {
		var relay *Relay
		var sends atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			sends.Add(1)
			relay.SetProcessEnd(relay.clock.Now().Add(30 * time.Second))
			fail(writer, request)
		}))
		DeferCleanup(server.Close)
		address := server.Listener.Addr().String()
		relay = newStoppingRelay(cherrykeel.NoKey, cherrykeel.Upstream{ID: "a", Service: "s", Address: address, Slots: 1}, cherrykeel.Upstream{ID: "b", Service: "s", Address: address, Slots: 1})
		var writer *httptest.ResponseRecorder
		Eventually(serveLater(relay), soon).Should(Receive(&writer))
		Expect(sends.Load()).To(Equal(int32(1)))
		check(writer)
	},
		Entry("and has not run", func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}, expectStopping),
		Entry("and may have run", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, func(writer *httptest.ResponseRecorder) {
			Expect(writer.Code).To(Equal(http.StatusBadGateway))
			Expect(writer.Header().Get(cherrykeel.HeaderOutcome)).To(Equal(string(cherrykeel.OutcomeUnknown)))
		}),
	)

	// Guards against a send, or a slot that stays taken, when the end is set together with the decision.
	It("gives back a slot that it got as the end was set", func() {
		relay := newStoppingRelay(cherrykeel.NoKey, cherrykeel.Upstream{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1})
		current := &exchange{relay: relay, request: httptest.NewRequest(http.MethodGet, "http://h/x", nil), writer: httptest.NewRecorder(), arrived: relay.clock.Now(), headers: cherrykeel.RequestHeaders{Key: cherrykeel.NoKey}}
		Expect(current.prepare()).To(BeNil())
		decisions := current.dispatcher.submit(&flow.Ticket{Key: cherrykeel.NoKey, Arrived: current.arrived, Target: current.deadline, Deadline: current.deadline}, current.arrived)
		Expect(relay.OwnCounts().Running).To(HaveKeyWithValue("a", 1))
		relay.SetProcessEnd(relay.clock.Now().Add(30 * time.Second))
		_, failure := current.checkDecision(<-decisions)
		Expect(failure).NotTo(BeNil())
		Expect(failure.Code).To(Equal("stopping"))
		Expect(relay.OwnCounts().Running["a"]).To(BeZero())
	})

	// Guards against a request that pauses before a further send while its host begins to stop.
	It("is woken from the pause before it is sent to its owner again", func() {
		relay := newStoppingRelay(7)
		current := &exchange{
			relay: relay, route: &weightedRoute{Route: cherrykeel.Route{Repeatable: true, MaxAttempts: 2}}, dispatcher: relay.dispatcher("s"),
			headers: cherrykeel.RequestHeaders{Key: 7}, inputs: flow.Inputs{ProcessingTime: time.Hour},
			deadline: relay.clock.Now().Add(time.Minute), attempts: 1,
		}
		current.dispatcher.recordRequest(relay.clock.Now())
		allowed := make(chan bool, 1)
		go func() {
			allowed <- current.canRetry(context.Background(), result{outcome: notRun}, relay.clock.Now())
		}()
		Consistently(allowed, "50ms").ShouldNot(Receive())
		relay.SetProcessEnd(relay.clock.Now().Add(30 * time.Second))
		Eventually(allowed, "20s").Should(Receive(BeFalse()))
	})
})
