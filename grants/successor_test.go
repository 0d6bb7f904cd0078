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

// countingGranter records until when each upstream holds its keys, and for how long two of them hold keys at once. Its
// upstreams keep the longer of two leases.
type countingGranter struct {
	unidentified
	clock   cherrykeel.Clock
	mutex   sync.Mutex
	until   map[string]cherrykeel.Instant
	overlap time.Duration
}

func (granter *countingGranter) Grant(_ context.Context, upstream cherrykeel.Upstream, grant cherrykeel.SpanGrant) error {
	granter.mutex.Lock()
	defer granter.mutex.Unlock()
	now := granter.clock.Now()
	for other, until := range granter.until {
		if other != upstream.ID {
			granter.overlap = max(granter.overlap, until.Sub(now))
		}
	}
	granter.until[upstream.ID] = max(granter.until[upstream.ID], now.Add(grant.LeaseDuration))
	return nil
}

// isGrantedSoon waits for up to one second for an upstream to be granted keys, and reports whether it was.
func (granter *countingGranter) isGrantedSoon(id string) bool {
	for range 100 {
		granter.mutex.Lock()
		_, held := granter.until[id]
		granter.mutex.Unlock()
		if held {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func (granter *countingGranter) Release(context.Context, cherrykeel.Upstream, cherrykeel.KeySpan, int64) (string, error) {
	return "", errors.WithStack(cherrykeel.ErrNoAnswer)
}

func (granter *countingGranter) IsLeaving(context.Context, cherrykeel.Upstream, string) (bool, error) {
	return false, errors.WithStack(cherrykeel.ErrNoAnswer)
}

var _ = Describe("a successor", func() {
	const service = "halls"
	whole := cherrykeel.KeySpan{First: 0, Last: cherrykeel.MaxKey}
	var (
		clock   *fakes.Clock
		granter *countingGranter
		log     *unansweredLog
		table   spans.Table
	)

	BeforeEach(func() {
		clock = fakes.NewClock(cherrykeel.Instant(time.Hour))
		granter = &countingGranter{clock: clock, until: map[string]cherrykeel.Instant{}}
		log = &unansweredLog{values: make(chan []byte, 8)}
		table = spans.Table{Version: 1, Term: 1, Keeper: "host-1", Incarnation: "life", Services: map[string][]spans.Owned{
			service: {{First: 0, Last: cherrykeel.MaxKey, Owner: "u1", Address: "u1", Fence: 1}},
		}}
	})

	// An owner does not answer for some seconds and its lease expires. The keeper writes a table that transfers its
	// keys, and the store does not answer. 5 s after it became unavailable the owner is granted its keys again,
	// answers, and holds them under the old table. Then the store carries out the write, and the keeper stops. The
	// table that its successor reads names only the next owner, which would be granted the keys while the first one
	// holds them.
	It("does not grant keys by an unconfirmed write whose previous owner was granted them again", func() {
		ctx := context.Background()
		first := newSteppedKeeper("host-1", clock, log, smallEnvironment{}, granter)
		first.enterTerm(table, clock.Now())
		Expect(first.isConfirmed(1, clock.Now())).To(BeTrue())
		first.boundEarlierLeases(clock.Now())
		free := first.ledger.FreeAt(service, "", whole)

		clock.Advance(free.Sub(clock.Now()) - 2*time.Second)
		first.contact("u1").recordMiss(clock.Now())
		clock.Advance(retryInterval)
		first.contact("u1").recordMiss(clock.Now())
		Expect(first.isUnavailable("u1", clock.Now())).To(BeTrue())
		clock.Advance(2 * time.Second)
		first.updateTable(ctx, table, 2, clock.Now())
		var written []byte
		Eventually(log.values, "20s").Should(Receive(&written))
		processResult(first)

		clock.Advance(unavailableFor)
		first.updateTable(ctx, table, 2, clock.Now())
		first.renewGrants(ctx, table, clock.Now())
		if granter.isGrantedSoon("u1") {
			processResult(first)
		}

		clock.Advance(time.Second)
		transferred, err := spans.Decode(written, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(transferred.Services[service][0].Owner).To(Equal("u2"))
		claimed := transferred.ClaimedBy("host-2", "life", 3)
		second := newSteppedKeeper("host-2", clock, log, smallEnvironment{}, granter)
		second.enterTerm(claimed, clock.Now())
		second.renewGrants(ctx, claimed, clock.Now())
		Consistently(func() time.Duration {
			granter.mutex.Lock()
			defer granter.mutex.Unlock()
			return granter.overlap
		}, "500ms").Should(BeZero(), "time for which two upstreams hold the keys")
	})

	// Guards against a keeper that reports an earlier end of a lease than the keeper before it had granted.
	It("waits for the long lease of a keeper before the one that it succeeds", func() {
		ctx := context.Background()
		renew := func(keeper *Keeper, table spans.Table) {
			clock.Advance(renewInterval)
			keeper.renewGrants(ctx, table, clock.Now())
			processResult(keeper)
		}
		enter := func(keeper *Keeper, table spans.Table) {
			keeper.enterTerm(table, clock.Now())
			Expect(keeper.isConfirmed(table.Term, clock.Now())).To(BeTrue())
			keeper.boundEarlierLeases(clock.Now())
		}

		first := newSteppedKeeper("host-1", clock, log, storelessEnvironment{}, granter)
		enter(first, table)
		first.recordStoreState(clock.Now())
		renew(first, table)
		clock.Advance(takeoverBarredAfter)
		first.recordStoreState(clock.Now())
		renew(first, table)
		heldUntil := granter.until["u1"]
		Expect(heldUntil).To(Equal(clock.Now().Add(10 * time.Second)))

		second := newSteppedKeeper("host-2", clock, log, smallEnvironment{}, granter)
		table = table.ClaimedBy("host-2", "life", 2)
		enter(second, table)
		renew(second, table)
		second.publishTermEnd()

		third := newSteppedKeeper("host-3", clock, log, smallEnvironment{}, granter)
		third.mesh = reportingMesh{report: share.ReceivedReport{Report: share.Report{FinalGrants: second.FinalGrants()}, ReceivedAt: clock.Now()}}
		third.recordFinalReports(table)
		third.lastClaim = claimAttempt{offset: 3, replacedTerm: 2}
		table = table.ClaimedBy("host-3", "life", 3)
		third.enterTerm(table, clock.Now())
		for !third.writing {
			clock.Advance(retryInterval)
			third.contact("u1").recordMiss(clock.Now())
			third.updateTable(ctx, table, 4, clock.Now())
		}
		var written []byte
		Eventually(log.values, "20s").Should(Receive(&written))
		transferred, err := spans.Decode(written, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(transferred.Services[service][0].Owner).To(Equal("u2"))
		third.renewGrants(ctx, transferred, clock.Now())
		Expect(granter.isGrantedSoon("u2")).To(BeTrue())
		Expect(granter.overlap).To(BeZero(), "time for which two upstreams hold the keys")
	})
})
