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

var _ = Describe("a request that is sent once more", func() {
	var (
		one   *exchange
		owner flow.Owner
	)

	BeforeEach(func() {
		owner = flow.Owner{ID: "a", Fence: 3}
		bounds := func() cherrykeel.Bounds {
			return cherrykeel.Bounds{RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second}
		}
		one = &exchange{
			relay: New(Settings{
				Clock: stillClock{}, HostCount: func() int { return 8 }, OnMisdirected: func() {},
				Owner: func(string, int) flow.Owner { return owner },
			}),
			route:      &dealt{Route: cherrykeel.Route{Repeatable: true, MaxAttempts: 2}},
			dispatcher: &dispatcher{name: "s", keyed: true, budget: newBudget(bounds)},
			asked:      cherrykeel.RequestHeaders{Key: 7},
			inputs:     flow.Inputs{Owner: "a", Fence: 3, ProcessingTime: 200 * time.Millisecond},
			deadline:   cherrykeel.Instant(time.Hour + 4*time.Second),
			attempts:   1,
		}
	})

	// The only upstream that may serve the key is full and rejects the request. Sent again a millisecond later it
	// meets the same queue and is refused for good, though its caller would have waited for seconds.
	It("waits for about one piece of work before its owner is asked again", func() {
		now := cherrykeel.Instant(time.Hour)
		for range 50 {
			Expect(one.ownerPause(now)).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<=", 200*time.Millisecond)))
		}
		one.inputs.ProcessingTime = 20 * time.Second
		Expect(one.ownerPause(now)).To(Equal(time.Second), "a quarter of what is left")
		begun := time.Now()
		one.inputs.ProcessingTime = 200 * time.Millisecond
		Expect(one.again(context.Background(), result{finding: notRun}, now)).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically(">=", 100*time.Millisecond))
	})

	// The key has moved while the request waited at its last owner, and the new one has not got its grant yet. Each
	// pause is longer than the one before: three sends within 30 ms used up the retry budget, and the caller was
	// refused with 7 s left.
	It("waits longer each time that an upstream has not got its key", func() {
		var pauses []time.Duration
		for range 3 {
			begun := time.Now()
			Expect(one.again(context.Background(), result{finding: notRun, misdirected: true}, cherrykeel.Instant(time.Hour))).To(BeTrue())
			pauses = append(pauses, time.Since(begun))
		}
		Expect(pauses[0]).To(BeNumerically(">=", 15*time.Millisecond))
		Expect(pauses[1]).To(BeNumerically(">=", 60*time.Millisecond))
		Expect(pauses[2]).To(BeNumerically(">=", 240*time.Millisecond))
		Expect(one.attempts).To(BeNumerically("<=", 1), "what was misdirected has run nowhere")
		Expect(one.again(context.Background(), result{finding: notRun, misdirected: true}, cherrykeel.Instant(time.Hour))).To(BeFalse())
	})

	// A key is moved under work that outlasts the old owner's hold. That one ends it with 500; the new one can
	// still answer in time. A failure while the key stays is the upstream's own answer.
	It("runs at the new owner what the old one ended with the key", func() {
		now := cherrykeel.Instant(time.Hour)
		failed := result{finding: answered, status: 500}
		Expect(one.lostWithKey(failed, now)).To(BeFalse())
		owner = flow.Owner{ID: "b", Fence: 9}
		Expect(one.lostWithKey(result{finding: answered, status: 404}, now)).To(BeFalse())
		Expect(one.lostWithKey(failed, now)).To(BeTrue())
		one.route.Repeatable = false
		Expect(one.lostWithKey(failed, now)).To(BeFalse())
	})
})

var _ = Describe("an upstream's failure that was kept", func() {
	// An owner ended a search with its key, and the search could not be run again in time. The caller gets the
	// owner's own answer, not a failure of the router's: what is ready is delivered.
	It("is passed on in place of a failure of the router's own", func() {
		writer := httptest.NewRecorder()
		one := &exchange{
			relay:      New(Settings{Clock: stillClock{}, Scope: tally.NoopScope, Logger: zap.NewNop()}),
			dispatcher: &dispatcher{name: "s"},
			writer:     writer,
			kept: &keptAnswer{
				place:  &flow.Slot{Upstream: cherrykeel.Upstream{ID: "a"}},
				result: result{finding: answered, status: http.StatusInternalServerError, header: http.Header{"X": {"1"}}, body: []byte("broken")},
			},
		}
		failure := cherrykeel.Refuse(http.StatusServiceUnavailable, "crowded", "no place")
		Expect(one.instead(failure)).To(BeNil())
		Expect(writer.Code).To(Equal(http.StatusInternalServerError))
		Expect(writer.Body.String()).To(Equal("broken"))
		one.kept = nil
		Expect(one.instead(failure)).To(Equal(failure))
	})
})
