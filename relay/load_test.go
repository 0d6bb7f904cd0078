package relay

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cherrykeel"
	"cherrykeel/events"
)

// Guards against malformed load reports that are dropped without a log line, and against a line for each of them.
var _ = Describe("a malformed load report", func() {
	It("is logged once, with its text", func() {
		core, lines := observer.New(zapcore.DebugLevel)
		relay := New(Settings{Clock: cherrykeel.SystemClock(), Dialect: emptyDialect{}, Logger: zap.New(core), Scope: tally.NoopScope})
		request := httptest.NewRequest(http.MethodGet, "http://h/", nil)
		exchange := &exchange{relay: relay, request: request}
		exchange.logMalformed(events.LoadUnreadable, cherrykeel.Upstream{ID: "u"}, cherrykeel.UpstreamLoad{Known: true}.Malformed)
		Expect(lines.Len()).To(BeZero())
		for range 3 {
			exchange.logMalformed(events.LoadUnreadable, cherrykeel.Upstream{ID: "u"}, cherrykeel.UpstreamLoad{Malformed: "1,2,3,4,5"}.Malformed)
		}
		Expect(lines.Len()).To(Equal(1))
		Expect(lines.All()[0].ContextMap()).To(HaveKeyWithValue("Told", "1,2,3,4,5"))
	})
})

// Guards against malformed times to rest that are dropped without a log line, and against a line for each of them.
var _ = Describe("a malformed time for which an upstream wants no request", func() {
	It("is logged once, with its text", func() {
		core, lines := observer.New(zapcore.DebugLevel)
		relay := New(Settings{Clock: cherrykeel.SystemClock(), Dialect: emptyDialect{}, Logger: zap.New(core), Scope: tally.NoopScope})
		exchange := &exchange{relay: relay, request: httptest.NewRequest(http.MethodGet, "http://h/", nil)}
		exchange.logMalformed(events.RetryAfterMalformed, cherrykeel.Upstream{ID: "u"}, "")
		Expect(lines.Len()).To(BeZero())
		for range 3 {
			exchange.logMalformed(events.RetryAfterMalformed, cherrykeel.Upstream{ID: "u"}, "-3")
		}
		Expect(lines.Len()).To(Equal(1))
		Expect(lines.All()[0].ContextMap()).To(HaveKeyWithValue("Told", "-3"))
	})
})
