package grants

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/spans"
)

var _ = Describe("the answer of a release", func() {
	// A release waits for running work, and its answer is late. Meanwhile the hold has passed, and the table gives the
	// span to the same owner again, under a higher fence; that grant's answer is lost. The late answer speaks of the
	// grants before it only. Taken for all, it frees keys that the owner holds, and if it leaves then they are given on.
	It("does not free what the owner was granted after it", func() {
		const service = "halls"
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		granter := &lateGranter{clock: clock, arrivals: make(chan cherrykeel.Instant, 1), release: make(chan struct{})}
		keeper := newSteppedKeeper("host-1", clock, nil, smallEnvironment{}, granter)
		owned := spans.Owned{First: 0, Last: 99, Owner: "u1", Fence: 4}
		keeper.releaseSpan(context.Background(), spans.GrantedSpan{Service: service, Owner: "u1", Span: owned.Span(), Fence: 5}, owned, clock.Now())
		keeper.sendGrant(context.Background(), spans.GrantedSpan{Service: service, Owner: "u1", Span: owned.Span(), Fence: 9}, &grantState{}, clock.Now())
		var arrived cherrykeel.Instant
		Eventually(granter.arrivals, "20s").Should(Receive(&arrived))
		close(granter.release)
		processResult(keeper)
		processResult(keeper)
		Expect(keeper.ledger.FreeAt(service, "", owned.Span())).To(BeNumerically(">=", spans.LatestLeaseEnd(arrived, keeper.shortLease())))
	})
})
