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

// restartedEnvironment lists u1 in a life of its.
type restartedEnvironment struct {
	smallEnvironment
	born int64
}

func (world *restartedEnvironment) Upstreams() []cherrykeel.Upstream {
	return []cherrykeel.Upstream{{ID: "u1", Service: "halls", Address: "u1", Slots: 3, StartedAt: world.born}}
}

// refusingGranter refuses connections to all but the second life.
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

var _ = Describe("the next life of an owner", func() {
	// An owner starts again, and the table that names its new life is under way for 0.3 s. Meanwhile the known table's
	// grants go on to the earlier life, which refuses connections: two misses, noted of the ID. The next life counts
	// as lost, and when the table is there it is granted nothing for 5 s; nobody has its keys.
	It("does not count as lost for grants that went to the one before", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		world, granter := &restartedEnvironment{born: 1}, &refusingGranter{}
		keeper := newSteppedKeeper("host-1", clock, nil, world, granter)
		owned := spans.Owned{First: 0, Last: cherrykeel.MaxKey, Owner: "u1", Address: "u1", StartedAt: 1, Fence: 4}
		renew := func() {
			table := spans.Table{Version: 4, Term: 1, Services: map[string][]spans.Owned{"halls": {owned}}}
			keeper.recordIncarnations()
			keeper.renewGrants(context.Background(), table, clock.Now())
			processResult(keeper)
			clock.Advance(200 * time.Millisecond)
		}
		keeper.recordIncarnations()
		world.born = 2
		renew()
		renew()
		owned.StartedAt, owned.Fence = 2, 5
		renew()
		Expect(granter.second).To(Equal(1))
	})
})
