package keeper

import (
	"sort"
	"time"

	"cherrykeel"
	"cherrykeel/fold"
	"cherrykeel/lease"
)

const (
	// renewShare is the share of a lease after which it is renewed.
	renewShare         = 0.25
	announceRetryAfter = 150 * time.Millisecond
	// assignPatience is how long the log may take before a lost upstream's successors are promoted without it.
	assignTimeout      = 200 * time.Millisecond
	assignRetryAfter   = time.Second
	overlayResendAfter = 500 * time.Millisecond
	// balanceEvery is the time between rounds that move work for the sake of balance.
	balanceInterval = 2 * time.Second
	// moveShare is the share of partitions that one round may move by choice.
	maxMoveShare = 1.0 / 32
	// returnPatience is how long a lost upstream must answer before it gets work again; it doubles with each loss.
	returnDelay    = 3 * time.Second
	maxReturnDelay = 5 * time.Minute
)

// term is what a keeper knows while its term lasts.
type term struct {
	number            int64
	service           string
	self              string
	placer            cherrykeel.Placer
	ledger            *lease.Ledger
	quorum            *lease.Quorum
	earlierTerms      []*earlierTerm
	failures          map[string]int
	addresses         map[string]string
	unavailable       map[string]cherrykeel.Instant
	unavailableCounts map[string]int
	renewedAt         cherrykeel.Instant
	announcedAt       cherrykeel.Instant

	// sequence is the block's at which proposed was computed.
	sequence    int64
	proposed    *cherrykeel.Placement
	proposedAt  cherrykeel.Instant
	overlay     *cherrykeel.Placement
	overlayAt   cherrykeel.Instant
	balancedAt  cherrykeel.Instant
	reclaimedAt cherrykeel.Instant
	adopted     bool
	promoted    int
}

// earlier is a term whose witnesses must learn of the new one.
type earlierTerm struct {
	fold.EarlierTerm
	learnedAt map[string]cherrykeel.Instant
}

func newTerm(keeper *Keeper, input Input) *term {
	service := input.Service
	options := []lease.Option{}
	if !service.ChecksFences {
		options = append(options, lease.LeaseToHosts(requestTimeout(input.Block.Timeout, service)))
	}
	term := &term{
		number:            input.Block.Term,
		service:           keeper.service,
		self:              keeper.self,
		placer:            keeper.placer,
		ledger:            lease.NewLedger(keeper.service, input.Block.Term, input.Block.LeaseLength, partitionOf(service.Partitions), options...),
		quorum:            lease.NewQuorum(input.Block.Witnesses),
		failures:          map[string]int{},
		addresses:         map[string]string{},
		unavailable:       map[string]cherrykeel.Instant{},
		unavailableCounts: map[string]int{},
	}
	for _, replaced := range input.Block.Earlier {
		term.earlierTerms = append(term.earlierTerms, &earlierTerm{EarlierTerm: replaced, learnedAt: map[string]cherrykeel.Instant{}})
	}
	return term
}

// issued reports whether an order was made in this term.
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

// watchAddresses tells the ledger of upstreams that are other processes now.
func (term *term) recordAddressChanges(input Input) {
	for _, upstream := range input.Service.Upstreams {
		address, exists := term.addresses[upstream.Name]
		if exists && address != upstream.Address && input.Service.ChecksFences {
			term.ledger.RecordAddressChange(upstream.Name)
		}
		term.addresses[upstream.Name] = upstream.Address
	}
}

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

// teach tells the witnesses of earlier terms that they are over.
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
				// A host that the platform has taken off the list for long is destroyed,
				// or was paused so long that it abstains when it wakes.
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

// free works out when the leases of all earlier terms have ended: a lease's length
// after a majority of each term's witnesses stopped confirming it.
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

// boundOf returns the bound on the requests of a term: the claim's, not that of the settings, which may have
// changed while requests run that were sent before. Claims of older programs name none.
func requestTimeout(claimed time.Duration, service *cherrykeel.Service) time.Duration {
	if claimed > 0 {
		return claimed
	}
	return configuredTimeout(service)
}

// timeoutOf returns the bound that a claim names by the settings in force.
func configuredTimeout(service *cherrykeel.Service) time.Duration {
	if service.ChecksFences {
		return 0
	}
	return service.Timeout
}

// learnedAt returns when a majority had learned, or 0.
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

// renew asks the witnesses and sends the leases.
func (term *term) renew(input Input, actions *Actions) {
	interval := time.Duration(renewShare * float64(input.Block.LeaseLength))
	settled := term.ledger.IsSettled(input.Now)
	if settled && term.renewedAt != 0 && input.Now.Sub(term.renewedAt) < interval {
		return
	}
	if term.renewedAt == 0 || !settled || input.Now.Sub(term.renewedAt) >= interval {
		// While something changes hands, the witnesses are asked at every tick: what a lost
		// upstream held is free only once they have confirmed the term after its lease's end.
		term.renewedAt = input.Now
		actions.RequestConfirmation = input.Block.Witnesses
	}
	actions.Orders = term.ledger.NextOrders(input.Now, term.quorum.ConfirmedAt())
}

// refreshWitnesses claims the term anew when witnesses have left, or requests may take another time than the
// claim says: at leisure while most of them are there, and at once when most are lost, since nothing can be
// renewed without them.
func (term *term) refreshWitnesses(input Input, actions *Actions) {
	missing := term.missingWitnesses(input)
	witnesses := ChooseWitnesses(term.service, term.self, input.Hosts)
	moreAvailable := len(witnesses) > len(input.Block.Witnesses)
	mostMissing := 2*missing > len(input.Block.Witnesses)
	shouldClaim := missing > 0 || moreAvailable || configuredTimeout(input.Service) != input.Block.Timeout
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

func (term *term) missingWitnesses(input Input) int {
	staying := map[string]bool{}
	for _, host := range input.Hosts {
		staying[host.Name] = !host.Leaving
	}
	missing := 0
	for _, name := range input.Block.Witnesses {
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
