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

func part(service string, weight float64) cherrykeel.SplitTarget {
	return cherrykeel.SplitTarget{Service: service, Weight: weight}
}

var _ = Describe("matching", func() {
	matcher := newMatcher(cherrykeel.RouteSet{Version: 3, Routes: []cherrykeel.Route{
		{Name: "short", Domain: "Halls.example", PathPrefix: "/a/", SplitTargets: []cherrykeel.SplitTarget{part("s", 1)}},
		{Name: "long", Domain: "halls.example", PathPrefix: "/a/b/", SplitTargets: []cherrykeel.SplitTarget{part("s", 1)}},
	}})

	DescribeTable("takes the longest prefix of the host's routes", func(domain, path, expected string) {
		found := matcher.find(domain, path)
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
		Entry("another host", "other.example", "/a/", ""),
	)

	// Operators move a tenth of a route's requests to another service and watch it. Dealt by chance, 300
	// requests would miss the share by 5 in 100 now and then; dealt by credit they miss by one request.
	It("deals requests by weight, exactly", func() {
		route := &dealt{Route: cherrykeel.Route{SplitTargets: []cherrykeel.SplitTarget{part("a", 90), part("b", 7), part("c", 3)}}, credit: make([]float64, 3)}
		counts := map[string]float64{}
		for number := 1; number <= 300; number++ {
			counts[route.deal()]++
			for _, one := range route.SplitTargets {
				Expect(math.Abs(counts[one.Service] - float64(number)*one.Weight/100)).To(BeNumerically("<=", 1))
			}
		}
	})
})

var _ = Describe("the retry budget", func() {
	bounds := cherrykeel.Bounds{RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second}

	// Many sends fail at once on all 8 hosts, each with 30 requests a second. In every window of 10 s the
	// service may get a fifth of its requests once more, and 56; all hosts together stay below that.
	It("holds in every window, summed over all hosts", func() {
		budget := newBudget(func() cherrykeel.Bounds { return bounds })
		type spent struct{ at, requests, repeats float64 }
		var history []spent
		for tenth := range 600 {
			now := cherrykeel.Instant(time.Duration(tenth) * 100 * time.Millisecond)
			repeats := 0.0
			for range 3 {
				budget.request(now)
				if budget.spend(8, now) {
					repeats++
				}
			}
			history = append(history, spent{at: float64(tenth), requests: 3, repeats: repeats})
			from := max(0, len(history)-100)
			requests, again := 0.0, 0.0
			for _, one := range history[from:] {
				requests += one.requests
				again += one.repeats
			}
			Expect(8 * again).To(BeNumerically("<=", 0.2*8*requests+56))
		}
		total := 0.0
		for _, one := range history {
			total += one.repeats
		}
		Expect(total).To(BeNumerically(">", 0.1*1800), "the allowance is used")
	})
})

var _ = Describe("an upstream's answer", func() {
	signed := cherrykeel.ReplyHeaders{ID: "r", Signed: true}

	// A status of 503 tells the caller that its payment did not run and may be sent again. Only an upstream
	// that says so may be believed; else the caller pays twice.
	DescribeTable("is passed on only if it can be trusted", func(status int, reply cherrykeel.ReplyHeaders, header http.Header, expected finding) {
		result := result{status: status, header: header}
		result.judge(reply)
		Expect(result.finding).To(Equal(expected))
	},
		Entry("a signed success", 200, signed, http.Header{}, answered),
		Entry("an unsigned success", 200, cherrykeel.ReplyHeaders{ID: "r"}, http.Header{}, uncertain),
		Entry("a success without an id", 200, cherrykeel.ReplyHeaders{Signed: true}, http.Header{}, uncertain),
		Entry("an encoded success", 200, signed, http.Header{"Content-Encoding": {"gzip"}}, uncertain),
		Entry("a failure", 500, signed, http.Header{}, answered),
		Entry("a time-out of its own", 504, signed, http.Header{}, answered),
		Entry("503 that does not say that nothing ran", 503, signed, http.Header{}, uncertain),
		Entry("429 that does not say that nothing ran", 429, signed, http.Header{}, uncertain),
		Entry("408 that does not say that nothing ran", 408, signed, http.Header{}, uncertain),
	)
})

// silentDialect knows no headers.
type silentDialect struct{}

func (silentDialect) ReadRequest(*http.Request) cherrykeel.RequestHeaders {
	return cherrykeel.RequestHeaders{ID: "r", Key: cherrykeel.NoKey}
}
func (silentDialect) MarkRequest(http.Header, cherrykeel.Upstream, time.Duration) {}
func (silentDialect) MarkAnswer(http.Header, string)                              {}
func (silentDialect) ReadReply(int, http.Header) cherrykeel.ReplyHeaders {
	return cherrykeel.ReplyHeaders{}
}

type stillClock struct{}

func (stillClock) Now() cherrykeel.Instant { return cherrykeel.Instant(time.Hour) }
func (stillClock) Wall() time.Time         { return time.Time{} }

var _ = Describe("a host that is about to end", func() {
	// A host was told to stop 3.5 s ago and has 2 s left. A caller sends a search that takes a second or two
	// on a connection it kept. Taken, it is cut off when the process ends; refused, the caller asks another
	// host at once. What surely ends in time is still served.
	DescribeTable("refuses what would outlast it", func(left time.Duration, refused bool) {
		relay := New(Settings{
			Zone: "z", Clock: stillClock{}, Dialect: silentDialect{}, Logger: zap.NewNop(), Scope: tally.NoopScope,
			Bounds: func() cherrykeel.Bounds { return cherrykeel.Bounds{RetryWindow: 10 * time.Second} }, HostCount: func() int { return 1 },
		})
		relay.SetRoutes(cherrykeel.RouteSet{
			Version:  1,
			Services: map[string]cherrykeel.RoutedService{"s": {Name: "s"}},
			Routes:   []cherrykeel.Route{{Domain: "h", PathPrefix: "/", Timeout: time.Second, SplitTargets: []cherrykeel.SplitTarget{part("s", 1)}}},
		})
		if left > 0 {
			relay.SetProcessEnd(stillClock{}.Now().Add(left))
		}
		writer := httptest.NewRecorder()
		relay.ServeHTTP(writer, httptest.NewRequest(http.MethodGet, "http://h/x", nil))
		Expect(writer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(writer.Header().Get("Retry-After")).NotTo(BeEmpty())
		if refused {
			Expect(writer.Body.String()).To(HavePrefix("stopping"))
			return
		}
		Expect(writer.Body.String()).To(HavePrefix("no-upstream"), "taken, and refused only for want of an upstream")
	},
		Entry("with 200 ms left for work of 80 ms that may take three times as long", 200*time.Millisecond, true),
		Entry("with less left than the request has, though it would usually end in time", 900*time.Millisecond, true),
		Entry("with a second left", time.Second, false),
		Entry("not stopping", time.Duration(0), false),
	)
})
