package relay

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/memory"
)

// forbidRepeats replaces the relay's route by one whose requests may not be repeated.
func forbidRepeats(relay *Relay) {
	relay.SetRoutes(cherrykeel.RouteSet{
		Version: 1, Services: map[string]cherrykeel.RoutedService{"s": {Name: "s"}},
		Routes: []cherrykeel.Route{{Domain: "h", PathPrefix: "/", Timeout: 20 * time.Second, TargetLatency: 20 * time.Second, MaxAttempts: 2, SplitTargets: []cherrykeel.SplitTarget{splitTarget("s", 1)}}},
	})
}

var _ = Describe("answers whose bodies have no end", func() {
	const limitBytes = 2 << 20
	piece := []byte(strings.Repeat("x", 16<<10))

	// Guards against the answer to a HEAD request that is given up for the length of a body that does not come.
	It("are not those that state a length and have no body", func() {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", strconv.Itoa(2*maxAnswerBytes))
		}))
		DeferCleanup(server.Close)
		core, lines := observer.New(zapcore.WarnLevel)
		relay := newStoppingRelay(cherrykeel.NoKey, cherrykeel.Upstream{ID: "a", Service: "s", Address: server.Listener.Addr().String(), Slots: 1})
		relay.Logger = zap.New(core)
		forbidRepeats(relay)
		relay.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodHead, "http://h/", nil))
		Expect(lines.FilterField(zap.Int("Event", events.AnswerEndless.Number)).Len()).To(BeZero())
		Expect(lines.FilterField(zap.Int("Event", events.RequestFailed.Number)).Len()).To(Equal(1))
	})

	// Guards against a host that is ended for its memory by several answers without end, each of which is below its own
	// bound.
	It("take no more than the memory for answers, all together, and are given up long before their deadline", func() {
		var sent atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			for sent.Load() < 1<<30 {
				_, err := writer.Write(piece)
				if err != nil {
					return
				}
				sent.Add(int64(len(piece)))
			}
		}))
		DeferCleanup(server.Close)
		relay := newStoppingRelay(cherrykeel.NoKey, cherrykeel.Upstream{ID: "a", Service: "s", Address: server.Listener.Addr().String(), Slots: 32})
		forbidRepeats(relay)
		relay.AnswerMemory = memory.NewLimit(limitBytes)
		relay.pool.SetLimit(server.Listener.Addr().String(), 32)
		var most atomic.Int64
		done := make(chan struct{})
		var watcher sync.WaitGroup
		watcher.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Millisecond):
					most.Store(max(most.Load(), relay.AnswerMemory.InUse()))
				}
			}
		})
		var callers sync.WaitGroup
		for range 12 {
			callers.Go(func() {
				defer GinkgoRecover()
				recorder := httptest.NewRecorder()
				request := httptest.NewRequest(http.MethodPost, "http://h/", strings.NewReader(""))
				relay.ServeHTTP(recorder, request)
				Expect(recorder.Code).To(Equal(http.StatusBadGateway))
				Expect(recorder.Header().Get(cherrykeel.HeaderOutcome)).To(Equal(string(cherrykeel.OutcomeUnknown)))
			})
		}
		callers.Wait()
		close(done)
		watcher.Wait()
		Expect(most.Load()).To(And(BeNumerically(">", 0), BeNumerically("<=", limitBytes+12*16<<10)))
		Expect(relay.AnswerMemory.InUse()).To(BeZero())
		Expect(sent.Load()).To(BeNumerically("<", 1<<30))
	})
})
