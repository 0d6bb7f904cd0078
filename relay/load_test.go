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
)

// Guards against loads that are thrown away in silence, and against a log line for each of them.
var _ = Describe("a load that cannot be read", func() {
	It("is logged once, with what was told", func() {
		core, lines := observer.New(zapcore.DebugLevel)
		relay := New(Settings{Clock: cherrykeel.SystemClock(), Dialect: silentDialect{}, Logger: zap.New(core), Scope: tally.NoopScope})
		request := httptest.NewRequest(http.MethodGet, "http://h/", nil)
		exchange := &exchange{relay: relay, request: request}
		exchange.noteUnreadableLoad(cherrykeel.Upstream{ID: "u"}, cherrykeel.UpstreamLoad{Known: true})
		Expect(lines.Len()).To(BeZero())
		for range 3 {
			exchange.noteUnreadableLoad(cherrykeel.Upstream{ID: "u"}, cherrykeel.UpstreamLoad{Malformed: "1,2,3,4,5"})
		}
		Expect(lines.Len()).To(Equal(1))
		Expect(lines.All()[0].ContextMap()).To(HaveKeyWithValue("Told", "1,2,3,4,5"))
	})
})
