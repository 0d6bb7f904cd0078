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
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/events"
	"cherrykeel/flow"
	"cherrykeel/origin"
)

var _ = Describe("an upstream that asked for a rest", func() {
	const rest = 3 * time.Second
	now := fixedClock{}.Now()
	// bounds allow a single retry.
	bounds := func() cherrykeel.Bounds {
		return cherrykeel.Bounds{RetrySlack: 50, RetryWindow: 10 * time.Second}
	}
	findOwner := func(string, int) flow.Owner { return flow.Owner{ID: "a"} }
	newDispatcherOf := func(keyed bool, ids ...string) *dispatcher {
		dispatcher := newDispatcher("s", keyed, "z", findOwner, bounds, func() {})
		var upstreams []cherrykeel.Upstream
		for _, id := range ids {
			upstreams = append(upstreams, cherrykeel.Upstream{ID: id, Zone: "z", Slots: 3})
		}
		dispatcher.setUpstreams(upstreams, now)
		return dispatcher
	}
	// turnedAway returns a request that has the given time left and was sent to an upstream that asked for a rest.
	turnedAway := func(dispatcher *dispatcher, left time.Duration) *exchange {
		decision := <-dispatcher.submit(&flow.Ticket{Key: 7, Arrived: now, Target: now.Add(left), Deadline: now.Add(left)}, now)
		dispatcher.service.RecordRest(decision.Slot.Upstream, rest, now)
		dispatcher.release(decision.Slot, flow.Refused, cherrykeel.UpstreamLoad{}, now)
		return &exchange{
			relay:      New(Settings{Clock: fixedClock{}, Owner: findOwner, HostCount: func() int { return 1 }, OnMisdirected: func() {}}),
			route:      &weightedRoute{Route: cherrykeel.Route{Repeatable: true, MaxAttempts: 3}},
			dispatcher: dispatcher,
			headers:    cherrykeel.RequestHeaders{Key: 7},
			arrived:    now,
			deadline:   now.Add(left),
			attempts:   1,
			tried:      []string{decision.Slot.Upstream.ID},
		}
	}

	// Guards against a repeat that cannot be sent in time, and takes another request's place in the retry budget.
	DescribeTable("that outlasts a request's time costs it no retry", func(keyed bool) {
		dispatcher := newDispatcherOf(keyed, "a")
		request := turnedAway(dispatcher, rest/2)
		Expect(request.canRetry(context.Background(), result{outcome: notRun}, now)).To(BeFalse())
		Expect(dispatcher.trySpendRetry(1, now)).To(BeTrue(), "the only retry is left")
	},
		Entry("without keys", false),
		Entry("as a key's owner", true),
	)

	// Guards against a request that is sent to its key's new owner, which is at rest, at the cost of the retry budget.
	It("as a key's new owner costs a request no retry either", func() {
		dispatcher := newDispatcherOf(true, "a")
		request := turnedAway(dispatcher, rest/2)
		request.inputs.Owner = "old"
		Expect(request.canRetryAtNewOwner(result{outcome: answered, status: http.StatusInternalServerError}, now)).To(BeFalse())
		Expect(request.canRetry(context.Background(), result{outcome: notRun, misdirected: true}, now)).To(BeFalse())
		Expect(dispatcher.trySpendRetry(1, now)).To(BeTrue(), "the only retry is left")
	})

	// Guards against callers who come back before the rest has ended, are refused again and have no try left.
	DescribeTable("makes refused callers come back after it if they wait that long", func(left time.Duration, waitsForRest bool) {
		request := turnedAway(newDispatcherOf(true, "a"), left)
		for range 50 {
			retryAfter := request.refuseNotRun(now).RetryAfter
			Expect(retryAfter).To(And(BeNumerically(">=", left*8/100), BeNumerically("<=", left*30/100)))
			if waitsForRest {
				Expect(retryAfter).To(BeNumerically(">=", rest))
			}
		}
	},
		Entry("of a third of their time", 4*rest, true),
		Entry("of more", 3*rest, false),
	)

	// Guards against a request that is refused although its time reaches beyond the rest, or another upstream may serve it.
	It("does not hinder retries elsewhere, nor those that may wait for its end", func() {
		request := turnedAway(newDispatcherOf(false, "a", "b"), rest/2)
		Expect(request.canRetry(context.Background(), result{outcome: notRun}, now)).To(BeTrue())
		request = turnedAway(newDispatcherOf(true, "a"), 2*rest)
		Expect(request.canRetry(context.Background(), result{outcome: notRun}, now)).To(BeTrue())
	})
})

var _ = Describe("an answer that asks for a rest", func() {
	const rest = 3 * time.Second
	call := origin.Call{Kind: origin.Request, ID: "r", Upstream: "a"}
	var (
		server   *httptest.Server
		requests atomic.Int64
		lines    *observer.ObservedLogs
		current  *exchange
		slot     *flow.Slot
	)

	BeforeEach(func() {
		requests.Store(0)
		server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
		DeferCleanup(server.Close)
		core, observed := observer.New(zapcore.DebugLevel)
		lines = observed
		relay := New(Settings{
			Zone: "z", Clock: fixedClock{}, Dialect: emptyDialect{}, Logger: zap.New(core), Scope: tally.NoopScope, Pool: conns.NewPool(),
			Bounds: func() cherrykeel.Bounds { return cherrykeel.Bounds{RetryWindow: 10 * time.Second} },
		})
		relay.SetRoutes(cherrykeel.RouteSet{Services: map[string]cherrykeel.RoutedService{"s": {Name: "s"}}})
		relay.SetUpstreams([]cherrykeel.Upstream{{ID: "a", Service: "s", Address: server.Listener.Addr().String(), Zone: "z", Slots: 3}})
		now := relay.clock.Now()
		current = &exchange{
			relay: relay, dispatcher: relay.dispatcher("s"), headers: cherrykeel.RequestHeaders{ID: "r"},
			request: httptest.NewRequest(http.MethodGet, "http://h/", nil), route: &weightedRoute{}, deadline: now.Add(time.Minute),
		}
		slot = (<-current.dispatcher.submit(&flow.Ticket{Key: cherrykeel.NoKey, Arrived: now, Deadline: now.Add(time.Minute), Target: now.Add(time.Minute)}, now)).Slot
	})

	// Guards against an upstream that is left alone since another one, or an answer that came late, asked for that.
	DescribeTable("is heeded only if it belongs to the request and to the upstream that was asked", func(reply cherrykeel.ReplyHeaders, resting int) {
		current.recordRest(slot, call, reply)
		current.recordRest(slot, call, reply)
		Expect(current.relay.RestingUpstreams()).To(Equal(resting))
		Expect(lines.FilterMessage(events.RestBegan.Text).Len()).To(Equal(resting), "a line for each rest")
	},
		Entry("with both names", cherrykeel.ReplyHeaders{ID: "r", Instance: "a", RetryAfter: rest}, 1),
		Entry("of the request, by an upstream that is not named", cherrykeel.ReplyHeaders{ID: "r", RetryAfter: rest}, 1),
		Entry("with no name", cherrykeel.ReplyHeaders{RetryAfter: rest}, 0),
		Entry("of the upstream, without a request", cherrykeel.ReplyHeaders{Instance: "a", RetryAfter: rest}, 0),
		Entry("of two requests", cherrykeel.ReplyHeaders{ID: "r", Contradictory: true, RetryAfter: rest}, 0),
		Entry("of another request", cherrykeel.ReplyHeaders{ID: "other", Instance: "a", RetryAfter: rest}, 0),
		Entry("of another upstream", cherrykeel.ReplyHeaders{ID: "r", Instance: "b", RetryAfter: rest}, 0),
		Entry("without a time", cherrykeel.ReplyHeaders{ID: "r", Instance: "a"}, 0),
	)

	// Guards against a rest that is forgotten as the operator divides the service's keys among its upstreams, or no longer does.
	It("is heeded by the scheduler that follows when the service's kind changes", func() {
		current.recordRest(slot, call, cherrykeel.ReplyHeaders{ID: "r", RetryAfter: rest})
		current.relay.SetRoutes(cherrykeel.RouteSet{Version: 1, Services: map[string]cherrykeel.RoutedService{"s": {Name: "s", Keyed: true}}})
		Expect(current.relay.dispatcher("s")).NotTo(BeIdenticalTo(current.dispatcher))
		Expect(current.relay.RestingUpstreams()).To(Equal(1))
	})

	// Guards against requests that had a slot before the rest, and reach the upstream long after it began since their connection was slow to come.
	It("withholds requests that are still waiting for their connection", func() {
		current.recordRest(slot, call, cherrykeel.ReplyHeaders{ID: "r", RetryAfter: rest})
		result := current.attempt(context.Background(), slot)
		Expect(result.outcome).To(Equal(notSent))
		Expect(result.slotResult(false)).To(Equal(flow.Abandoned), "it can be reached")
		Expect(requests.Load()).To(BeZero())
	})
})
