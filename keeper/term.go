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
	renewShare = 0.25
	teachAgain = 150 * time.Millisecond
	// assignPatience is how long the log may take before a lost upstream's successors are promoted without it.
	assignPatience = 200 * time.Millisecond
	assignAgain    = time.Second
	overlayAgain   = 500 * time.Millisecond
	// balanceEvery is the time between rounds that move work for the sake of balance.
	balanceEvery = 2 * time.Second
	// moveShare is the share of partitions that one round may move by choice.
	moveShare = 1.0 / 32
	// returnPatience is how long a lost upstream must answer before it gets work again; it doubles with each loss.
	returnPatience    = 3 * time.Second
	maxReturnPatience = 5 * time.Minute
)

// term is what a keeper knows while its term lasts.
type term struct {
	number    int64
	service   string
	self      string
	placer    cherrykeel.Placer
	ledger    *lease.Ledger
	quorum    *lease.Quorum
	earlier   []*earlier
	failures  map[string]int
	addresses map[string]string
	lost      map[string]cherrykeel.Instant
	losses    map[string]int
	renewedAt cherrykeel.Instant
	taughtAt  cherrykeel.Instant

	// sequence is the block's at which proposed was computed.
	sequence   int64
	proposed   *cherrykeel.Placement
	proposedAt cherrykeel.Instant
	overlay    *cherrykeel.Placement
	overlayAt  cherrykeel.Instant
	balancedAt cherrykeel.Instant
	reclaimAt  cherrykeel.Instant
	adopted    bool
	promoted   int
}

// earlier is a term whose witnesses must learn of the new one.
type earlier struct {
	fold.EarlierTerm
	taught map[string]cherrykeel.Instant
}

func newTerm(keeper *Keeper, input Input) *term {
	service := input.Service
	options := []lease.Option{}
	if !service.ChecksFences {
		options = append(options, lease.LeaseToHosts(boundOf(input.Block.Timeout, service)))
	}
	term := &term{
		number:    input.Block.Term,
		service:   keeper.service,
		self:      keeper.self,
		placer:    keeper.placer,
		ledger:    lease.NewLedger(keeper.service, input.Block.Term, input.Block.LeaseLength, partitionOf(service.Partitions), options...),
		quorum:    lease.NewQuorum(input.Block.Witnesses),
		failures:  map[string]int{},
		addresses: map[string]string{},
		lost:      map[string]cherrykeel.Instant{},
		losses:    map[string]int{},
	}
	for _, replaced := range input.Block.Earlier {
		term.earlier = append(term.earlier, &earlier{EarlierTerm: replaced, taught: map[string]cherrykeel.Instant{}})
	}
	return term
}

// issued reports whether an order was made in this term.
func (term *term) issued(order lease.Order) bool {
	return order.Query || order.Grant.Fence.Term == term.number
}

func (term *term) failed(order lease.Order) {
	term.failures[order.Lessee]++
	term.ledger.RecordFailure(order)
}

func (term *term) tick(input Input, actions *Actions) {
	term.teach(input, actions)
	term.free(input)
	term.watchAddresses(input)
	term.ledger.SetLessees(term.lessees(input))
	term.watchUpstreams(input)
	term.place(input, actions)
	term.renew(input, actions)
	term.refreshWitnesses(input, actions)
}

// watchAddresses tells the ledger of upstreams that are other processes now.
func (term *term) watchAddresses(input Input) {
	for _, server := range input.Service.Upstreams {
		address, known := term.addresses[server.Name]
		if known && address != server.Address && input.Service.ChecksFences {
			term.ledger.RecordAddressChange(server.Name)
		}
		term.addresses[server.Name] = server.Address
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
	for _, server := range input.Service.Upstreams {
		names = append(names, server.Name)
	}
	return names
}

// teach tells the witnesses of earlier terms that they are over.
func (term *term) teach(input Input, actions *Actions) {
	if term.ledger.FreeAt() != lease.Never || input.Now.Sub(term.taughtAt) < teachAgain && term.taughtAt != 0 {
		return
	}
	term.taughtAt = input.Now
	for _, earlier := range term.earlier {
		for _, host := range earlier.Witnesses {
			if earlier.taught[host] != 0 {
				continue
			}
			if input.RemovedHosts[host] {
				// A host that the platform has taken off the list for long is destroyed,
				// or was paused so long that it abstains when it wakes.
				earlier.taught[host] = input.Now
				continue
			}
			actions.TermNotices = append(actions.TermNotices, TermNotice{Host: host, EarlierTerm: earlier.Term, Term: term.number})
		}
	}
}

func (term *term) taught(teaching TermNotice, now cherrykeel.Instant) {
	for _, earlier := range term.earlier {
		if earlier.Term == teaching.EarlierTerm && earlier.taught[teaching.Host] == 0 {
			earlier.taught[teaching.Host] = now
		}
	}
}

// free works out when the leases of all earlier terms have ended: a lease's length
// after a majority of each term's witnesses stopped confirming it.
func (term *term) free(input Input) {
	if term.ledger.FreeAt() != lease.Never {
		return
	}
	freeAt := cherrykeel.Instant(0)
	for _, earlier := range term.earlier {
		learned := earlier.learnedAt()
		if learned == 0 {
			return
		}
		longest := lease.MaxElapsed(earlier.LeaseLength)
		if bound := boundOf(earlier.Timeout, input.Service); bound > 0 {
			longest += lease.MaxElapsed(lease.MaxProcessingTime(bound))
		}
		freeAt = max(freeAt, learned.Add(longest))
	}
	term.ledger.SetFreeAt(freeAt)
}

// boundOf returns the bound on the requests of a term: the claim's, not that of the settings, which may have
// changed while requests run that were sent before. Claims of older programs name none.
func boundOf(claimed time.Duration, service *cherrykeel.Service) time.Duration {
	if claimed > 0 {
		return claimed
	}
	return timeoutOf(service)
}

// timeoutOf returns the bound that a claim names by the settings in force.
func timeoutOf(service *cherrykeel.Service) time.Duration {
	if service.ChecksFences {
		return 0
	}
	return service.Timeout
}

// learnedAt returns when a majority had learned, or 0.
func (earlier *earlier) learnedAt() cherrykeel.Instant {
	var at []cherrykeel.Instant
	for _, host := range earlier.Witnesses {
		if earlier.taught[host] != 0 {
			at = append(at, earlier.taught[host])
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i] < at[j] })
	needed := len(earlier.Witnesses)/2 + 1
	if len(at) < needed {
		return 0
	}
	return at[needed-1]
}

// renew asks the witnesses and sends the leases.
func (term *term) renew(input Input, actions *Actions) {
	every := time.Duration(renewShare * float64(input.Block.LeaseLength))
	settled := term.ledger.IsSettled(input.Now)
	if settled && term.renewedAt != 0 && input.Now.Sub(term.renewedAt) < every {
		return
	}
	if term.renewedAt == 0 || !settled || input.Now.Sub(term.renewedAt) >= every {
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
	better := ChooseWitnesses(term.service, term.self, input.Hosts)
	grown := len(better) > len(input.Block.Witnesses)
	stuck := 2*missing > len(input.Block.Witnesses)
	wanted := missing > 0 || grown || timeoutOf(input.Service) != input.Block.Timeout
	recent := term.reclaimAt != 0 && input.Now.Sub(term.reclaimAt) < listPatience
	if !wanted || recent || input.Leaving || !stuck && !term.ledger.IsSettled(input.Now) {
		return
	}
	term.reclaimAt = input.Now
	actions.Claim = &fold.Claim{
		Service:     term.service,
		Term:        term.number,
		LeaseLength: input.Service.LeaseLength,
		Timeout:     timeoutOf(input.Service),
		Witnesses:   better,
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
	for name := range term.lost {
		report.Unavailable = append(report.Unavailable, name)
	}
	sort.Strings(report.Unavailable)
	report.Promoted = term.promoted
	return report
}
