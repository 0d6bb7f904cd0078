package relay

import (
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

func splitTarget(service string, weight float64) cherrykeel.SplitTarget {
	return cherrykeel.SplitTarget{Service: service, Weight: weight}
}

var _ = Describe("route matching", func() {
	matcher := newMatcher(cherrykeel.RouteSet{Version: 3, Routes: []cherrykeel.Route{
		{Name: "short", Domain: "Halls.example", PathPrefix: "/a/", SplitTargets: []cherrykeel.SplitTarget{splitTarget("s", 1)}},
		{Name: "long", Domain: "halls.example", PathPrefix: "/a/b/", SplitTargets: []cherrykeel.SplitTarget{splitTarget("s", 1)}},
	}})

	DescribeTable("finds the route with the longest matching prefix", func(domain, path, expected string) {
		found := matcher.findRoute(domain, path)
		if expected == "" {
			Expect(found).To(BeNil())
			return
		}
		Expect(found.Name).To(Equal(expected))
	},
		Entry("the longer one", "halls.example", "/a/b/c", "long"),
		Entry("the shorter one", "halls.example", "/a/bc", "short"),
		Entry("with a port and capitals", "HALLS.example:80", "/a/x", "short"),
		Entry("another path", "halls.example", "/b/", ""),
		Entry("another domain", "other.example", "/a/", ""),
	)

	// Guards against a random spread: operators move a tenth of a route's requests to another service and watch it, and
	// 300 random choices miss the share by 5 in 100 now and then. Credits miss it by one request at the most.
	It("spreads requests over split targets exactly by weight", func() {
		route := &weightedRoute{Route: cherrykeel.Route{SplitTargets: []cherrykeel.SplitTarget{splitTarget("a", 90), splitTarget("b", 7), splitTarget("c", 3)}}, credit: make([]float64, 3)}
		counts := map[string]float64{}
		for number := 1; number <= 300; number++ {
			counts[route.nextService()]++
			for _, target := range route.SplitTargets {
				Expect(math.Abs(counts[target.Service] - float64(number)*target.Weight/100)).To(BeNumerically("<=", 1))
			}
		}
	})
})

var _ = Describe("the retry budget", func() {
	bounds := cherrykeel.Bounds{RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second}

	// Guards against more retries than the platform allows: many sends fail at once on all 8 hosts, each with 30
	// requests a second. In every window of 10 s a service may get retries for a fifth of its requests, and 56 more,
	// from all hosts together.
	It("holds in every window, summed over all hosts", func() {
		budget := newBudget(func() cherrykeel.Bounds { return bounds })
		type spent struct{ at, requests, retries float64 }
		var history []spent
		for tenth := range 600 {
			now := cherrykeel.Instant(time.Duration(tenth) * 100 * time.Millisecond)
			retries := 0.0
			for range 3 {
				budget.recordRequest(now)
				if budget.trySpend(8, now) {
					retries++
				}
			}
			history = append(history, spent{at: float64(tenth), requests: 3, retries: retries})
			from := max(0, len(history)-100)
			requests, windowRetries := 0.0, 0.0
			for _, step := range history[from:] {
				requests += step.requests
				windowRetries += step.retries
			}
			Expect(8 * windowRetries).To(BeNumerically("<=", 0.2*8*requests+56))
		}
		total := 0.0
		for _, step := range history {
			total += step.retries
		}
		Expect(total).To(BeNumerically(">", 0.1*1800), "the allowance is used")
	})
})

var _ = Describe("an upstream's answer", func() {
	signed := cherrykeel.ReplyHeaders{ID: "r", Signed: true}

	// Guards against a caller that pays twice: it takes a status of 503 to mean that its payment did not run and may be
	// sent again, so the status is passed on only if the upstream states that.
	DescribeTable("is passed on only if it can be trusted", func(status int, reply cherrykeel.ReplyHeaders, header http.Header, expected outcome) {
		result := result{status: status, header: header}
		result.classify(reply)
		Expect(result.outcome).To(Equal(expected))
	},
		Entry("a signed success", 200, signed, http.Header{}, answered),
		Entry("an unsigned success", 200, cherrykeel.ReplyHeaders{ID: "r"}, http.Header{}, outcomeUnknown),
		Entry("a success without an id", 200, cherrykeel.ReplyHeaders{Signed: true}, http.Header{}, outcomeUnknown),
		Entry("an encoded success", 200, signed, http.Header{"Content-Encoding": {"gzip"}}, outcomeUnknown),
		Entry("a failure", 500, signed, http.Header{}, answered),
		Entry("a timeout of its own", 504, signed, http.Header{}, answered),
		Entry("503 that does not state that the request did not run", 503, signed, http.Header{}, outcomeUnknown),
		Entry("429 that does not state that the request did not run", 429, signed, http.Header{}, outcomeUnknown),
		Entry("408 that does not state that the request did not run", 408, signed, http.Header{}, outcomeUnknown),
	)
})

// emptyDialect reads and writes no headers; each answer repeats the request's ID.
type emptyDialect struct{}

func (emptyDialect) ReadRequest(*http.Request) cherrykeel.RequestHeaders {
	return cherrykeel.RequestHeaders{ID: "r", Key: cherrykeel.NoKey}
}
func (emptyDialect) MarkRequest(http.Header, cherrykeel.Upstream, time.Duration) {}
func (emptyDialect) MarkAnswer(http.Header, string)                              {}
func (emptyDialect) ReadReply(int, http.Header) cherrykeel.ReplyHeaders {
	return cherrykeel.ReplyHeaders{ID: "r"}
}

// fixedClock always shows the same time.
type fixedClock struct{}

func (fixedClock) Now() cherrykeel.Instant { return cherrykeel.Instant(time.Hour) }
func (fixedClock) Wall() time.Time         { return time.Time{} }

var _ = Describe("a host that is about to exit", func() {
	// Guards against requests that are cut off when the process exits. Stopped 3.5 s ago, the host has 2 s left, and a
	// caller sends a search of a second or two on a connection that was kept open. Refused, the caller retries at
	// another host at once; a request that certainly ends in time is still served.
	DescribeTable("refuses requests that may outlast it", func(remaining time.Duration, refused bool) {
		relay := New(Settings{
			Zone: "z", Clock: fixedClock{}, Dialect: emptyDialect{}, Logger: zap.NewNop(), Scope: tally.NoopScope,
			Bounds: func() cherrykeel.Bounds { return cherrykeel.Bounds{RetryWindow: 10 * time.Second} }, HostCount: func() int { return 1 },
		})
		relay.SetRoutes(cherrykeel.RouteSet{
			Version:  1,
			Services: map[string]cherrykeel.RoutedService{"s": {Name: "s"}},
			Routes:   []cherrykeel.Route{{Domain: "h", PathPrefix: "/", Timeout: time.Second, SplitTargets: []cherrykeel.SplitTarget{splitTarget("s", 1)}}},
		})
		if remaining > 0 {
			relay.SetProcessEnd(fixedClock{}.Now().Add(remaining))
		}
		writer := httptest.NewRecorder()
		relay.ServeHTTP(writer, httptest.NewRequest(http.MethodGet, "http://h/x", nil))
		Expect(writer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(writer.Header().Get("Retry-After")).NotTo(BeEmpty())
		if refused {
			Expect(writer.Body.String()).To(HavePrefix("stopping"))
			return
		}
		Expect(writer.Body.String()).To(HavePrefix("no-upstream"), "accepted, and refused only since there is no upstream")
	},
		Entry("200 ms left for a request of 80 ms that may take three times as long", 200*time.Millisecond, true),
		Entry("less time left than the request's timeout, though it would usually end in time", 900*time.Millisecond, true),
		Entry("a second left", time.Second, false),
		Entry("not stopping", time.Duration(0), false),
	)
})
