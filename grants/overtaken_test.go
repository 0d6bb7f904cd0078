package grants

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/spans"
)

// fencedGranter is an upstream that refuses grants below the highest fence that it has seen.
type fencedGranter struct {
	unidentified
	mutex sync.Mutex
	fence int64
}

func (granter *fencedGranter) Grant(_ context.Context, _ cherrykeel.Upstream, grant cherrykeel.SpanGrant) error {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	if grant.Fence < granter.fence {
		return errors.WithStack(cherrykeel.ErrFenced)
	}
	granter.fence = grant.Fence
	return nil
}

func (granter *fencedGranter) Release(_ context.Context, _ cherrykeel.Upstream, _ cherrykeel.KeySpan, fence int64) (string, error) {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	granter.fence = max(granter.fence, fence)
	return "token", nil
}

func (granter *fencedGranter) IsLeaving(context.Context, cherrykeel.Upstream, string) (bool, error) {
	return false, errors.WithStack(cherrykeel.ErrNoAnswer)
}

var _ = Describe("grants that a release has overtaken", func() {
	// The workers for grants are busy for 200 ms because many upstreams don't answer. A renewal waits there while its
	// span starts to move; the release has its own workers and arrives first. The upstream refuses the renewal because
	// of the release's fence. If the keeper took that for another keeper's fence, it would claim a new term, and could
	// transfer no key of an unavailable owner for 12 s.
	It("do not make the keeper claim a new term", func() {
		const service = "halls"
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		log := &unansweredLog{values: make(chan []byte, 1)}
		keeper := newSteppedKeeper("host-1", clock, log, smallEnvironment{}, &fencedGranter{})
		busy := make(chan struct{})
		keeper.workers.grants = pond.NewPool(1)
		keeper.workers.grants.Submit(func() { <-busy })
		owned := spans.Owned{First: 0, Last: cherrykeel.MaxKey, Owner: "u1", Address: "u1", Fence: 4}
		table := spans.Table{Version: 4, Term: 1, Services: map[string][]spans.Owned{service: {owned}}}
		keeper.renewGrants(context.Background(), table, clock.Now())
		owned.InTransfer = true
		moving := spans.Table{Version: 5, Term: 1, Services: map[string][]spans.Owned{service: {owned}}}
		keeper.releaseSpansInTransfer(context.Background(), moving, clock.Now())
		processResult(keeper)
		clock.Advance(200 * time.Millisecond)
		close(busy)
		processResult(keeper)
		Expect(keeper.reclaimAfterRefusal(context.Background(), moving, 6, keeper.clock.Now())).To(BeFalse())
	})
})
