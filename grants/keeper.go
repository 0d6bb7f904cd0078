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
	// tickInterval is the interval at which the keeper checks for changes, and idleInterval that of the other hosts,
	// which only check whether there is a keeper.
	tickInterval = 25 * time.Millisecond
	idleInterval = 100 * time.Millisecond
	// planInterval is the interval at which keys are transferred for balance.
	planInterval = 250 * time.Millisecond
	// maxMoves bounds the spans that are without an owner at once for the sake of balance; with many upstreams the
	// bound is one span for each upstreamsPerMove of them. A transfer waits for running requests, for up to seconds,
	// and a range of keys that becomes hot for 26 of 111 upstreams must not wait for 7 rounds of 4 transfers.
	maxMoves         = 4
	upstreamsPerMove = 16
	// maxSpeedReportAge is the maximum age of a host's report on an upstream's speed that counts.
	maxSpeedReportAge = 3 * time.Second
	// maxKeeperSilence is the time without a report from the keeper after which another host claims. The keeper reports
	// every 250 ms, or every 500 ms if the hosts are too many for a full mesh, and at the latest one tick of 80 ms later
	// (see package share).
	maxKeeperSilence = 900 * time.Millisecond
	// claimStagger delays the claims of hosts by their rank, so that usually only one host claims.
	claimStagger = 120 * time.Millisecond
)

// Mesh provides the reports of the other hosts.
type Mesh interface {
	// Reports returns the newest report of each other host that is at most as old as age.
	Reports(age time.Duration) []share.ReceivedReport
	// TimeSinceReport returns the time since a host's last report was received; false if its present incarnation has
	// sent none.
	TimeSinceReport(name string) (time.Duration, bool)
	// HostCount returns the number of hosts, including this one.
	HostCount() int
}

// Table is this host's view of the table in the store.
type Table interface {
	// Current returns the table and the offset that the next one will get; false until the table has been read.
	Current() (spans.Table, int64, bool)
	// ApplyOwnWrite applies a table that this host has written.
	ApplyOwnWrite(value []byte, offset int64)
	// IsCorrupt reports whether the newest record of the table cannot be decoded, or is an older table; the keeper then
	// writes the table again.
	IsCorrupt() bool
	// IsFromCopy reports whether the table is known only from a store that has come back from a copy since it was written.
	IsFromCopy() bool
}

// Environment provides the upstreams, the settings, and the state of the store as this host sees them.
type Environment interface {
	// KeyedServices returns the services whose keys are divided among their upstreams.
	KeyedServices() []cherrykeel.RoutedService
	// Upstreams returns all known upstreams, including those that leave.
	Upstreams() []cherrykeel.Upstream
	// HasEnded reports whether an upstream's process is known to have ended, since another upstream has answered at its
	// address.
	HasEnded(id, address string) bool
	// HasOther reports whether another upstream is listed with an upstream's address, which alone shows nothing.
	HasOther(id, address string) bool
	// NotifyEnded is called when another upstream has answered at the address of the given one.
	NotifyEnded(upstream cherrykeel.Upstream)
	// RereadTable makes the host read the table again.
	RereadTable()
	// StoreAvailableFor returns for how long the store has been available to this host without a failure; 0 if it is
	// not.
	StoreAvailableFor() time.Duration
	// ReregistrationTime returns the time within which all upstreams write their entries to a store that serves them.
	ReregistrationTime() time.Duration
	// IsResting reports whether an upstream wants no request from this host now; RecordRest records that it wants none for
	// a time.
	IsResting(id string) bool
	RecordRest(id string, duration time.Duration)
	// LinkLostFor returns for how long this host has not reached an upstream's address itself while another host did; 0 if
	// it reaches it.
	LinkLostFor(address string) time.Duration
	// IsLinkUncertain reports whether neither this host nor those that it asked could tell about an upstream when they
	// could not connect to its address last, since their own links were lost.
	IsLinkUncertain(address string) bool
	// PeerIncarnation returns the incarnation that a host last announced, and how long ago the announcement was read.
	PeerIncarnation(name string) (string, time.Duration, bool)
	// Rank returns this host's position among the reachable hosts, starting at 0.
	Rank() int
}

// Keeper claims, grants and transfers key spans.
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

	// The fields below are used only by the goroutine of Run.
	term        int64
	unconfirmed bool
	// acceptedAt is when an owner last accepted a grant, or when the term began. cutOff means that none did for a while,
	// since cutOffAt.
	acceptedAt cherrykeel.Instant
	cutOff     bool
	cutOffAt   cherrykeel.Instant
	// reclaimAfter is when a term may be claimed for a refused grant again, and reclaimPause the pause before that.
	reclaimAfter cherrykeel.Instant
	reclaimPause time.Duration
	ledger       spans.Ledger
	demand       map[string]*spans.Demand
	speedReports map[string]map[string]speedReport
	// meanTimes are the mean processing times by service.
	meanTimes map[string]cachedMean
	grants    map[spans.GrantedSpan]*grantState
	releases  map[spans.GrantedSpan]*releaseState
	contacts  map[string]*contact
	// limits are the limits that upstreams name, or have named until a while ago.
	limits map[string]heldLimit
	// majorityKnowsSince is since when more than half of the hosts have known the term.
	majorityKnowsSince cherrykeel.Instant
	majorityKnows      bool
	// receivedFinal has the final grants of the present term while another host is the keeper; lastClaim is this host's
	// last claim.
	receivedFinal *finalGrants
	lastClaim     claimAttempt
	// transfers are the transfers in tables whose writes are unconfirmed.
	transfers   []unconfirmedTransfer
	plannedAt   cherrykeel.Instant
	writing     bool
	startedAt   cherrykeel.Instant
	resigned    bool
	tickedAt    cherrykeel.Instant
	seenVersion int64
	seenAt      cherrykeel.Instant
	// writeAfter is the earliest time for the next write.
	writeAfter cherrykeel.Instant
	// vacant means that the keeper's role should be claimed, since vacantSince.
	vacant               bool
	vacantSince          cherrykeel.Instant
	keeperStoreless      bool
	keeperStorelessSince cherrykeel.Instant
	// eraUnclaimedSince is since when this host has known that the role has not been claimed in the store's era, or 0.
	eraUnclaimedSince cherrykeel.Instant
	// unknownOwners is set while the table is uncertain, and isUncertain while upstreams may hold keys that it names other
	// owners of.
	unknownOwners *unknownOwners
	isUncertain   bool

	// needsTick means that the last result allows an action that should not wait for the next tick. An answered renewal
	// allows none: with 231 owners there are about 600 of them a second, and each tick takes half a millisecond, which
	// made the keeper the busiest host, at 0.70 of its 0.8 cores.
	needsTick bool
	// storeUnavailable means that the store has been unavailable to this host since storeUnavailableSince; longLeases,
	// that leases are long for that reason.
	storeUnavailable      bool
	storeUnavailableSince cherrykeel.Instant
	longLeases            bool

	// publishedFinal has the final grants that this host's reports include; any goroutine may read it.
	publishedFinal atomic.Pointer[finalGrants]
}

// Option configures a Keeper that New creates.
type Option func(*Keeper)

// WithMetrics sets the scope for the counts of orders and transfers; without it they are not counted.
func WithMetrics(scope tally.Scope) Option {
	return func(keeper *Keeper) {
		keeper.meter = meter{scope: scope}
	}
}

// New returns a Keeper that holds no spans yet; Run starts it.
func New(self cherrykeel.Peer, clock cherrykeel.Clock, logger *zap.Logger, log cherrykeel.KeyedLog, key string, table Table, environment Environment, mesh Mesh, granter cherrykeel.SpanGranter, bounds func() cherrykeel.Bounds, options ...Option) *Keeper {
	keeper := &Keeper{
		self: self, clock: clock, logger: logger, log: log, key: key, table: table, environment: environment, mesh: mesh,
		granter: granter, bounds: bounds, workers: newWorkers(), meter: meter{scope: tally.NoopScope},
		results: make(chan func(cherrykeel.Instant), 4*maxCalls), demands: make(chan share.Demand, maxCalls),
		resignRequests: make(chan chan struct{}, 1), stopRequests: make(chan chan struct{}, 1),
		term: -1, demand: map[string]*spans.Demand{}, speedReports: map[string]map[string]speedReport{}, meanTimes: map[string]cachedMean{}, grants: map[spans.GrantedSpan]*grantState{},
		releases: map[spans.GrantedSpan]*releaseState{}, contacts: map[string]*contact{}, limits: map[string]heldLimit{}, seenVersion: -1,
	}
	for _, option := range options {
		option(keeper)
	}
	return keeper
}

// Resign gives up the keeper's role so that another host can claim at once; it returns when that is written or has
// failed.
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

// Run claims the keeper's role when it is vacant, and fulfils it, until the context ends or StopGranting is called.
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
	suspended := now.Sub(keeper.tickedAt)
	if suspended > maxEvidenceAge {
		events.Log(keeper.logger, events.Suspended, zap.Duration("For", suspended), zap.Int64("Term", keeper.term))
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
	keeper.removeSettledTransfers(table, next)
	if !keeper.isConfirmed(table.Term, now) {
		return
	}
	keeper.boundEarlierLeases(now)
	keeper.recordStoreState(now)
	keeper.recordIncarnations()
	keeper.ledger.RemoveExpired(now)
	keeper.publishFinal(now, false)
	keeper.isUncertain = !keeper.releaseUnknownOwners(ctx, table, now)
	keeper.updateTable(ctx, table, next, now)
	keeper.probeOwners(ctx, table, now)
	keeper.identifySilentOwners(ctx, table, now)
	keeper.renewGrants(ctx, table, now)
	keeper.logCutOff(table, now)
}

// leaveTerm discards the state of the present term when another host has become the keeper.
func (keeper *Keeper) leaveTerm(table spans.Table) {
	if keeper.term < 0 {
		return
	}
	events.Log(keeper.logger, events.KeeperResigned, zap.Int64("Term", keeper.term), zap.String("Keeper", table.Keeper), zap.Int64("NewTerm", table.Term))
	keeper.term = -1
	keeper.unknownOwners = nil
	keeper.publishedFinal.Store(nil)
	keeper.grants = map[spans.GrantedSpan]*grantState{}
	keeper.releases = map[spans.GrantedSpan]*releaseState{}
	keeper.contacts = map[string]*contact{}
	keeper.ledger = spans.Ledger{}
}

// enterTerm starts a term of this host as the keeper: the previous keeper may have granted everything in the table, and
// may go on granting until enough hosts know the new term.
func (keeper *Keeper) enterTerm(table spans.Table, now cherrykeel.Instant) {
	if keeper.term == table.Term {
		return
	}
	keeper.term = table.Term
	keeper.acceptedAt, keeper.cutOff = now, false
	keeper.majorityKnows = false
	keeper.grants = map[spans.GrantedSpan]*grantState{}
	keeper.releases = map[spans.GrantedSpan]*releaseState{}
	keeper.contacts = map[string]*contact{}
	keeper.ledger = spans.Ledger{}
	keeper.inheritOwners(table, now)
	keeper.unknownOwners = nil
	keeper.recordUnknownOwners(table)
	events.Log(keeper.logger, events.KeeperClaimed, zap.Int64("Term", table.Term), zap.Int("Hosts", keeper.mesh.HostCount()), zap.Bool("Uncertain", table.Uncertain))
}
