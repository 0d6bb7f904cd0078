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

// restartedEnvironment lists u1 with a start time that the spec sets.
type restartedEnvironment struct {
	smallEnvironment
	born int64
}

func (environment *restartedEnvironment) Upstreams() []cherrykeel.Upstream {
	return []cherrykeel.Upstream{{ID: "u1", Service: "halls", Address: "u1", Slots: 3, StartedAt: environment.born}}
}

// refusingGranter refuses connections except to the second incarnation.
type refusingGranter struct {
	hungGranter
	second int
}

func (granter *refusingGranter) Grant(_ context.Context, upstream cherrykeel.Upstream, _ cherrykeel.SpanGrant) error {
	if upstream.StartedAt != 2 {
		return errors.WithStack(cherrykeel.ErrNotSent)
	}
	granter.second++
	return nil
}

var _ = Describe("the next incarnation of an owner", func() {
	// An owner starts again, and the table that names its new incarnation arrives 0.3 s later. Until then the known
	// table's grants go to the earlier incarnation, which refuses connections. If these two misses counted for the new
	// incarnation too, it would count as unavailable for 5 s, and its keys would have no owner.
	It("does not count as unavailable because of grants to the earlier one", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		environment, granter := &restartedEnvironment{born: 1}, &refusingGranter{}
		keeper := newSteppedKeeper("host-1", clock, nil, environment, granter)
		owned := spans.Owned{First: 0, Last: cherrykeel.MaxKey, Owner: "u1", Address: "u1", StartedAt: 1, Fence: 4}
		renew := func() {
			table := spans.Table{Version: 4, Term: 1, Services: map[string][]spans.Owned{"halls": {owned}}}
			keeper.recordIncarnations()
			keeper.renewGrants(context.Background(), table, clock.Now())
			processResult(keeper)
			clock.Advance(200 * time.Millisecond)
		}
		keeper.recordIncarnations()
		environment.born = 2
		renew()
		renew()
		owned.StartedAt, owned.Fence = 2, 5
		renew()
		Expect(granter.second).To(Equal(1))
	})
})
