package relay

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/flow"
)

var _ = Describe("an upstream that asked for a rest", func() {
	const rest = 3 * time.Second
	now := fixedClock{}.Now()
	// bounds allow a single retry.
	bounds := func() cherrykeel.Bounds {
		return cherrykeel.Bounds{RetrySlack: 1.5, RetryWindow: 10 * time.Second}
	}
	newDispatcherOf := func(keyed bool, ids ...string) *dispatcher {
		dispatcher := newDispatcher("s", keyed, "z", func(string, int) flow.Owner { return flow.Owner{ID: "a"} }, bounds, func() {})
		var upstreams []cherrykeel.Upstream
		for _, id := range ids {
			upstreams = append(upstreams, cherrykeel.Upstream{ID: id, Zone: "z", Slots: 3})
		}
		dispatcher.setUpstreams(upstreams, now)
		return dispatcher
	}
	// turnedAway returns a request that has the given time left and was sent to an upstream that asked for a rest.
	turnedAway := func(dispatcher *dispatcher, left time.Duration) *exchange {
		decision := <-dispatcher.submit(&flow.Ticket{Key: 7, Arrived: now, Target: now.Add(left), Deadline: now.Add(left)}, now)
		dispatcher.service.RecordRest(decision.Slot, rest, now)
		dispatcher.release(decision.Slot, flow.Refused, cherrykeel.UpstreamLoad{}, now)
		return &exchange{
			relay:      New(Settings{Clock: fixedClock{}, HostCount: func() int { return 1 }}),
			route:      &weightedRoute{Route: cherrykeel.Route{Repeatable: true, MaxAttempts: 3}},
			dispatcher: dispatcher,
			headers:    cherrykeel.RequestHeaders{Key: 7},
			arrived:    now,
			deadline:   now.Add(left),
			attempts:   1,
			tried:      []string{decision.Slot.Upstream.ID},
		}
	}

	// Guards against a repeat that cannot be sent in time, and takes another request's place in the retry budget.
	DescribeTable("that outlasts a request's time costs it no retry", func(keyed bool) {
		dispatcher := newDispatcherOf(keyed, "a")
		request := turnedAway(dispatcher, rest/2)
		Expect(request.canRetry(context.Background(), result{outcome: notRun}, now)).To(BeFalse())
		Expect(dispatcher.trySpendRetry(1, now)).To(BeTrue(), "the only retry is left")
	},
		Entry("without keys", false),
		Entry("as a key's owner", true),
	)

	// Guards against a request that is refused although its time reaches beyond the rest, or another upstream may serve it.
	It("does not hinder retries elsewhere, nor those that may wait for its end", func() {
		request := turnedAway(newDispatcherOf(false, "a", "b"), rest/2)
		Expect(request.canRetry(context.Background(), result{outcome: notRun}, now)).To(BeTrue())
		request = turnedAway(newDispatcherOf(true, "a"), 2*rest)
		Expect(request.canRetry(context.Background(), result{outcome: notRun}, now)).To(BeTrue())
	})
})
