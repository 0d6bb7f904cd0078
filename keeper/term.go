package keeper

import (
	"sort"
	"time"

	"cherrykeel"
	"cherrykeel/fold"
	"cherrykeel/lease"
)

const (
	// renewShare is the share of the lease duration after which leases are renewed.
	renewShare = 0.25
	// announceRetryAfter is the time between term notices to witnesses that have not recorded the new term.
	announceRetryAfter = 150 * time.Millisecond
	// assignTimeout is how long the log may take before the successors of an unavailable upstream are promoted
	// without it.
	assignTimeout = 200 * time.Millisecond
	// assignRetryAfter is how long the keeper waits for the log before it proposes a placement again.
	assignRetryAfter = time.Second
	// overlayResendAfter is the time after which an overlay is sent to all hosts again.
	overlayResendAfter = 500 * time.Millisecond
	// balanceInterval is the time between rounds that move keys for balance.
	balanceInterval = 2 * time.Second
	// maxMoveShare is the share of the partitions that one round may move for balance.
	maxMoveShare = 1.0 / 32
	// returnDelay is how long an upstream must be available again before it gets work again. It doubles each time
	// that the upstream becomes unavailable once more, up to maxReturnDelay.
	returnDelay    = 3 * time.Second
	maxReturnDelay = 5 * time.Minute
)

// term is the state of a keeper during its term.
type term struct {
	number       int64
	service      string
	self         string
	placer       cherrykeel.Placer
	ledger       *lease.Ledger
	quorum       *lease.Quorum
	earlierTerms []*earlierTerm
	// failures counts the failed orders of each lessee.
	failures  map[string]int
	addresses map[string]string
	// unavailable is when each unavailable upstream was last found to be so, and unavailableCounts how often each one
	// became unavailable.
	unavailable       map[string]cherrykeel.Instant
	unavailableCounts map[string]int
	renewedAt         cherrykeel.Instant
	announcedAt       cherrykeel.Instant

	// sequence is the sequence of the ownership from which proposed was computed.
	sequence   int64
	proposed   *cherrykeel.Placement
	proposedAt cherrykeel.Instant
	// overlay is a placement that is in force before the log contains it, or nil; it was last sent to the hosts at
	// overlayAt, or not yet if that is 0.
	overlay    *cherrykeel.Placement
	overlayAt  cherrykeel.Instant
	balancedAt cherrykeel.Instant
	// reclaimedAt is when the keeper last claimed its role again to change its witnesses or the timeout.
	reclaimedAt cherrykeel.Instant
	// adopted is true once the assignments of earlier terms were adopted.
	adopted bool
	// promoted counts the partitions whose owner in force differs from the one in the log.
	promoted int
}

// earlierTerm is a replaced term whose witnesses must learn of the new one.
type earlierTerm struct {
	fold.EarlierTerm
	learnedAt map[string]cherrykeel.Instant
}

func newTerm(keeper *Keeper, input Input) *term {
	service := input.Service
	options := []lease.Option{}
	if !service.ChecksFences {
		options = append(options, lease.LeaseToHosts(requestTimeout(input.Ownership.Timeout, service)))
	}
	term := &term{
		number:            input.Ownership.Term,
		service:           keeper.service,
		self:              keeper.self,
		placer:            keeper.placer,
		ledger:            lease.NewLedger(keeper.service, input.Ownership.Term, input.Ownership.LeaseLength, partitionOf(service.Partitions), options...),
		quorum:            lease.NewQuorum(input.Ownership.Witnesses),
		failures:          map[string]int{},
		addresses:         map[string]string{},
		unavailable:       map[string]cherrykeel.Instant{},
		unavailableCounts: map[string]int{},
	}
	for _, replaced := range input.Ownership.Earlier {
		term.earlierTerms = append(term.earlierTerms, &earlierTerm{EarlierTerm: replaced, learnedAt: map[string]cherrykeel.Instant{}})
	}
	return term
}

// hasIssued reports whether an order belongs to this term.
func (term *term) hasIssued(order lease.Order) bool {
	return order.Query || order.Grant.Fence.Term == term.number
}

func (term *term) recordFailure(order lease.Order) {
	term.failures[order.Lessee]++
	term.ledger.RecordFailure(order)
}

func (term *term) tick(input Input, actions *Actions) {
	term.announceTerm(input, actions)
	term.updateFreeAt(input)
	term.recordAddressChanges(input)
	term.ledger.SetLessees(term.lessees(input))
	term.updateUnavailable(input)
	term.updatePlacement(input, actions)
	term.renew(input, actions)
	term.refreshWitnesses(input, actions)
}

// recordAddressChanges records in the ledger which upstreams have another address now, and so are other processes.
func (term *term) recordAddressChanges(input Input) {
	for _, upstream := range input.Service.Upstreams {
		address, exists := term.addresses[upstream.Name]
		if exists && address != upstream.Address && input.Service.ChecksFences {
			term.ledger.RecordAddressChange(upstream.Name)
		}
		term.addresses[upstream.Name] = upstream.Address
	}
}

// lessees returns the upstreams, or the entry hosts if the upstreams do not check fences.
func (term *term) lessees(input Input) []string {
	var names []string
	if !input.Service.ChecksFences {
		for _, host := range input.Hosts {
			names = append(names, host.Name)
		}
		return names
	}
	for _, upstream := range input.Service.Upstreams {
		names = append(names, upstream.Name)
	}
	return names
}

// announceTerm requests that the witnesses of earlier terms record the new one.
func (term *term) announceTerm(input Input, actions *Actions) {
	if term.ledger.FreeAt() != lease.Never || input.Now.Sub(term.announcedAt) < announceRetryAfter && term.announcedAt != 0 {
		return
	}
	term.announcedAt = input.Now
	for _, earlierTerm := range term.earlierTerms {
		for _, host := range earlierTerm.Witnesses {
			if earlierTerm.learnedAt[host] != 0 {
				continue
			}
			if input.RemovedHosts[host] {
				// A host that the platform removed from its list long ago is destroyed, or was suspended for so long
				// that it abstains when it resumes.
				earlierTerm.learnedAt[host] = input.Now
				continue
			}
			actions.TermNotices = append(actions.TermNotices, TermNotice{Host: host, EarlierTerm: earlierTerm.Term, Term: term.number})
		}
	}
}

func (term *term) recordTermLearned(notice TermNotice, now cherrykeel.Instant) {
	for _, earlierTerm := range term.earlierTerms {
		if earlierTerm.Term == notice.EarlierTerm && earlierTerm.learnedAt[notice.Host] == 0 {
			earlierTerm.learnedAt[notice.Host] = now
		}
	}
}

// updateFreeAt computes when the leases of all earlier terms have ended: a lease duration after a majority of each
// term's witnesses stopped confirming it, and for upstreams that do not check fences also the time for which they may
// still work on requests.
func (term *term) updateFreeAt(input Input) {
	if term.ledger.FreeAt() != lease.Never {
		return
	}
	freeAt := cherrykeel.Instant(0)
	for _, earlierTerm := range term.earlierTerms {
		learnedAt := earlierTerm.majorityLearnedAt()
		if learnedAt == 0 {
			return
		}
		longest := lease.MaxElapsed(earlierTerm.LeaseLength)
		if timeout := requestTimeout(earlierTerm.Timeout, input.Service); timeout > 0 {
			longest += lease.MaxElapsed(lease.MaxProcessingTime(timeout))
		}
		freeAt = max(freeAt, learnedAt.Add(longest))
	}
	term.ledger.SetFreeAt(freeAt)
}

// requestTimeout returns the limit on the requests of a term. It is the one in the claim, not in the settings, which
// may have changed while earlier requests still run. Claims of older versions have none.
func requestTimeout(claimed time.Duration, service *cherrykeel.Service) time.Duration {
	if claimed > 0 {
		return claimed
	}
	return configuredTimeout(service)
}

// configuredTimeout returns the limit that a claim gets from the current settings, or 0 if upstreams check fences.
func configuredTimeout(service *cherrykeel.Service) time.Duration {
	if service.ChecksFences {
		return 0
	}
	return service.Timeout
}

// majorityLearnedAt returns when a majority of the witnesses had learned of the new term, or 0.
func (earlierTerm *earlierTerm) majorityLearnedAt() cherrykeel.Instant {
	var instants []cherrykeel.Instant
	for _, host := range earlierTerm.Witnesses {
		if earlierTerm.learnedAt[host] != 0 {
			instants = append(instants, earlierTerm.learnedAt[host])
		}
	}
	sort.Slice(instants, func(i, j int) bool { return instants[i] < instants[j] })
	needed := len(earlierTerm.Witnesses)/2 + 1
	if len(instants) < needed {
		return 0
	}
	return instants[needed-1]
}

// renew requests confirmations and renews the leases.
func (term *term) renew(input Input, actions *Actions) {
	interval := time.Duration(renewShare * float64(input.Ownership.LeaseLength))
	settled := term.ledger.IsSettled(input.Now)
	if settled && term.renewedAt != 0 && input.Now.Sub(term.renewedAt) < interval {
		return
	}
	if term.renewedAt == 0 || !settled || input.Now.Sub(term.renewedAt) >= interval {
		// During a transfer, confirmations are requested at every tick: what an unavailable upstream held becomes free
		// only when the witnesses confirm the term after the upstream's lease has ended.
		term.renewedAt = input.Now
		actions.RequestConfirmation = input.Ownership.Witnesses
	}
	actions.Orders = term.ledger.NextOrders(input.Now, term.quorum.ConfirmedAt())
}

// refreshWitnesses claims the term again when witnesses have left, more can be chosen, or the limit on requests has
// changed. It waits until all leases are settled unless most witnesses are missing, since nothing can be renewed
// without a majority.
func (term *term) refreshWitnesses(input Input, actions *Actions) {
	missing := term.missingWitnesses(input)
	witnesses := ChooseWitnesses(term.service, term.self, input.Hosts)
	moreAvailable := len(witnesses) > len(input.Ownership.Witnesses)
	mostMissing := 2*missing > len(input.Ownership.Witnesses)
	shouldClaim := missing > 0 || moreAvailable || configuredTimeout(input.Service) != input.Ownership.Timeout
	recent := term.reclaimedAt != 0 && input.Now.Sub(term.reclaimedAt) < unlistedTimeout
	if !shouldClaim || recent || input.Leaving || !mostMissing && !term.ledger.IsSettled(input.Now) {
		return
	}
	term.reclaimedAt = input.Now
	actions.Claim = &fold.Claim{
		Service:     term.service,
		Term:        term.number,
		LeaseLength: input.Service.LeaseLength,
		Timeout:     configuredTimeout(input.Service),
		Witnesses:   witnesses,
	}
}

// missingWitnesses counts the witnesses that have left or are leaving.
func (term *term) missingWitnesses(input Input) int {
	staying := map[string]bool{}
	for _, host := range input.Hosts {
		staying[host.Name] = !host.Leaving
	}
	missing := 0
	for _, name := range input.Ownership.Witnesses {
		if !staying[name] {
			missing++
		}
	}
	return missing
}

func (term *term) report(now cherrykeel.Instant) Report {
	report := Report{Term: term.number, Settled: term.ledger.IsSettled(now), ConfirmedAge: now.Sub(term.quorum.ConfirmedAt())}
	for name := range term.unavailable {
		report.Unavailable = append(report.Unavailable, name)
	}
	sort.Strings(report.Unavailable)
	report.Promoted = term.promoted
	return report
}
