package grants

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/spans"
)

// sharedEnvironment lists another upstream with the address of each owner, and hears of ended processes.
type sharedEnvironment struct {
	smallEnvironment
	ended []cherrykeel.Upstream
}

func (environment *sharedEnvironment) KeyedServices() []cherrykeel.RoutedService {
	return []cherrykeel.RoutedService{{Name: "halls", Keyed: true, HealthPath: "/health"}}
}

func (environment *sharedEnvironment) HasOther(string, string) bool { return true }

func (environment *sharedEnvironment) NotifyEnded(upstream cherrykeel.Upstream) {
	environment.ended = append(environment.ended, upstream)
}

// identityGranter is at the address of an owner that answers no order, and says who it is as the spec sets.
type identityGranter struct {
	silentGranter
	identity error
	release  error
	asked    atomic.Int64
}

func (granter *identityGranter) Identify(context.Context, cherrykeel.Upstream, string) error {
	granter.asked.Add(1)
	return granter.identity
}

func (granter *identityGranter) Release(context.Context, cherrykeel.Upstream, cherrykeel.KeySpan, int64) (string, error) {
	return "", granter.release
}

var _ = Describe("an owner whose address another entry has", func() {
	whole := cherrykeel.KeySpan{First: 0, Last: cherrykeel.MaxKey}
	var (
		clock       *fakes.Clock
		environment *sharedEnvironment
		granter     *identityGranter
		keeper      *Keeper
		table       spans.Table
	)

	BeforeEach(func() {
		clock = fakes.NewClock(cherrykeel.Instant(time.Hour))
		environment = &sharedEnvironment{}
		granter = &identityGranter{}
		keeper = newSteppedKeeper("host-1", clock, nil, environment, granter)
		table = spans.Table{Version: 4, Term: 1, Services: map[string][]spans.Owned{
			"halls": {{First: 0, Last: cherrykeel.MaxKey, Owner: "u1", Address: "10.0.0.1:1", StartedAt: 7, Fence: 4}},
		}}
		held := spans.GrantedSpan{Service: "halls", Owner: "u1", Span: whole, Fence: 4}
		keeper.ledger.RecordLease(held, clock.Now().Add(2*time.Second))
		keeper.contact("u1").recordLease("10.0.0.1:1", clock.Now().Add(2*time.Second))
	})

	freeAt := func() cherrykeel.Instant { return keeper.ledger.FreeAt("halls", "", whole) }

	// Guards against a lease that an entry ends, and against questions to an owner that answers its grants.
	It("is neither asked nor ended while it answers", func() {
		keeper.identifySilentOwners(context.Background(), table, clock.Now())
		Expect(keeper.contact("u1").asking).To(BeFalse())
		keeper.renewGrants(context.Background(), table, clock.Now())
		Expect(keeper.grants).To(HaveLen(1), "its grant is renewed")
		Expect(freeAt()).To(BeNumerically(">", clock.Now()))
	})

	// Guards against keys that wait for the end of a crashed owner's lease although another server answers at its address,
	// and against keys that are transferred on less than that answer.
	DescribeTable("is asked who it is once it is silent", func(identity error, ends bool) {
		granter.identity = identity
		keeper.contact("u1").recordMiss(clock.Now())
		keeper.identifySilentOwners(context.Background(), table, clock.Now())
		processResult(keeper)
		Expect(freeAt() <= clock.Now()).To(Equal(ends))
		Expect(environment.ended).To(HaveLen(map[bool]int{true: 1}[ends]))
		keeper.identifySilentOwners(context.Background(), table, clock.Now())
		Expect(keeper.contact("u1").asking).To(BeFalse(), "not again at once")
		clock.Advance(identifyInterval)
		keeper.identifySilentOwners(context.Background(), table, clock.Now())
		Expect(keeper.contact("u1").asking).To(Equal(!ends))
	},
		Entry("another one answers", errors.WithStack(cherrykeel.ErrUpstreamReplaced), true),
		Entry("it answers itself", nil, false),
		Entry("nobody answers", errors.WithStack(cherrykeel.ErrNoAnswer), false),
	)

	// Guards against keys in transfer that wait for the end of a lease although another server has answered the release.
	It("has ended if another one answers the release of its span", func() {
		granter.release = errors.WithStack(cherrykeel.ErrUpstreamReplaced)
		owned := table.Services["halls"][0]
		keeper.releaseSpan(context.Background(), spans.GrantedSpan{Service: "halls", Owner: "u1", Span: whole, Fence: 5}, owned, clock.Now())
		processResult(keeper)
		Expect(freeAt()).To(BeNumerically("<=", clock.Now()))
		Expect(environment.ended).To(Equal([]cherrykeel.Upstream{{ID: "u1", Address: "10.0.0.1:1", StartedAt: 7}}))
	})

	// Guards against two owners: another writer's entry under the owner's ID names a later start and the address of another
	// server. The grant to that incarnation is answered by that server, while the owner works on its keys elsewhere.
	It("keeps what it was granted at its own address when it has ended at another one", func() {
		keeper.contact("u1").startedAt = 9
		keeper.recordReplaced(cherrykeel.Upstream{ID: "u1", Address: "10.0.0.2:1", StartedAt: 9}, clock.Now())
		Expect(freeAt()).To(BeNumerically(">", clock.Now()))
		Expect(keeper.contact("u1").processEnded).To(BeFalse())
		clock.Advance(3 * time.Second)
		keeper.recordReplaced(cherrykeel.Upstream{ID: "u1", Address: "10.0.0.2:1", StartedAt: 9}, clock.Now())
		Expect(keeper.contact("u1").processEnded).To(BeTrue())
	})
})
