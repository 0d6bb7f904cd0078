package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/flow"
)

var _ = Describe("an upstream's refusal", func() {
	// Guards against callers who are told that a request has not run for bytes that belong to no request.
	DescribeTable("counts as the request's own only if it names the request", func(reply cherrykeel.ReplyHeaders, expected outcome) {
		reply.NotRun = true
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}))
		DeferCleanup(server.Close)
		relay := New(Settings{
			Clock: cherrykeel.SystemClock(), Dialect: fixedReplyDialect{reply: reply}, Pool: conns.NewPool(), Logger: zap.NewNop(), Scope: tally.NoopScope,
			OnUpstreamReplaced: func(cherrykeel.Upstream) {},
		})
		now := relay.clock.Now()
		upstream := cherrykeel.Upstream{ID: "u", Address: server.Listener.Addr().String(), Slots: 1}
		dispatcher := newDispatcher("s", false, "z", nil, func() cherrykeel.Bounds { return cherrykeel.Bounds{} }, func() {})
		dispatcher.setUpstreams([]cherrykeel.Upstream{upstream}, now)
		current := &exchange{
			relay: relay, dispatcher: dispatcher, headers: cherrykeel.RequestHeaders{ID: "r"},
			request: httptest.NewRequest(http.MethodPost, "http://h/", nil), route: &weightedRoute{}, deadline: now.Add(time.Minute),
		}
		slot := (<-dispatcher.submit(&flow.Ticket{Key: cherrykeel.NoKey, Arrived: now, Deadline: now.Add(time.Minute), Target: now.Add(time.Minute)}, now)).Slot
		Expect(current.attempt(context.Background(), slot).outcome).To(Equal(expected))
	},
		Entry("the request's", cherrykeel.ReplyHeaders{ID: "r"}, notRun),
		Entry("another request's", cherrykeel.ReplyHeaders{ID: "q"}, outcomeUnknown),
		Entry("no request's", cherrykeel.ReplyHeaders{}, outcomeUnknown),
		Entry("a misdirected request's that is not named", cherrykeel.ReplyHeaders{Misdirected: true}, outcomeUnknown),
		Entry("of another upstream, which runs nothing that is meant for this one", cherrykeel.ReplyHeaders{Misdirected: true, Instance: "v"}, notRun),
	)
})
