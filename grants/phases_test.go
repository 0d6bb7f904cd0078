package grants

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/spans"
)

// hungGranter is a running upstream whose existing connections hang: grants that use them are not answered.
type hungGranter struct {
	unidentified
	hung   map[int]chan struct{}
	arrive chan int
}

func (granter *hungGranter) Grant(_ context.Context, _ cherrykeel.Upstream, grant cherrykeel.SpanGrant) error {
	hung := granter.hung[grant.Span.First]
	granter.arrive <- grant.Span.First
	if hung == nil {
		return nil
	}
	<-hung
	return errors.WithStack(cherrykeel.ErrNoAnswer)
}

func (granter *hungGranter) Release(context.Context, cherrykeel.Upstream, cherrykeel.KeySpan, int64) (string, error) {
	return "token", nil
}

func (granter *hungGranter) IsLeaving(context.Context, cherrykeel.Upstream, string) (bool, error) {
	return false, errors.WithStack(cherrykeel.ErrNoAnswer)
}

var _ = Describe("an owner of two spans that are renewed 0.2 s apart", func() {
	// The owner's two connections hang, and it answers on new ones. The first span's renewal times out after 0.6 s. The
	// next attempt would be answered at once; if it waited for the second span's renewal, which times out 0.2 s later,
	// there would be two misses, and a running owner would count as unavailable for 5 s while its lease expires.
	It("gets another grant on a new connection before it counts as unavailable", func() {
		const service = "halls"
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		granter := &hungGranter{hung: map[int]chan struct{}{}, arrive: make(chan int, 4)}
		keeper := newSteppedKeeper("host-1", clock, nil, smallEnvironment{}, granter)
		first := spans.Owned{First: 0, Last: 99, Owner: "u1", Address: "u1", Fence: 4}
		second := spans.Owned{First: 100, Last: cherrykeel.MaxKey, Owner: "u1", Address: "u1", Fence: 5}
		table := func(list ...spans.Owned) spans.Table {
			return spans.Table{Version: 5, Term: 1, Services: map[string][]spans.Owned{service: list}}
		}
		renew := func(list ...spans.Owned) { keeper.renewGrants(context.Background(), table(list...), clock.Now()) }
		arrives := func(span int) { Eventually(granter.arrive, "20s").Should(Receive(Equal(span))) }

		renew(first)
		arrives(0)
		processResult(keeper)
		clock.Advance(200 * time.Millisecond)
		renew(first, second)
		arrives(100)
		processResult(keeper)
		clock.Advance(400 * time.Millisecond)
		one, two := make(chan struct{}), make(chan struct{})
		granter.hung = map[int]chan struct{}{0: one, 100: two}
		renew(first, second)
		arrives(0)
		clock.Advance(200 * time.Millisecond)
		renew(first, second)
		arrives(100)
		granter.hung = nil
		clock.Advance(400 * time.Millisecond)
		close(one)
		processResult(keeper)
		renew(first, second)
		arrives(0)
		processResult(keeper)
		clock.Advance(200 * time.Millisecond)
		close(two)
		processResult(keeper)
		Expect(keeper.isUnavailable("u1", clock.Now())).To(BeFalse())
	})
})
