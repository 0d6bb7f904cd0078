package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/events"
)

var _ = Describe("a request that was accepted before the stop and waits for an upstream", func() {
	// Guards against a send late in the stop whose answer must wait for an earlier one that outlasts the host.
	It("is not sent behind a request that outlasts the host", func() {
		stopping := newStoppingHost(noRemoval)
		held := stopping.serveSlowRoute(20 * time.Second)
		holding, free, sent := make(chan struct{}, 2), make(chan struct{}), make(chan struct{}, 1)
		busy := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			if strings.HasSuffix(request.URL.Path, "/held") {
				holding <- struct{}{}
				<-free
				return
			}
			sent <- struct{}{}
		}))
		DeferCleanup(busy.Close)
		target := func(service string) []cherrykeel.SplitTarget {
			return []cherrykeel.SplitTarget{{Service: service, Weight: 1}}
		}
		relay := stopping.host.relay
		relay.SetRoutes(cherrykeel.RouteSet{
			Services: map[string]cherrykeel.RoutedService{"slow": {Name: "slow"}, "busy": {Name: "busy"}},
			Routes: []cherrykeel.Route{
				{Name: "slow", Domain: "h", PathPrefix: "/slow/", Timeout: 20 * time.Second, MaxAttempts: 1, SplitTargets: target("slow")},
				{Name: "busy", Domain: "h", PathPrefix: "/busy/", Timeout: 5 * time.Second, TargetLatency: 5 * time.Second, MaxAttempts: 1, SplitTargets: target("busy")},
			},
		})
		relay.SetUpstreams([]cherrykeel.Upstream{
			{ID: "up", Service: "slow", Address: held.Listener.Addr().String(), Slots: 4},
			{ID: "busy", Service: "busy", Address: busy.Listener.Addr().String(), Slots: 1},
		})
		for range 2 {
			stopping.connect("GET /busy/held HTTP/1.1\r\nHost: h\r\n\r\n")
			Eventually(holding, generous).Should(Receive())
		}
		stopping.connect(slowRequest + "GET /busy/next HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(held.reached, generous).Should(Receive())
		Eventually(func() int { return relay.OwnCounts().Queued["busy"] }, generous).Should(Equal(1))
		stopping.begin()
		stopping.clock.Advance(time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		close(free)
		Consistently(sent, "300ms").ShouldNot(Receive(), "sent after the stop began")
		stopping.clock.Advance(testGrace - endMargin)
		Eventually(stopping.ended, generous).Should(BeClosed())
		Expect(sent).NotTo(Receive())
		Expect(stopping.logged.FilterMessage(events.RequestCut.Text).All()).To(HaveLen(2), "the slow one and the refusal behind it")
	})
})
