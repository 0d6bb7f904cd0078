package grants

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/share"
	"cherrykeel/spans"
)

const (
	// tickInterval is the pace at which the keeper looks at what changed, and idleEvery that of the other hosts,
	// which only look whether there is one.
	tickInterval = 25 * time.Millisecond
	idleInterval = 100 * time.Millisecond
	// planInterval is the pace at which keys are moved for balance.
	planInterval = 250 * time.Millisecond
	// maxMoves bounds the spans that are without an owner for balance's sake; with many upstreams there
	// may be one for each upstreamsPerMove of them. A move waits for the work that runs, up to seconds, and a
	// neighbourhood that becomes hot for 26 of 111 upstreams must not wait for 7 rounds of 4 moves.
	maxMoves         = 4
	upstreamsPerMove = 16
	// maxSpeedReportAge is how long a host's word on an upstream's speed counts.
	maxSpeedReportAge = 3 * time.Second
	// maxKeeperSilence is when another host claims: reports come each 200 ms at the least.
	maxKeeperSilence = 900 * time.Millisecond
	// claimStagger spreads the claims of several hosts, so that mostly one is made.
	claimStagger = 120 * time.Millisecond
)

// Mesh is what the keeper needs to know of the other hosts.
type Mesh interface {
	// Reports returns what other hosts told within an age.
	Reports(age time.Duration) []share.ReceivedReport
	// TimeSinceReport returns how long a host has not been heard; false if it never was in its present life.
	TimeSinceReport(name string) (time.Duration, bool)
	// HostCount returns how many hosts there are, this one included.
	HostCount() int
}

// Table is the view of the store's table.
type Table interface {
	// Current returns the table and where the next one would stand; false until it is known.
	Current() (spans.Table, int64, bool)
	// ApplyOwnWrite takes a table that this host has written.
	ApplyOwnWrite(value []byte, offset int64)
	// IsCorrupt reports whether another writer's record stands in the table's place.
	IsCorrupt() bool
}

// Environment is what the keeper sees of upstreams, settings and the store.
type Environment interface {
	// KeyedServices returns the services whose keys are divided.
	KeyedServices() []cherrykeel.RoutedService
	// Upstreams returns all upstreams that are not gone.
	Upstreams() []cherrykeel.Upstream
	// IsReplaced reports whether another upstream has taken the address since.
	IsReplaced(id, address string) bool
	// NotifyEnded is told that an upstream's process has ended.
	NotifyEnded(id string)
	// RereadTable makes the host read the table anew.
	RereadTable()
	// StoreAvailableFor is how long the store has served this host without a failure.
	StoreAvailableFor() time.Duration
	// PeerIncarnation is the life that a host last announced, and how long ago that was read.
	PeerIncarnation(name string) (string, time.Duration, bool)
	// Rank is this host's place among those that are heard, from 0.
	Rank() int
}

// Keeper claims, grants and moves key spans.
type Keeper struct {
	self        cherrykeel.Peer
	clock       cherrykeel.Clock
	logger      *zap.Logger
	log         cherrykeel.KeyedLog
	key         string
	table       Table
	environment Environment
	mesh        Mesh
	granter     cherrykeel.SpanGranter
	bounds      func() cherrykeel.Bounds
	workers     workers
	meter       meter

	results        chan func(now cherrykeel.Instant)
	demands        chan share.Demand
	resignRequests chan chan struct{}
	stopRequests   chan chan struct{}

	// The rest belongs to the goroutine of Run.
	term         int64
	unconfirmed  bool
	ledger       spans.Ledger
	demand       map[string]*spans.Demand
	speedReports map[string]map[string]speedReport
	// meanTimes are by service.
	meanTimes map[string]cachedMean
	grants    map[spans.GrantedSpan]*grantState
	releases  map[spans.GrantedSpan]*releaseState
	contacts  map[string]*contact
	// majorityKnowsSince is since when more than half of the hosts have known the term.
	majorityKnowsSince cherrykeel.Instant
	majorityKnows      bool
	// receivedFinal are those of the present term while another host keeps, claimed is the last claim of this host.
	receivedFinal *finalGrants
	lastClaim     claimAttempt
	// transfers are what open writes give on.
	transfers   []unconfirmedTransfer
	plannedAt   cherrykeel.Instant
	writing     bool
	startedAt   cherrykeel.Instant
	resigned    bool
	tickedAt    cherrykeel.Instant
	seenVersion int64
	seenAt      cherrykeel.Instant
	// writeAfter is when the next write may be tried.
	writeAfter cherrykeel.Instant
	// vacant says that the duty is to be claimed, since openSince.
	vacant               bool
	vacantSince          cherrykeel.Instant
	keeperStoreless      bool
	keeperStorelessSince cherrykeel.Instant

	// needsTick says that the last result lets something be done that should not wait for the next tick. A renewal that
	// was answered lets nothing be done: with 231 owners there are some 600 of them a second, and each look at
	// everything takes half a millisecond; the keeper was the busiest host with 0.70 of its 0.8 cores.
	needsTick bool
	// storeUnavailable says that the store does not serve this host, since awaySince; barred, that holds are long for it.
	storeUnavailable      bool
	storeUnavailableSince cherrykeel.Instant
	longLeases            bool

	// publishedFinal is what reports say of grants that are made no more; any goroutine may read it.
	publishedFinal atomic.Pointer[finalGrants]
}

// Option changes a Keeper under construction.
type Option func(*Keeper)

// WithMetrics sets where orders and changes of owners are counted; without it they are not.
func WithMetrics(scope tally.Scope) Option {
	return func(keeper *Keeper) {
		keeper.meter = meter{scope: scope}
	}
}

// New returns a keeper that keeps nothing yet.
func New(self cherrykeel.Peer, clock cherrykeel.Clock, logger *zap.Logger, log cherrykeel.KeyedLog, key string, table Table, world Environment, mesh Mesh, granter cherrykeel.SpanGranter, bounds func() cherrykeel.Bounds, options ...Option) *Keeper {
	keeper := &Keeper{
		self: self, clock: clock, logger: logger, log: log, key: key, table: table, environment: world, mesh: mesh,
		granter: granter, bounds: bounds, workers: newWorkers(), meter: meter{scope: tally.NoopScope},
		results: make(chan func(cherrykeel.Instant), 4*maxCalls), demands: make(chan share.Demand, maxCalls),
		resignRequests: make(chan chan struct{}, 1), stopRequests: make(chan chan struct{}, 1),
		term: -1, demand: map[string]*spans.Demand{}, speedReports: map[string]map[string]speedReport{}, meanTimes: map[string]cachedMean{}, grants: map[spans.GrantedSpan]*grantState{},
		releases: map[spans.GrantedSpan]*releaseState{}, contacts: map[string]*contact{}, seenVersion: -1,
	}
	for _, option := range options {
		option(keeper)
	}
	return keeper
}

// Resign gives up the spans so that another host claims at once; it returns when that is written or failed.
func (keeper *Keeper) Resign(ctx context.Context) {
	done := make(chan struct{})
	select {
	case keeper.resignRequests <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run keeps spans until the context ends.
func (keeper *Keeper) Run(ctx context.Context) {
	keeper.startedAt = keeper.clock.Now()
	keeper.tickedAt = keeper.startedAt
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			keeper.tick(ctx)
			ticker.Reset(keeper.tickDelay())
		case result := <-keeper.results:
			result(keeper.clock.Now())
			if keeper.needsTick {
				keeper.tick(ctx)
			}
		case demand := <-keeper.demands:
			keeper.addDemand(demand)
		case done := <-keeper.resignRequests:
			keeper.writeResignation(ctx)
			close(done)
		case done := <-keeper.stopRequests:
			keeper.publishTermEnd()
			close(done)
			return
		}
	}
}

func (keeper *Keeper) tickDelay() time.Duration {
	if keeper.term < 0 && !keeper.vacant {
		return idleInterval
	}
	return tickInterval
}

func (keeper *Keeper) tick(ctx context.Context) {
	keeper.needsTick = false
	now := keeper.clock.Now()
	stood := now.Sub(keeper.tickedAt)
	if stood > maxEvidenceAge {
		events.Log(keeper.logger, events.Suspended, zap.Duration("For", stood), zap.Int64("Term", keeper.term))
	}
	keeper.tickedAt = now
	table, next, known := keeper.table.Current()
	if !known {
		return
	}
	if table.Version != keeper.seenVersion {
		keeper.seenVersion = table.Version
		keeper.seenAt = now
	}
	if table.Keeper != keeper.self.Name || table.Incarnation != keeper.self.Incarnation {
		keeper.leaveTerm(table)
		keeper.recordFinalReports(table)
		keeper.considerClaim(ctx, table, next, now)
		return
	}
	keeper.enterTerm(table, now)
	keeper.removeSettledTransfers(next)
	if !keeper.isConfirmed(table.Term, now) {
		return
	}
	keeper.boundEarlierLeases(now)
	keeper.recordStoreState(now)
	keeper.recordIncarnations()
	keeper.ledger.RemoveExpired(now)
	keeper.publishFinal(now, false)
	keeper.updateTable(ctx, table, next, now)
	keeper.probeOwners(ctx, table, now)
	keeper.renewGrants(ctx, table, now)
}

// leaveTerm leaves the duty when another host has it.
func (keeper *Keeper) leaveTerm(table spans.Table) {
	if keeper.term < 0 {
		return
	}
	events.Log(keeper.logger, events.KeeperResigned, zap.Int64("Term", keeper.term), zap.String("Keeper", table.Keeper), zap.Int64("NewTerm", table.Term))
	keeper.term = -1
	keeper.publishedFinal.Store(nil)
	keeper.grants = map[spans.GrantedSpan]*grantState{}
	keeper.releases = map[spans.GrantedSpan]*releaseState{}
	keeper.contacts = map[string]*contact{}
	keeper.ledger = spans.Ledger{}
}

// enterTerm takes up the duty of a term: whoever kept before may have granted all that the table says, and
// may go on until enough hosts know the new term.
func (keeper *Keeper) enterTerm(table spans.Table, now cherrykeel.Instant) {
	if keeper.term == table.Term {
		return
	}
	keeper.term = table.Term
	keeper.majorityKnows = false
	keeper.grants = map[spans.GrantedSpan]*grantState{}
	keeper.releases = map[spans.GrantedSpan]*releaseState{}
	keeper.contacts = map[string]*contact{}
	keeper.ledger = spans.Ledger{}
	keeper.inheritOwners(table, now)
	events.Log(keeper.logger, events.KeeperClaimed, zap.Int64("Term", table.Term), zap.Int("Hosts", keeper.mesh.HostCount()))
}
