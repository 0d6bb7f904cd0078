package grants

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/share"
	"cherrykeel/spans"
)

// releasingGranter answers the releases of some upstreams, and records them and all grants.
type releasingGranter struct {
	countingGranter
	records  sync.Mutex
	silent   map[string]bool
	released map[string][]spans.GrantedSpan
}

func (granter *releasingGranter) Release(_ context.Context, upstream cherrykeel.Upstream, span cherrykeel.KeySpan, fence int64) (string, error) {
	granter.records.Lock()
	defer granter.records.Unlock()
	if granter.silent[upstream.ID] {
		return "", errors.WithStack(cherrykeel.ErrNoAnswer)
	}
	granter.released[upstream.ID] = append(granter.released[upstream.ID], spans.GrantedSpan{Span: span, Fence: fence})
	return "handover", nil
}

func (granter *releasingGranter) grantedTo(id string) bool {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	_, held := granter.until[id]
	return held
}

// copiedEnvironment is a smallEnvironment whose table is known only from a copy of the store.
type copiedEnvironment struct {
	smallEnvironment
	availableFor time.Duration
}

func (copiedEnvironment) IsFromCopy() bool { return true }
func (environment copiedEnvironment) StoreAvailableFor() time.Duration {
	return environment.availableFor
}
func (copiedEnvironment) ReregistrationTime() time.Duration { return 2 * time.Second }

var _ = Describe("a keeper that has claimed with a table from a copy of the store", func() {
	const service = "halls"
	term := cherrykeel.Position(2, 7)
	var (
		clock   *fakes.Clock
		granter *releasingGranter
		keeper  *Keeper
		table   spans.Table
	)
	// step does what a tick does with the owners.
	step := func() {
		keeper.isConfirmed(term, clock.Now())
		keeper.boundEarlierLeases(clock.Now())
		keeper.isUncertain = !keeper.releaseUnknownOwners(context.Background(), table, clock.Now())
		keeper.renewGrants(context.Background(), table, clock.Now())
	}

	BeforeEach(func() {
		clock = fakes.NewClock(cherrykeel.Instant(time.Hour))
		granter = &releasingGranter{countingGranter: countingGranter{clock: clock, until: map[string]cherrykeel.Instant{}}, silent: map[string]bool{}, released: map[string][]spans.GrantedSpan{}}
		table = spans.Table{Version: term, Term: term, Keeper: "host-1", Incarnation: "life", Uncertain: true, Services: map[string][]spans.Owned{
			service: {{First: 0, Last: 999, Owner: "u1", Address: "u1", Fence: term}, {First: 1000, Last: cherrykeel.MaxKey, Owner: "u2", Address: "u2", Fence: term}},
		}}
		keeper = newSteppedKeeper("host-1", clock, &unansweredLog{values: make(chan []byte, 8)}, smallEnvironment{}, granter)
		keeper.enterTerm(table, clock.Now())
	})

	// Guards against two owners of a key: the one that a lost table named holds it, and the one of the copy is granted it.
	It("grants keys only after all other upstreams have released them", func() {
		step()
		Expect(keeper.isUncertain).To(BeTrue())
		Consistently(func() bool { return granter.grantedTo("u1") || granter.grantedTo("u2") }, "50ms").Should(BeFalse())
		processResult(keeper)
		processResult(keeper)
		step()
		Expect(keeper.isUncertain).To(BeFalse())
		Eventually(func() bool { return granter.grantedTo("u1") && granter.grantedTo("u2") }, "20s").Should(BeTrue())
		Expect(granter.released["u1"]).To(ConsistOf(spans.GrantedSpan{Span: cherrykeel.KeySpan{First: 1000, Last: cherrykeel.MaxKey}, Fence: term}))
		Expect(granter.released["u2"]).To(ConsistOf(spans.GrantedSpan{Span: cherrykeel.KeySpan{First: 0, Last: 999}, Fence: term}))
	})

	// Guards against keys that are granted although an upstream that does not answer may hold them, and against keys that wait
	// for it for ever.
	It("waits for the longest lease of an upstream that does not answer", func() {
		granter.silent["u2"] = true
		step()
		processResult(keeper)
		processResult(keeper)
		clock.Advance(9 * time.Second)
		step()
		Expect(keeper.ledger.FreeAt(service, "u1", cherrykeel.KeySpan{First: 0, Last: 999})).To(BeNumerically(">", clock.Now()))
		Expect(keeper.ledger.FreeAt(service, "u2", cherrykeel.KeySpan{First: 1000, Last: cherrykeel.MaxKey})).To(BeNumerically("<=", clock.Now()), "u1 has answered")
		clock.Advance(5 * time.Second)
		step()
		Expect(keeper.isUncertain).To(BeFalse())
		Expect(keeper.ledger.FreeAt(service, "u1", cherrykeel.KeySpan{First: 0, Last: 999})).To(BeNumerically("<=", clock.Now()))
	})
})

var _ = Describe("the claim of the keeper's role in a new era of the store", func() {
	var clock *fakes.Clock
	table := spans.Table{Version: cherrykeel.Position(1, 9), Term: cherrykeel.Position(1, 3), Keeper: "host-2", Incarnation: "life"}
	next := cherrykeel.Position(2, 5)
	newKeeper := func(environment Environment, view Table) *Keeper {
		keeper := newSteppedKeeper("host-1", clock, &unansweredLog{values: make(chan []byte, 8)}, environment, nil)
		keeper.table = view
		return keeper
	}

	BeforeEach(func() { clock = fakes.NewClock(cherrykeel.Instant(time.Hour)) })

	// Guards against a host that claims with the copy's table while hosts that know a later one live, or before all upstreams
	// have written their entries again.
	It("waits on a host that knows the copy alone", func() {
		early := copiedEnvironment{availableFor: time.Second}
		keeper := newKeeper(early, early)
		Expect(keeper.eraVacancyReason(table, "the keeper has restarted", clock.Now())).To(BeEmpty())
		later := copiedEnvironment{availableFor: 3 * time.Second}
		keeper = newKeeper(later, later)
		Expect(keeper.eraVacancyReason(table, "the keeper has restarted", clock.Now())).NotTo(BeEmpty())
		Expect(keeper.mayLackOwners(table, next)).To(BeTrue())
	})

	// Guards against a host that missed the last table and claims before the one that has it.
	It("is left to a host that reports a later table, for a while", func() {
		keeper := newKeeper(smallEnvironment{}, smallEnvironment{})
		keeper.mesh = reportingMesh{report: share.ReceivedReport{Report: share.Report{Offsets: map[string]int64{share.TopicSpans: cherrykeel.Position(1, 10)}}}}
		Expect(keeper.eraVacancyReason(table, "the keeper sends no reports", clock.Now())).To(BeEmpty())
		clock.Advance(betterKnowledgeDelay)
		Expect(keeper.eraVacancyReason(table, "the keeper sends no reports", clock.Now())).NotTo(BeEmpty())
		Expect(keeper.mayLackOwners(table, next)).To(BeTrue(), "the lost table may name other owners")
	})

	// Guards against a keeper of the build before that goes on in its old term, in which it can move no key.
	It("comes from another host if the keeper does not claim", func() {
		keeper := newKeeper(smallEnvironment{}, smallEnvironment{})
		Expect(keeper.eraVacancyReason(table, "", clock.Now())).To(BeEmpty())
		clock.Advance(eraClaimDelay)
		Expect(keeper.eraVacancyReason(table, "", clock.Now())).To(Equal(reasonRestored))
		Expect(keeper.mayLackOwners(table, next)).To(BeFalse(), "it knows the table")
	})
})
