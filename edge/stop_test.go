package edge_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/deny"
	"cherrykeel/edge"
	"cherrykeel/fakes"
	"cherrykeel/picker"
)

var _ = Describe("a request at a host that stops", func() {
	const (
		// tooSoon is a stop that ends before the requests' deadlines, and lateEnough one that ends after them.
		tooSoon    = requestTimeout
		lateEnough = 2 * requestTimeout
	)

	var (
		clock *fakes.Clock
		fleet *edge.Fleet
	)

	BeforeEach(func() {
		clock = fakes.NewClock(cherrykeel.Instant(time.Hour))
		fleet = edge.NewFleet("zone", incarnation, clock, picker.NewLeastLoaded(), &manualClock{}, func(string, int) {})
		fleet.Update(map[string]*cherrykeel.Service{service: {
			Path: service, Slots: 1, QueueLength: 4, Timeout: requestTimeout, RetryShare: 1,
			Upstreams: []cherrykeel.UpstreamServer{{Name: "a", Address: "a:1", Zone: "zone"}},
		}}, 1)
	})

	newExchange := func() *cherrykeel.Exchange {
		return &cherrykeel.Exchange{
			ID: "request", Request: httptest.NewRequest(http.MethodGet, "/", nil), Writer: httptest.NewRecorder(),
			Service:    &cherrykeel.Service{Path: service, Timeout: requestTimeout, RetryShare: 1},
			Repeatable: true,
			Arrived:    clock.Now(),
			Deadline:   clock.Now().Add(requestTimeout),
		}
	}
	serve := func(sender senderFunc) *cherrykeel.Failure {
		denials := deny.New(deny.Settings{Clock: clock, Logger: zap.NewNop()})
		return edge.NewForward(fleet, sender, denials, clock, zap.NewNop()).Serve(newExchange(), nil)
	}
	beginStop := func(timeout time.Duration) { fleet.BeginStop(clock.Now().Add(timeout)) }
	expectRefused := func(failure *cherrykeel.Failure, outcome cherrykeel.Outcome) {
		Expect(failure).NotTo(BeNil())
		Expect(failure.Code).To(Equal("host-stopping"))
		Expect(failure.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(failure.Outcome).To(Equal(outcome))
		Expect(failure.RetryAfter).To(BeNumerically(">", 0))
	}
	neverSend := func(context.Context, *http.Request) (conns.Progress, error) {
		defer GinkgoRecover()
		Fail("the request was sent")
		return conns.NotSent, nil
	}

	// Guards against cutting a request that the host took although the stop ends before the request's deadline.
	It("is refused as not run if its deadline is later than the end of the stop", func() {
		beginStop(tooSoon)
		expectRefused(serve(neverSend), cherrykeel.NotRun)
	})

	It("is sent if its deadline is earlier than the end of the stop", func() {
		beginStop(lateEnough)
		sent := false
		serve(func(context.Context, *http.Request) (conns.Progress, error) {
			sent = true
			clock.Advance(requestTimeout)
			return conns.Sent, errors.New("connection reset by peer")
		})
		Expect(sent).To(BeTrue())
	})

	// Guards against reading a body until the host ends, and against an intent in the log, for a request that is refused.
	It("is refused before its body is read", func() {
		beginStop(tooSoon)
		expectRefused(edge.NewStopCheck(fleet).Serve(newExchange(), func(*cherrykeel.Exchange) *cherrykeel.Failure { return nil }), cherrykeel.NotRun)
	})

	// Guards against cutting a request that waits for a slot when the stop begins and is sent shortly before its end.
	It("is refused as not run if it waits for a slot when the stop begins", func() {
		begun, release, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			serve(func(context.Context, *http.Request) (conns.Progress, error) {
				close(begun)
				<-release
				clock.Advance(requestTimeout)
				return conns.Sent, errors.New("connection reset by peer")
			})
		}()
		DeferCleanup(func() {
			close(release)
			<-ended
		})
		Eventually(begun, "10s").Should(BeClosed())
		refused := make(chan *cherrykeel.Failure, 1)
		go func() { refused <- serve(neverSend) }()
		waiting := func() int { return fleet.SlotRequests()[service]["a"].Waiting }
		Eventually(waiting, "10s").Should(Equal(1))
		beginStop(tooSoon)
		var failure *cherrykeel.Failure
		Eventually(refused, "10s").Should(Receive(&failure))
		expectRefused(failure, cherrykeel.NotRun)
		Expect(waiting()).To(BeZero())
	})

	// Guards against cutting a request whose connection is established only after the stop has begun.
	It("is refused as not run if the stop begins while it is not yet written", func() {
		attempts := 0
		failure := serve(func(ctx context.Context, _ *http.Request) (conns.Progress, error) {
			attempts++
			beginStop(tooSoon)
			Expect(mayWrite(ctx)).To(BeFalse())
			return conns.NotSent, conns.ErrNotReady
		})
		expectRefused(failure, cherrykeel.NotRun)
		Expect(attempts).To(Equal(1))
	})

	// Guards against cutting a request whose repeat is sent after the stop has begun.
	It("is not repeated if the stop begins during an attempt", func() {
		attempts := 0
		failure := serve(func(ctx context.Context, _ *http.Request) (conns.Progress, error) {
			attempts++
			Expect(mayWrite(ctx)).To(BeTrue())
			beginStop(tooSoon)
			return conns.Sent, errors.New("connection reset by peer")
		})
		expectRefused(failure, cherrykeel.OutcomeUnknown)
		Expect(attempts).To(Equal(1))
	})
})
