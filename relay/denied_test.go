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

var _ = Describe("a request that waits while it becomes known to end upstreams", func() {
	var (
		relay  *Relay
		denied *deny.List
	)

	BeforeEach(func() {
		clock := cherrykeel.SystemClock()
		denied = deny.New(deny.Settings{Clock: clock, Logger: zap.NewNop()})
		relay = New(Settings{
			Zone: "z", Clock: clock, Dialect: silentDialect{}, Logger: zap.NewNop(), Scope: tally.NoopScope, DenyList: denied,
			Bounds: func() cherrykeel.Bounds { return cherrykeel.Bounds{RetryWindow: 10 * time.Second} },
			Owner:  func(string, int) flow.Owner { return flow.Owner{} }, HostCount: func() int { return 1 },
			OnKeyRequest: func(string, int) {},
		})
		relay.SetRoutes(cherrykeel.RouteSet{
			Version:  1,
			Services: map[string]cherrykeel.RoutedService{"s": {Name: "s", Keyed: true}},
			Routes:   []cherrykeel.Route{{Domain: "h", PathPrefix: "/", Timeout: time.Minute, TargetLatency: time.Minute, SplitTargets: []cherrykeel.SplitTarget{part("s", 1)}}},
		})
		relay.SetUpstreams([]cherrykeel.Upstream{{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1}})
	})

	condemn := func(identity poison.Identity) {
		record := poison.Record{Identity: identity, Service: "s"}
		for _, upstream := range []string{"a", "b", "c"} {
			record.Ends = append(record.Ends, poison.End{Life: poison.Life{Upstream: upstream}, At: time.Now().UnixMilli()})
		}
		denied.Merge(record)
	}

	// A request waits for the owner of its key, which has ended. Meanwhile another host tells of the third upstream that
	// has ended under it. Left to wait, it would be the first that the next owner gets.
	It("is refused there, surely not run, and others wait on", func() {
		results := make(chan *httptest.ResponseRecorder, 2)
		ask := func(path string) {
			request := httptest.NewRequest(http.MethodGet, "http://h"+path, strings.NewReader(""))
			writer := httptest.NewRecorder()
			exchange := &exchange{relay: relay, request: request, writer: writer, arrived: relay.clock.Now(), asked: cherrykeel.RequestHeaders{ID: path, Key: 7}}
			failure := exchange.prepare()
			if failure == nil {
				failure = exchange.run()
			}
			exchange.fail(failure)
			results <- writer
		}
		go ask("/deadly")
		go ask("/other")
		Eventually(func() int { return relay.OwnCounts().Waiting[""] }).Should(Equal(2))
		incoming := httptest.NewRequest(http.MethodGet, "http://h/deadly", nil)
		condemn(poison.Identify(poison.Parts{Method: http.MethodGet, Domain: "h", Path: incoming.RequestURI, Key: "7", Caller: incoming.RemoteAddr}))
		var writer *httptest.ResponseRecorder
		Eventually(results).Should(Receive(&writer))
		Expect(writer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(writer.Body.String()).To(HavePrefix("ends-upstreams"))
		Expect(writer.Header().Get(cherrykeel.HeaderOutcome)).To(Equal(string(cherrykeel.NotRun)))
		Expect(writer.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(relay.OwnCounts().Waiting[""]).To(Equal(1))
	})

	// The first send of a request may have run, and then it turns out to end upstreams. That it is refused now does not
	// make the first send undone, and a payment would be sent again by its caller.
	It("is told that the outcome is unknown if a send may have run", func() {
		exchange := &exchange{relay: relay, request: httptest.NewRequest(http.MethodGet, "http://h/deadly", nil), mayHaveRun: true, deadline: relay.clock.Now().Add(time.Minute)}
		exchange.listed = denied.Request(exchange.parts())
		condemn(exchange.listed.Identity())
		_, failure := exchange.admit(context.Background())
		Expect(failure.Outcome).To(Equal(cherrykeel.OutcomeUnknown))
		Expect(failure.Status).To(Equal(http.StatusBadGateway))
	})
})
