package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/deny"
	"cherrykeel/flow"
	"cherrykeel/poison"
)

var _ = Describe("a request that becomes denied while it waits", func() {
	var (
		relay  *Relay
		denied *deny.List
	)

	BeforeEach(func() {
		clock := cherrykeel.SystemClock()
		denied = deny.New(deny.Settings{Clock: clock, Logger: zap.NewNop()})
		relay = New(Settings{
			Zone: "z", Clock: clock, Dialect: emptyDialect{}, Logger: zap.NewNop(), Scope: tally.NoopScope, DenyList: denied,
			Bounds: func() cherrykeel.Bounds { return cherrykeel.Bounds{RetryWindow: 10 * time.Second} },
			Owner:  func(string, int) flow.Owner { return flow.Owner{} }, HostCount: func() int { return 1 },
			OnKeyRequest: func(string, int) {},
		})
		relay.SetRoutes(cherrykeel.RouteSet{
			Version:  1,
			Services: map[string]cherrykeel.RoutedService{"s": {Name: "s", Keyed: true}},
			Routes:   []cherrykeel.Route{{Domain: "h", PathPrefix: "/", Timeout: time.Minute, TargetLatency: time.Minute, SplitTargets: []cherrykeel.SplitTarget{splitTarget("s", 1)}}},
		})
		relay.SetUpstreams([]cherrykeel.Upstream{{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1}})
	})

	addDenial := func(fingerprint poison.Fingerprint) {
		record := poison.Record{Fingerprint: fingerprint, Service: "s"}
		for _, upstream := range []string{"a", "b", "c"} {
			record.Crashes = append(record.Crashes, poison.Crash{Incarnation: poison.Incarnation{Upstream: upstream}, SeenAt: time.Now().UnixMilli()})
		}
		denied.Merge(record)
	}

	// Guards against a denied request that stays queued and is the first that the next owner gets: it waits for its
	// key's owner, which has crashed, and another host announces the third upstream that crashed while it ran.
	It("is refused as not run, and others keep waiting", func() {
		results := make(chan *httptest.ResponseRecorder, 2)
		send := func(path string) {
			request := httptest.NewRequest(http.MethodGet, "http://h"+path, strings.NewReader(""))
			writer := httptest.NewRecorder()
			exchange := &exchange{relay: relay, request: request, writer: writer, arrived: relay.clock.Now(), headers: cherrykeel.RequestHeaders{ID: path, Key: 7}}
			failure := exchange.prepare()
			if failure == nil {
				failure = exchange.run()
			}
			exchange.writeFailure(failure)
			results <- writer
		}
		go send("/deadly")
		go send("/other")
		Eventually(func() int { return relay.OwnCounts().Waiting[""] }).Should(Equal(2))
		incoming := httptest.NewRequest(http.MethodGet, "http://h/deadly", nil)
		addDenial(poison.FingerprintOf(poison.RequestParts{Method: http.MethodGet, Domain: "h", Path: incoming.RequestURI, Key: "7", CallerAddress: incoming.RemoteAddr}))
		var writer *httptest.ResponseRecorder
		Eventually(results).Should(Receive(&writer))
		Expect(writer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(writer.Body.String()).To(HavePrefix("ends-upstreams"))
		Expect(writer.Header().Get(cherrykeel.HeaderOutcome)).To(Equal(string(cherrykeel.NotRun)))
		Expect(writer.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(relay.OwnCounts().Waiting[""]).To(Equal(1))
	})

	// Guards against a payment that its caller sends again: the first send may have run before the request is denied,
	// and the refusal must not state that it has not run.
	It("is answered with an unknown outcome if an attempt may have run", func() {
		exchange := &exchange{relay: relay, request: httptest.NewRequest(http.MethodGet, "http://h/deadly", nil), mayHaveRun: true, deadline: relay.clock.Now().Add(time.Minute)}
		exchange.denyRequest = denied.NewRequest(exchange.fingerprintParts())
		addDenial(exchange.denyRequest.Fingerprint())
		_, failure := exchange.acquireSlot(context.Background())
		Expect(failure.Outcome).To(Equal(cherrykeel.OutcomeUnknown))
		Expect(failure.Status).To(Equal(http.StatusBadGateway))
	})
})
