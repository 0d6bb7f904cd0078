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

var _ = Describe("the answer to a release", func() {
	// A release waits for running requests, so its answer is late. In the meantime the lease has expired, and the table
	// assigns the span to the same owner again under a higher fence; the answer to that grant is lost. If the late
	// answer to the release counted for that grant too, the keys would be transferred while the owner holds them.
	It("does not free what the owner was granted after the release", func() {
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
