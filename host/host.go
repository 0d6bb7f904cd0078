package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/config"
	"cherrykeel/conns"
	"cherrykeel/deny"
	"cherrykeel/drain"
	"cherrykeel/edge"
	"cherrykeel/events"
	"cherrykeel/fold"
	"cherrykeel/follow"
	"cherrykeel/intent"
	"cherrykeel/member"
	"cherrykeel/picker"
	"cherrykeel/place"
	"cherrykeel/remote"
	"cherrykeel/route"
	"cherrykeel/tree"
	"cherrykeel/wire"
)

// Stream is the name of the log stream that hosts and operators share.
const Stream = "cherrykeel"

const (
	poolWorkers = 64
	// closeTimeout is how long the operators' connections may take to close at the end of a stop.
	closeTimeout = 2 * time.Second
)

// Host is an entry host: it forwards callers' requests to upstreams and takes part in assigning keys to upstreams.
type Host struct {
	config           config.Config
	logger           *zap.Logger
	scope            tally.Scope
	metrics          http.Handler
	clock            cherrykeel.Clock
	incarnation      string
	log              cherrykeel.Log
	intentLog        cherrykeel.Log
	intentGuard      *intent.Guard
	hostList         cherrykeel.HostList
	granter          cherrykeel.Granter
	placer           cherrykeel.Placer
	picker           cherrykeel.Picker
	follower         *follow.Follower
	roster           *roster
	coordinator      *coordinator
	connPool         *conns.Pool
	fleet            *edge.Fleet
	peerClient       *wire.Client
	denyList         *deny.List
	pendingSuspected *deny.PendingRecords
	// suspectedVersion is the SuspectedVersion of the last state that was merged into denyList; only the follower's
	// goroutine uses it.
	suspectedVersion int64
	workers          pond.Pool
	table            atomic.Pointer[route.Table]
	settingsError    atomic.Pointer[string]
	requests         requestGauge
	slotAllocators   slotAllocators
	stopping         atomic.Bool
	started          time.Time
	// lastUnreadyReason and logWasAvailable are what maintain last logged.
	lastUnreadyReason atomic.Pointer[string]
	logWasAvailable   atomic.Bool
	// settingsVersion is the version of the settings in force; only the follower's goroutine uses it.
	settingsVersion int64
	helloCount      atomic.Int64

	peerServer     *wire.Server
	callerServer   *drain.Server
	adminServer    *drain.Server
	callerListener *drain.Listener
	adminListener  *drain.Listener
}

// Option configures a Host.
type Option func(*Host)

// WithLogger sets the logger; the default discards everything.
func WithLogger(logger *zap.Logger) Option {
	return func(host *Host) {
		host.logger = logger
	}
}

// WithMetrics sets the scope of the metrics and the handler that serves them.
func WithMetrics(scope tally.Scope, handler http.Handler) Option {
	return func(host *Host) {
		host.scope = scope
		host.metrics = handler
	}
}

// WithClock replaces the default clock. The clock must count the time for which the machine was suspended.
func WithClock(clock cherrykeel.Clock) Option {
	return func(host *Host) {
		host.clock = clock
	}
}

// WithPlacer replaces the default placer.
func WithPlacer(placer cherrykeel.Placer) Option {
	return func(host *Host) {
		host.placer = placer
	}
}

// WithPicker replaces the default picker.
func WithPicker(picker cherrykeel.Picker) Option {
	return func(host *Host) {
		host.picker = picker
	}
}

// New returns a host that does nothing until Listen and Run are called.
func New(config config.Config, options ...Option) *Host {
	host := &Host{
		config:  config,
		logger:  zap.NewNop(),
		scope:   tally.NoopScope,
		metrics: http.NotFoundHandler(),
		// With a clock that stops while the machine is suspended, leases on sending and the witness's confirmations would
		// stay valid too long.
		clock:          cherrykeel.BootTimeClock(),
		incarnation:    uuid.NewString(),
		log:            remote.NewLog(config.Log, Stream),
		intentLog:      remote.NewLog(config.Log, intent.Stream),
		hostList:       remote.NewHostList(config.Hosts),
		granter:        remote.NewGranter(),
		placer:         place.New(),
		picker:         picker.NewLeastLoaded(),
		peerClient:     wire.NewClient(),
		connPool:       conns.NewPool(),
		started:        time.Now(),
		slotAllocators: slotAllocators{entries: map[string]*slotAllocatorEntry{}, hostByService: map[string]string{}, hostSince: map[string]cherrykeel.Instant{}},
	}
	for _, option := range options {
		option(host)
	}
	host.pendingSuspected = deny.NewPendingRecords()
	host.denyList = newDenyList(host)
	host.intentGuard = intent.NewGuard(host.intentLog, host.clock, config.Name)
	host.workers = pond.NewPool(poolWorkers)
	host.roster = &roster{members: member.NewRoster(host.listEntry())}
	host.coordinator = newCoordinator(host)
	host.fleet = edge.NewFleet(config.Zone, host.incarnation, host.clock, host.picker, host, host.connPool.SetLimit)
	host.follower = follow.New(host.log, host.clock,
		follow.WithPeers(host),
		follow.OnState(host.onState),
		follow.OnCaughtUp(host.coordinator.recordCaughtUp))
	return host
}

func (host *Host) listEntry() cherrykeel.Member {
	inner := host.config.Inner
	if host.peerServer != nil {
		inner = host.peerServer.Address()
	}
	if host.config.AnnounceInner != "" {
		inner = host.config.AnnounceInner
	}
	callerAddress, adminAddress := host.addresses()
	return cherrykeel.Member{
		Name:            host.config.Name,
		Role:            cherrykeel.RoleEntry,
		Zone:            host.config.Zone,
		Leaving:         host.stopping.Load(),
		Address:         callerAddress,
		InternalAddress: inner,
		AdminAddress:    adminAddress,
	}
}

// addresses returns the addresses for callers and operators: those of the sockets, or before Listen the configured
// ones.
func (host *Host) addresses() (callerAddress, adminAddress string) {
	if host.callerListener == nil || host.adminListener == nil {
		return host.config.Listen, host.config.Admin
	}
	return host.Address(), host.AdminAddress()
}

// Listen opens the host's sockets for callers, operators and peers.
func (host *Host) Listen() error {
	var err error
	host.callerListener, err = drain.Listen(host.config.Listen)
	if err != nil {
		return errors.Wrap(err, "Listen")
	}
	host.adminListener, err = drain.Listen(host.config.Admin)
	if err != nil {
		return errors.Wrap(err, "Admin")
	}
	host.peerServer, err = wire.Listen(host.config.Inner, host.methods())
	if err != nil {
		return errors.Wrap(err, "Inner")
	}
	host.roster.replaceSelf(host.listEntry())
	return nil
}

// Address returns the address for callers; it requires Listen.
func (host *Host) Address() string {
	return host.callerListener.Addr().String()
}

// AdminAddress returns the address for operators; it requires Listen.
func (host *Host) AdminAddress() string {
	return host.adminListener.Addr().String()
}

// onState applies a new state of the fold.
func (host *Host) onState(state *fold.State) {
	host.mergeSuspected(state)
	if host.table.Load() != nil && host.settingsError.Load() == nil && state.Version == host.settingsVersion {
		// Only ownership has changed; resolving all settings again would cost a hundred times as much.
		host.coordinator.onState(state)
		return
	}
	services, err := tree.Services(state.Nodes)
	if err != nil {
		// A ready host would silently serve stale settings. So the host reports the reason and is unready until a newer
		// program that can use the settings replaces it, or the settings are changed so that this one can use them.
		text := err.Error()
		host.settingsError.Store(&text)
		host.coordinator.recordTerms(state)
		events.Log(host.logger, events.SettingsRefused, zap.Error(err), zap.Int64("Version", state.Version))
		return
	}
	host.settingsError.Store(nil)
	host.settingsVersion = state.Version
	previous := host.table.Load()
	table := route.NewTable(services)
	host.table.Store(table)
	host.updateFleet()
	host.coordinator.onState(state)
	if previous == nil || newestServiceVersion(previous) != state.Version {
		events.Log(host.logger, events.SettingsInForce, zap.Int64("Version", state.Version))
	}
}

func newestServiceVersion(table *route.Table) int64 {
	version := int64(0)
	for _, service := range table.Services() {
		version = max(version, service.Version)
	}
	return version
}

func (host *Host) updateFleet() {
	table := host.table.Load()
	if table != nil {
		host.fleet.Update(table.Services(), host.roster.hostCount())
	}
}

// Table implements edge.TableSource.
func (host *Host) Table() *route.Table {
	return host.table.Load()
}

// Owner implements edge.Owners.
func (host *Host) Owner(service string, partition int, key string) string {
	return host.coordinator.owner(service, partition, key)
}

// IsDraining implements edge.Owners.
func (host *Host) IsDraining(service *cherrykeel.Service, upstream string) bool {
	for _, name := range service.Drain {
		if name == upstream {
			return true
		}
	}
	return host.roster.hasLeft(upstream)
}

// Run serves until the context ends or a server fails, then stops gracefully. It requires Listen, and returns the
// server's error, if any.
func (host *Host) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	failed := host.serve()
	host.startLoops(work)
	events.Log(host.logger, events.HostStarted,
		zap.String("Name", host.config.Name),
		zap.String("Address", host.Address()),
		zap.String("Admin", host.AdminAddress()))
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	host.stop()
	stopWork()
	host.close()
	return err
}

func (host *Host) startLoops(ctx context.Context) {
	go host.follower.Run(ctx)
	go host.intentGuard.Run(ctx)
	go host.requestSlots(ctx)
	go host.storeSuspected(ctx)
	go runEvery(ctx, listInterval, host.refreshList)
	go runEvery(ctx, announceInterval, host.announce)
	go runEvery(ctx, helloInterval, host.sendHellos)
	go runEvery(ctx, tickInterval, host.coordinator.tick)
	go runEvery(ctx, checkpointInterval, host.checkpoint)
	go runEvery(ctx, maintainInterval, host.maintain)
}

// runEvery calls step at once and then at each interval, until the context ends.
func runEvery(ctx context.Context, interval time.Duration, step func(ctx context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}
