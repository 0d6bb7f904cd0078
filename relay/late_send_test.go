package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

var _ = Describe("a request that has a slot and waits for its connection while the host begins to stop", func() {
	// Guards against a request that is sent late in the stop since its connection was slow to come, and is cut.
	It("is not sent if it may outlast the host", func() {
		var sends atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { sends.Add(1) }))
		DeferCleanup(server.Close)
		relay := newStoppingRelay(cherrykeel.NoKey, cherrykeel.Upstream{ID: "a", Service: "s", Address: server.Listener.Addr().String(), Slots: 1})
		now := relay.clock.Now()
		current := &exchange{
			relay: relay, dispatcher: relay.dispatcher("s"), headers: cherrykeel.RequestHeaders{ID: "r"},
			request: httptest.NewRequest(http.MethodGet, "http://h/", nil), route: &weightedRoute{}, deadline: now.Add(time.Minute),
		}
		slot := (<-current.dispatcher.submit(&flow.Ticket{Key: cherrykeel.NoKey, Arrived: now, Deadline: now.Add(time.Minute), Target: now.Add(time.Minute)}, now)).Slot
		relay.SetProcessEnd(now.Add(30 * time.Second))
		result := current.attempt(context.Background(), slot)
		Expect(sends.Load()).To(BeZero())
		Expect(result.outcome).To(Equal(notSent))
	})
})
