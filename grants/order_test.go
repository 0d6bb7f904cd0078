package grants

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/spans"
)

// lateGranter is an upstream that grants reach at the end of their time and whose answers are lost; its releases wait.
type lateGranter struct {
	clock    cherrykeel.Clock
	arrivals chan cherrykeel.Instant
	release  chan struct{}
}

func (granter *lateGranter) Grant(ctx context.Context, _ cherrykeel.Upstream, _ cherrykeel.SpanGrant) error {
	deadline, _ := ctx.Deadline()
	granter.arrivals <- granter.clock.Now().Add(time.Until(deadline))
	return cherrykeel.ErrNoAnswer
}

func (granter *lateGranter) Release(context.Context, cherrykeel.Upstream, cherrykeel.KeySpan, int64) (string, error) {
	<-granter.release
	return "", nil
}

func (granter *lateGranter) IsLeaving(context.Context, cherrykeel.Upstream, string) (bool, error) {
	return false, cherrykeel.ErrNoAnswer
}

var _ = Describe("orders that wait for a worker", func() {
	const (
		service = "halls"
		owner   = "u1"
	)
	var (
		clock   *fakes.Clock
		granter *lateGranter
		keeper  *Keeper
		key     spans.GrantedSpan
	)

	BeforeEach(func() {
		clock = fakes.NewClock(cherrykeel.Instant(time.Hour))
		granter = &lateGranter{clock: clock, arrivals: make(chan cherrykeel.Instant, 1), release: make(chan struct{})}
		keeper = newSteppedKeeper("host-1", clock, nil, smallEnvironment{}, granter)
		key = spans.GrantedSpan{Service: service, Owner: owner, Span: cherrykeel.KeySpan{First: 0, Last: 99}, Fence: 4}
	})

	// All workers are busy for 400 ms. The grant that waited for one reaches its upstream at the end of its time, and
	// the answer is lost. The keys are given on when the keeper counts the hold as passed; if it counts from too
	// early, the upstream goes on working on them beside the next owner.
	It("are counted until the hold of the latest arrival has passed", func() {
		busy := make(chan struct{})
		keeper.workers.grants = pond.NewPool(1)
		keeper.workers.grants.Submit(func() { <-busy })
		keeper.sendGrant(context.Background(), key, &grantState{}, clock.Now())
		clock.Advance(400 * time.Millisecond)
		close(busy)
		var arrived cherrykeel.Instant
		Eventually(granter.arrivals, "20s").Should(Receive(&arrived))
		Expect(keeper.ledger.FreeAt(service, "", key.Span)).To(BeNumerically(">=", spans.LatestLeaseEnd(arrived, keeper.shortLease())))
	})

	// The workers are busy for longer than a grant may wait, so nothing is sent to the upstream. It lives; called
	// lost after two such grants, it would be without its keys for 5 s.
	It("say nothing about the upstream when they were not sent", func() {
		busy := make(chan struct{})
		keeper.workers.grants = pond.NewPool(1)
		keeper.workers.grants.Submit(func() { <-busy })
		keeper.sendGrant(context.Background(), key, &grantState{}, clock.Now())
		clock.Advance(time.Second)
		close(busy)
		processResult(keeper)
		Expect(granter.arrivals).To(BeEmpty())
		Expect(keeper.contact(owner).misses).To(BeZero())
	})

	// Sixty-four owners leave at once, and their releases wait for work that runs. The other owners' grants must go
	// out meanwhile: their holds are shorter than the longest work.
	It("are not held up by releases that wait for running work", func() {
		for first := range maxCalls {
			owned := spans.Owned{First: first, Last: first, Owner: "u2", Fence: 1}
			keeper.releaseSpan(context.Background(), spans.GrantedSpan{Service: service, Owner: "u2", Span: owned.Span(), Fence: 2}, owned, clock.Now())
		}
		keeper.sendGrant(context.Background(), key, &grantState{}, clock.Now())
		Eventually(granter.arrivals, "5s").Should(Receive())
		close(granter.release)
	})
})
