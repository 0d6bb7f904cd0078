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

// lateGranter is an upstream that grants reach only at their timeout and whose answers are lost; its releases wait.
type lateGranter struct {
	unidentified
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

	// All workers are busy for 400 ms. The grant that waited for one reaches its upstream at its timeout, and the
	// answer is lost. If the keeper counted the lease from too early, it would transfer the keys while the upstream
	// still processes requests for them.
	It("count until the lease of the latest possible arrival has expired", func() {
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

	// The workers are busy for longer than a grant may wait, so nothing is sent to the upstream. It is running; if it
	// counted as unavailable after two such grants, it would be without its keys for 5 s.
	It("are no evidence against the upstream if they were not sent", func() {
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

	// Sixty-four owners leave at once, and their releases wait for running requests. The grants to the other owners
	// must be sent in the meantime, because their leases are shorter than the longest requests.
	It("are not delayed by releases that wait for running requests", func() {
		for first := range maxCalls {
			owned := spans.Owned{First: first, Last: first, Owner: "u2", Fence: 1}
			keeper.releaseSpan(context.Background(), spans.GrantedSpan{Service: service, Owner: "u2", Span: owned.Span(), Fence: 2}, owned, clock.Now())
		}
		keeper.sendGrant(context.Background(), key, &grantState{}, clock.Now())
		Eventually(granter.arrivals, "5s").Should(Receive())
		close(granter.release)
	})
})
