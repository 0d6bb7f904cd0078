package edge_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/deny"
	"cherrykeel/edge"
	"cherrykeel/fakes"
	"cherrykeel/picker"
)

// ownedBy is the Owners of services whose keys belong to one upstream.
type ownedBy string

func (owner ownedBy) Owner(string, int, string) string      { return string(owner) }
func (ownedBy) IsDraining(*cherrykeel.Service, string) bool { return false }

// restingUpstream answers 503 with a Retry-After while it has one, and else 200.
type restingUpstream struct {
	server     *httptest.Server
	retryAfter atomic.Pointer[string]
	requests   atomic.Int64
	// load is its report of its load, or empty.
	load string
	// hold, if set, is closed when the answers may be given.
	hold atomic.Pointer[chan struct{}]
}

func newRestingUpstream(retryAfter string) *restingUpstream {
	upstream := &restingUpstream{}
	upstream.retryAfter.Store(&retryAfter)
	upstream.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		upstream.requests.Add(1)
		if hold := upstream.hold.Load(); hold != nil {
			<-*hold
		}
		if upstream.load != "" {
			writer.Header().Set(cherrykeel.HeaderLoad, upstream.load)
		}
		if value := *upstream.retryAfter.Load(); value != "" {
			writer.Header().Set("Retry-After", value)
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	DeferCleanup(upstream.server.Close)
	return upstream
}

func (upstream *restingUpstream) recover() {
	none := ""
	upstream.retryAfter.Store(&none)
}

// restTest is a host whose upstreams ask for a rest.
type restTest struct {
	clock    *fakes.Clock
	fleet    *edge.Fleet
	connPool *conns.Pool
	service  *cherrykeel.Service
}

func newRestTest(owner string, upstreams ...*restingUpstream) *restTest {
	test := &restTest{clock: fakes.NewClock(cherrykeel.Instant(time.Hour)), connPool: conns.NewPool()}
	test.service = &cherrykeel.Service{
		Path: service, Keyed: owner != "", ChecksFences: true, Partitions: partitions, Slots: 4, QueueLength: 4, Timeout: requestTimeout,
	}
	for i, upstream := range upstreams {
		test.service.Upstreams = append(test.service.Upstreams, cherrykeel.UpstreamServer{
			Name: string(rune('a' + i)), Address: upstream.server.Listener.Addr().String(), Zone: "zone",
		})
	}
	test.fleet = edge.NewFleet("zone", incarnation, test.clock, picker.NewLeastLoaded(), ownedBy(owner), test.connPool.SetLimit)
	test.fleet.Update(map[string]*cherrykeel.Service{service: test.service}, 1)
	return test
}

// send forwards one request with the given time, and returns the status of the forwarded answer or the failure.
func (test *restTest) send(timeout time.Duration) (int, *cherrykeel.Failure) {
	recorder := httptest.NewRecorder()
	exchange := &cherrykeel.Exchange{
		ID: "request", Request: httptest.NewRequest(http.MethodGet, "/", nil), Writer: recorder, Service: test.service,
		Key: "key", Partition: partition, Arrived: test.clock.Now(), Deadline: test.clock.Now().Add(timeout),
	}
	denials := deny.New(deny.Settings{Clock: test.clock, Logger: zap.NewNop()})
	failure := edge.NewForward(test.fleet, test.connPool, denials, test.clock, zap.NewNop()).Serve(exchange, nil)
	return recorder.Code, failure
}

func (test *restTest) waiting() int {
	return test.fleet.SlotRequests()[service]["a"].Waiting
}

var _ = Describe("an upstream that answers 503 with a Retry-After", func() {
	const (
		rest = 3 * time.Second
		// short is the time of a request that must be answered during the rest, and long of one that may be answered after it.
		short = time.Second
		long  = 20 * time.Second
	)

	expectRefused := func(failure *cherrykeel.Failure) {
		GinkgoHelper()
		Expect(failure).NotTo(BeNil())
		Expect(failure.Code).To(Equal("upstream-resting"))
		Expect(failure.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(failure.Outcome).To(Equal(cherrykeel.NotRun))
		Expect(failure.RetryAfter).To(Equal(rest))
	}

	// Guards against pressing an upstream that asked for a rest while others could serve the requests.
	It("gets no request during that time, and requests again after it", func() {
		resting, other := newRestingUpstream("3"), newRestingUpstream("")
		test := newRestTest("", resting, other)
		for range 60 {
			test.send(long)
		}
		Expect(resting.requests.Load()).To(BeEquivalentTo(1))
		Expect(other.requests.Load()).To(BeEquivalentTo(59))
		resting.recover()
		test.clock.Advance(rest)
		for range 60 {
			test.send(long)
		}
		Expect(resting.requests.Load()).To(BeNumerically(">", 1))
	})

	// Guards against pressing the owner of keys that asked for a rest with each request for them.
	It("gets no request for its keys, and what can't be served in time is refused at once", func() {
		owner := newRestingUpstream("3")
		test := newRestTest("a", owner)
		status, failure := test.send(long)
		Expect(failure).To(BeNil())
		Expect(status).To(Equal(http.StatusServiceUnavailable), "its own answer is passed on")
		for range 10 {
			_, failure = test.send(short)
			expectRefused(failure)
		}
		Expect(owner.requests.Load()).To(BeEquivalentTo(1))
	})

	// Guards against refusing requests that have the time to wait for the end of the rest.
	It("gets the requests that could wait once the rest has ended", func() {
		owner := newRestingUpstream("3")
		test := newRestTest("a", owner)
		test.send(long)
		owner.recover()
		answered := make(chan int, 1)
		go func() {
			status, _ := test.send(long)
			answered <- status
		}()
		Eventually(test.waiting, "10s").Should(Equal(1))
		test.clock.Advance(rest - time.Millisecond)
		test.fleet.ResizeQueues()
		Expect(test.waiting()).To(Equal(1))
		test.clock.Advance(time.Millisecond)
		test.fleet.ResizeQueues()
		Eventually(answered, "10s").Should(Receive(Equal(http.StatusOK)))
		Expect(owner.requests.Load()).To(BeEquivalentTo(2))
	})

	// Guards against holding a request until its deadline that waited for a slot when the upstream asked for a rest.
	It("gets none of the requests that wait for it then, and those that can't be served in time are refused at once", func() {
		owner := newRestingUpstream("3")
		test := newRestTest("a", owner)
		test.fleet.ApplySlotGrants(map[string]map[string]int{service: {"a": 1}}, test.clock.Now().Add(time.Hour))
		held := make(chan struct{})
		owner.hold.Store(&held)
		first := make(chan int, 1)
		go func() {
			status, _ := test.send(long)
			first <- status
		}()
		Eventually(owner.requests.Load, "10s").Should(BeEquivalentTo(1))
		refused := make(chan *cherrykeel.Failure, 1)
		go func() {
			_, failure := test.send(short)
			refused <- failure
		}()
		Eventually(test.waiting, "10s").Should(Equal(1))
		close(held)
		Eventually(first, "10s").Should(Receive(Equal(http.StatusServiceUnavailable)))
		var failure *cherrykeel.Failure
		Eventually(refused, "10s").Should(Receive(&failure))
		expectRefused(failure)
		Expect(owner.requests.Load()).To(BeEquivalentTo(1))
	})

	// Guards against choosing a resting upstream for want of another one.
	It("gets no request if all upstreams of its service rest", func() {
		first, second := newRestingUpstream("3"), newRestingUpstream("3")
		test := newRestTest("", first, second)
		for range 2 {
			test.send(short)
		}
		for range 10 {
			_, failure := test.send(short)
			expectRefused(failure)
		}
		Expect(first.requests.Load()).To(BeEquivalentTo(1))
		Expect(second.requests.Load()).To(BeEquivalentTo(1))
	})

	// Guards against an upstream that gets no request any more because of a mistaken value.
	DescribeTable("gets requests again", func(retryAfter string, after time.Duration) {
		owner := newRestingUpstream(retryAfter)
		test := newRestTest("a", owner)
		test.send(long)
		test.clock.Advance(after)
		test.send(long)
		Expect(owner.requests.Load()).To(BeEquivalentTo(2))
	},
		Entry("at once if the value is zero", "0", time.Duration(0)),
		Entry("at once if the value is negative", "-3", time.Duration(0)),
		Entry("at once if the value is no number of seconds", "soon", time.Duration(0)),
		Entry("at once if the value is not finite", "NaN", time.Duration(0)),
		Entry("after the longest rest if the value is longer", "1e300", 30*time.Second),
	)
})

var _ = Describe("an upstream that reported that it is fully loaded", func() {
	// Guards against an upstream that gets no requests any more, since no answer corrects its last report.
	It("gets requests again after a while, though no later report says otherwise", func() {
		loaded, other := newRestingUpstream(""), newRestingUpstream("")
		loaded.load = "1"
		test := newRestTest("", loaded, other)
		for range 60 {
			test.send(requestTimeout)
		}
		before := loaded.requests.Load()
		Expect(before).To(BeEquivalentTo(1))
		test.clock.Advance(10 * time.Second)
		for range 60 {
			test.send(requestTimeout)
		}
		Expect(loaded.requests.Load()).To(BeNumerically(">", before))
	})
})
