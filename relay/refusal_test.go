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

// attemptAt makes one attempt of a request with the ID "r", which has a minute, at an upstream "u" with the address.
func attemptAt(relay *Relay, address string) result {
	now := relay.clock.Now()
	dispatcher := newDispatcher("s", false, "z", nil, func() cherrykeel.Bounds { return cherrykeel.Bounds{} }, func() {})
	dispatcher.setUpstreams([]cherrykeel.Upstream{{ID: "u", Address: address, Slots: 1}}, now)
	current := &exchange{
		relay: relay, dispatcher: dispatcher, headers: cherrykeel.RequestHeaders{ID: "r"},
		request: httptest.NewRequest(http.MethodPost, "http://h/", nil), route: &weightedRoute{}, deadline: now.Add(time.Minute),
	}
	ticket := &flow.Ticket{Key: cherrykeel.NoKey, Arrived: now, Deadline: now.Add(time.Minute), Target: now.Add(time.Minute)}
	slot := (<-dispatcher.submit(ticket, now)).Slot
	return current.attempt(context.Background(), slot)
}

var _ = Describe("an upstream's refusal", func() {
	// Guards against callers who are told that a request has not run, and against running upstreams that count as ended, for
	// bytes that belong to no request.
	DescribeTable("counts as the request's own only if it names the request", func(reply cherrykeel.ReplyHeaders, expected outcome, ended int) {
		reply.NotRun = true
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}))
		DeferCleanup(server.Close)
		replaced := 0
		relay := New(Settings{
			Clock: cherrykeel.SystemClock(), Dialect: fixedReplyDialect{reply: reply}, Pool: conns.NewPool(), Logger: zap.NewNop(), Scope: tally.NoopScope,
			OnUpstreamReplaced: func(cherrykeel.Upstream) { replaced++ },
		})
		result := attemptAt(relay, server.Listener.Addr().String())
		Expect(result.outcome).To(Equal(expected))
		Expect(replaced).To(Equal(ended))
		if expected == outcomeUnknown {
			Expect(result.misdirected).To(BeFalse(), "it may run, and counts as an attempt")
			Expect(result.fromTarget).To(BeFalse())
		}
	},
		Entry("the request's", cherrykeel.ReplyHeaders{ID: "r"}, notRun, 0),
		Entry("another request's", cherrykeel.ReplyHeaders{ID: "q"}, outcomeUnknown, 0),
		Entry("no request's", cherrykeel.ReplyHeaders{}, outcomeUnknown, 0),
		Entry("two requests'", cherrykeel.ReplyHeaders{ID: "r", Contradictory: true}, outcomeUnknown, 0),
		Entry("of another upstream, which takes the request for its own", cherrykeel.ReplyHeaders{ID: "r", Instance: "v"}, outcomeUnknown, 0),
		Entry("a misdirected request's that is not named", cherrykeel.ReplyHeaders{Misdirected: true}, outcomeUnknown, 0),
		Entry("a misdirected request's, of nobody in particular", cherrykeel.ReplyHeaders{ID: "r", Misdirected: true}, notRun, 0),
		Entry("of another upstream, which runs nothing that is meant for this one", cherrykeel.ReplyHeaders{ID: "r", Misdirected: true, Instance: "v"}, notRun, 1),
		Entry("of another upstream to no request", cherrykeel.ReplyHeaders{Misdirected: true, Instance: "v"}, outcomeUnknown, 0),
		Entry("of another upstream to another request", cherrykeel.ReplyHeaders{ID: "q", Misdirected: true, Instance: "v"}, outcomeUnknown, 0),
		Entry("of another upstream to two requests", cherrykeel.ReplyHeaders{ID: "r", Contradictory: true, Misdirected: true, Instance: "v"}, outcomeUnknown, 0),
	)
})
