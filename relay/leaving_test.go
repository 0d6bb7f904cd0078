package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/conns"
)

// fixedReplyDialect reads the same headers from each answer.
type fixedReplyDialect struct {
	emptyDialect
	reply cherrykeel.ReplyHeaders
}

func (dialect fixedReplyDialect) ReadReply(int, http.Header) cherrykeel.ReplyHeaders {
	return dialect.reply
}

var _ = Describe("an answer in which the upstream states that it is leaving", func() {
	// heard sends a request to an upstream that answers with a status, and returns the upstreams that were reported as
	// leaving before the caller got its answer.
	heard := func(status int, reply cherrykeel.ReplyHeaders) []string {
		GinkgoHelper()
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(status)
			_, _ = io.WriteString(writer, "body")
		}))
		DeferCleanup(server.Close)
		writer := httptest.NewRecorder()
		var leaving []string
		relay := New(Settings{
			Zone: "z", Clock: cherrykeel.SystemClock(), Dialect: fixedReplyDialect{reply: reply}, Pool: conns.NewPool(), Logger: zap.NewNop(), Scope: tally.NoopScope,
			Bounds: func() cherrykeel.Bounds { return cherrykeel.Bounds{RetryWindow: 10 * time.Second} }, HostCount: func() int { return 1 },
			OnUpstreamReplaced: func(cherrykeel.Upstream) {}, OnMisdirected: func() {},
			OnUpstreamLeaving: func(upstream cherrykeel.Upstream, request string) {
				Expect(writer.Body.Len()).To(BeZero(), "the answer has not been passed on yet")
				leaving = append(leaving, upstream.ID+" "+request)
			},
		})
		relay.SetRoutes(cherrykeel.RouteSet{
			Version:  1,
			Services: map[string]cherrykeel.RoutedService{"s": {Name: "s"}},
			Routes:   []cherrykeel.Route{{Domain: "h", PathPrefix: "/", Timeout: time.Minute, TargetLatency: time.Minute, MaxAttempts: 1, SplitTargets: []cherrykeel.SplitTarget{splitTarget("s", 1)}}},
		})
		relay.SetUpstreams([]cherrykeel.Upstream{{ID: "u", Service: "s", Address: server.Listener.Addr().String(), Slots: 1}})
		relay.ServeHTTP(writer, httptest.NewRequest(http.MethodGet, "http://h/x", strings.NewReader("")))
		return leaving
	}

	// Guards against a statement that counts only in a success, or counts though it is another upstream's.
	DescribeTable("is heeded whatever its status, if it is the upstream's answer to this request", func(status int, reply cherrykeel.ReplyHeaders, heeded bool) {
		reply.Leaving = true
		if !heeded {
			Expect(heard(status, reply)).To(BeEmpty())
			return
		}
		Expect(heard(status, reply)).To(Equal([]string{"u r"}))
	},
		Entry("a success", 200, cherrykeel.ReplyHeaders{ID: "r", Signed: true}, true),
		Entry("a failure", 500, cherrykeel.ReplyHeaders{ID: "r", Signed: true}, true),
		Entry("a refusal", 503, cherrykeel.ReplyHeaders{ID: "r", NotRun: true}, true),
		Entry("a failure without an id", 500, cherrykeel.ReplyHeaders{}, false),
		Entry("a failure without an id that names the upstream", 500, cherrykeel.ReplyHeaders{Instance: "u"}, false),
		Entry("an answer that names two requests", 500, cherrykeel.ReplyHeaders{ID: "r", Contradictory: true}, false),
		Entry("an answer that names the upstream", 500, cherrykeel.ReplyHeaders{ID: "r", Instance: "u"}, true),
		Entry("a misdirected request to the upstream itself", 421, cherrykeel.ReplyHeaders{ID: "r", Instance: "u", NotRun: true, Misdirected: true}, true),
		Entry("an answer to another request", 200, cherrykeel.ReplyHeaders{ID: "q", Signed: true}, false),
		Entry("an answer of another upstream", 421, cherrykeel.ReplyHeaders{ID: "r", Instance: "v", NotRun: true, Misdirected: true}, false),
		Entry("a misdirected request to nobody in particular", 421, cherrykeel.ReplyHeaders{ID: "r", NotRun: true, Misdirected: true}, false),
	)
})
