package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/flow"
)

var _ = Describe("a request that is sent again", func() {
	var (
		current *exchange
		owner   flow.Owner
	)

	BeforeEach(func() {
		owner = flow.Owner{ID: "a", Fence: 3}
		bounds := func() cherrykeel.Bounds {
			return cherrykeel.Bounds{RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second}
		}
		current = &exchange{
			relay: New(Settings{
				Clock: fixedClock{}, HostCount: func() int { return 8 }, OnMisdirected: func() {},
				Owner: func(string, int) flow.Owner { return owner },
			}),
			route:      &weightedRoute{Route: cherrykeel.Route{Repeatable: true, MaxAttempts: 2}},
			dispatcher: newDispatcher("s", true, "z", func(string, int) flow.Owner { return owner }, bounds, func() {}),
			headers:    cherrykeel.RequestHeaders{Key: 7},
			inputs:     flow.Inputs{Owner: "a", Fence: 3, ProcessingTime: 200 * time.Millisecond},
			deadline:   cherrykeel.Instant(time.Hour + 4*time.Second),
			attempts:   1,
		}
		for range 100 {
			current.dispatcher.recordRequest(fixedClock{}.Now())
		}
	})

	// Guards against a request that is refused for good although its caller would have waited for seconds: the only
	// upstream that may serve its key is full, and a millisecond later it meets the same queue again.
	It("waits for about one processing time before it is sent to its owner again", func() {
		now := cherrykeel.Instant(time.Hour)
		for range 50 {
			Expect(current.ownerPause(now)).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<=", 200*time.Millisecond)))
		}
		current.inputs.ProcessingTime = 20 * time.Second
		Expect(current.ownerPause(now)).To(Equal(time.Second), "a quarter of the time until the deadline")
		start := time.Now()
		current.inputs.ProcessingTime = 200 * time.Millisecond
		Expect(current.canRetry(context.Background(), result{outcome: notRun}, now)).To(BeTrue())
		Expect(time.Since(start)).To(BeNumerically(">=", 100*time.Millisecond))
	})

	// Guards against a caller that is refused with 7 s left: its key was transferred while the request waited at the
	// old owner, the new owner has no grant yet, and three sends within 30 ms use up the retry budget.
	It("waits longer each time that an upstream does not own its key", func() {
		var pauses []time.Duration
		for range 3 {
			start := time.Now()
			Expect(current.canRetry(context.Background(), result{outcome: notRun, misdirected: true}, cherrykeel.Instant(time.Hour))).To(BeTrue())
			pauses = append(pauses, time.Since(start))
		}
		Expect(pauses[0]).To(BeNumerically(">=", 15*time.Millisecond))
		Expect(pauses[1]).To(BeNumerically(">=", 60*time.Millisecond))
		Expect(pauses[2]).To(BeNumerically(">=", 240*time.Millisecond))
		Expect(current.attempts).To(BeNumerically("<=", 1), "a misdirected request has not run")
		Expect(current.canRetry(context.Background(), result{outcome: notRun, misdirected: true}, cherrykeel.Instant(time.Hour))).To(BeFalse())
	})

	// Guards against an answer of 500 that the caller need not get: a key is transferred while a request outlasts the
	// old owner's lease, and the new owner can still answer in time. A failure without a transfer is the upstream's own
	// answer.
	It("runs again at the new owner after the old owner ended it with the lease", func() {
		now := cherrykeel.Instant(time.Hour)
		failed := result{outcome: answered, status: 500}
		Expect(current.canRetryAtNewOwner(failed, now)).To(BeFalse())
		owner = flow.Owner{ID: "b", Fence: 9}
		Expect(current.canRetryAtNewOwner(result{outcome: answered, status: 404}, now)).To(BeFalse())
		Expect(current.canRetryAtNewOwner(failed, now)).To(BeTrue())
		current.route.Repeatable = false
		Expect(current.canRetryAtNewOwner(failed, now)).To(BeFalse())
	})
})

var _ = Describe("an upstream's failure before a retry", func() {
	// Guards against a failure that this host generates although it has an answer: an owner ended a search with its
	// lease, and the search could not run again in time.
	It("is passed on in place of a failure that this host generates", func() {
		writer := httptest.NewRecorder()
		current := &exchange{
			relay:      New(Settings{Clock: fixedClock{}, Scope: tally.NoopScope, Logger: zap.NewNop()}),
			dispatcher: &dispatcher{name: "s"},
			writer:     writer,
			fallback: &fallbackAnswer{
				slot:   &flow.Slot{Upstream: cherrykeel.Upstream{ID: "a"}},
				result: result{outcome: answered, status: http.StatusInternalServerError, header: http.Header{"X": {"1"}}, body: []byte("broken")},
			},
		}
		failure := cherrykeel.Refuse(http.StatusServiceUnavailable, "crowded", "no place")
		Expect(current.preferFallback(failure)).To(BeNil())
		Expect(writer.Code).To(Equal(http.StatusInternalServerError))
		Expect(writer.Body.String()).To(Equal("broken"))
		current.fallback = nil
		Expect(current.preferFallback(failure)).To(Equal(failure))
	})
})
