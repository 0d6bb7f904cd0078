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

// Stream is the name of the log's stream that hosts and operators share.
const Stream = "cherrykeel"

const (
	poolWorkers = 64
	// goneWait is how long connections may take to end after the last request.
	goneWait = 2 * time.Second
)

// Host is one entry host.
type Host struct {
	config   config.Config
	logger   *zap.Logger
	scope    tally.Scope
	metrics  http.Handler
	clock    cherrykeel.Clock
	boot     string
	log      cherrykeel.Log
	intents  cherrykeel.Log
	guard    *intent.Guard
	list     cherrykeel.HostList
	granter  cherrykeel.Granter
	placer   cherrykeel.Placer
	picker   cherrykeel.Picker
	follower *follow.Follower
	roster   *roster
	duty     *duty
	conns    *conns.Pool
	fleet    *edge.Fleet
	peers    *wire.Client
	denied   *deny.List
	kept     *deny.PendingRecords
	// deniedAt is the version of the last record on such requests, for the follower's goroutine.
	deniedAt int64
	workers  pond.Pool
	table    atomic.Pointer[route.Table]
	refused  atomic.Pointer[string]
	requests requestGauge
	stewards stewards
	stopping atomic.Bool
	started  time.Time
	// lastReason and logWasUp are what watch last logged.
	lastReason atomic.Pointer[string]
	logWasUp   atomic.Bool
	// resolved is the version of the settings in force, for the follower's goroutine.
	resolved int64
	hellos   atomic.Int64

	inner       *wire.Server
	front       *drain.Server
	admin       *drain.Server
	frontSocket *drain.Listener
	adminSocket *drain.Listener
}

// Option changes a Host under construction.
type Option func(*Host)

// WithLogger sets the logger; the default writes nothing.
func WithLogger(logger *zap.Logger) Option {
	return func(host *Host) {
		host.logger = logger
	}
}

// WithMetrics sets the scope of the metrics and the handler that shows them.
func WithMetrics(scope tally.Scope, handler http.Handler) Option {
	return func(host *Host) {
		host.scope = scope
		host.metrics = handler
	}
}

// WithClock replaces the clock, which counts suspension.
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

// New returns a host that does nothing yet.
func New(config config.Config, options ...Option) *Host {
	host := &Host{
		config:  config,
		logger:  zap.NewNop(),
		scope:   tally.NoopScope,
		metrics: http.NotFoundHandler(),
		// Leases on sending, and a witness's word, must not outlive a suspension of the machine.
		clock:    cherrykeel.BootTimeClock(),
		boot:     uuid.NewString(),
		log:      remote.NewLog(config.Log, Stream),
		intents:  remote.NewLog(config.Log, intent.Stream),
		list:     remote.NewHostList(config.Hosts),
		granter:  remote.NewGranter(),
		placer:   place.New(),
		picker:   picker.NewLeastLoaded(),
		peers:    wire.NewClient(),
		conns:    conns.NewPool(),
		started:  time.Now(),
		stewards: stewards{known: map[string]*stewardship{}, ranked: map[string]string{}, since: map[string]cherrykeel.Instant{}},
	}
	for _, option := range options {
		option(host)
	}
	host.kept = deny.NewPendingRecords()
	host.denied = newDenied(host)
	host.guard = intent.NewGuard(host.intents, host.clock, config.Name)
	host.workers = pond.NewPool(poolWorkers)
	host.roster = &roster{view: member.NewRoster(host.member())}
	host.duty = newDuty(host)
	host.fleet = edge.NewFleet(config.Zone, host.boot, host.clock, host.picker, host, host.conns.SetLimit)
	host.follower = follow.New(host.log, host.clock,
		follow.WithPeers(host),
		follow.OnState(host.onState),
		follow.OnCaughtUp(host.duty.caughtUp))
	return host
}

func (host *Host) member() cherrykeel.Member {
	inner := host.config.Inner
	if host.inner != nil {
		inner = host.inner.Address()
	}
	if host.config.AnnounceInner != "" {
		inner = host.config.AnnounceInner
	}
	front, admin := host.addresses()
	return cherrykeel.Member{
		Name:            host.config.Name,
		Role:            cherrykeel.RoleEntry,
		Zone:            host.config.Zone,
		Leaving:         host.stopping.Load(),
		Address:         front,
		InternalAddress: inner,
		AdminAddress:    admin,
	}
}

// addresses returns where the host takes callers and operators; before Listen, where it is to take them.
func (host *Host) addresses() (front, admin string) {
	if host.frontSocket == nil || host.adminSocket == nil {
		return host.config.Listen, host.config.Admin
	}
	return host.Address(), host.AdminAddress()
}

// Listen opens the host's sockets.
func (host *Host) Listen() error {
	var err error
	host.frontSocket, err = drain.Listen(host.config.Listen)
	if err != nil {
		return errors.Wrap(err, "Listen")
	}
	host.adminSocket, err = drain.Listen(host.config.Admin)
	if err != nil {
		return errors.Wrap(err, "Admin")
	}
	host.inner, err = wire.Listen(host.config.Inner, host.methods())
	if err != nil {
		return errors.Wrap(err, "Inner")
	}
	host.roster.replaceSelf(host.member())
	return nil
}

// Address returns where the host takes callers.
func (host *Host) Address() string {
	return host.frontSocket.Addr().String()
}

// AdminAddress returns where the host takes operators.
func (host *Host) AdminAddress() string {
	return host.adminSocket.Addr().String()
}

// onState takes a new state into force.
func (host *Host) onState(state *fold.State) {
	host.learnDenied(state)
	if host.table.Load() != nil && host.refused.Load() == nil && state.Version == host.resolved {
		// Only ownership has changed; reading every setting again would cost a hundred times as much.
		host.duty.onState(state)
		return
	}
	services, err := tree.Services(state.Nodes)
	if err != nil {
		// Going on with the old settings would serve old values silently; so the host
		// says why and turns unready until a program that knows the settings replaces it.
		text := err.Error()
		host.refused.Store(&text)
		host.duty.learnTerms(state)
		events.Log(host.logger, events.SettingsRefused, zap.Error(err), zap.Int64("Version", state.Version))
		return
	}
	host.refused.Store(nil)
	host.resolved = state.Version
	previous := host.table.Load()
	table := route.NewTable(services)
	host.table.Store(table)
	host.updateFleet()
	host.duty.onState(state)
	if previous == nil || versionOf(previous) != state.Version {
		events.Log(host.logger, events.SettingsInForce, zap.Int64("Version", state.Version))
	}
}

func versionOf(table *route.Table) int64 {
	version := int64(0)
	for _, service := range table.Services() {
		version = max(version, service.Version)
	}
	return version
}

func (host *Host) updateFleet() {
	table := host.table.Load()
	if table != nil {
		host.fleet.Update(table.Services(), host.roster.activeHosts())
	}
}

// Table implements edge.Tables.
func (host *Host) Table() *route.Table {
	return host.table.Load()
}

// Owner implements edge.Owners.
func (host *Host) Owner(service string, partition int, key string) string {
	return host.duty.owner(service, partition, key)
}

// IsDraining implements edge.Owners.
func (host *Host) IsDraining(service *cherrykeel.Service, upstream string) bool {
	for _, name := range service.Drain {
		if name == upstream {
			return true
		}
	}
	return host.roster.left(upstream)
}

// Run serves until the context ends, then stops gracefully.
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
	go host.guard.Run(ctx)
	go host.askSlots(ctx)
	go host.keepDenied(ctx)
	go every(ctx, listPause, host.readList)
	go every(ctx, announcePause, host.announce)
	go every(ctx, helloPause, host.sayHello)
	go every(ctx, tickPause, host.duty.tick)
	go every(ctx, checkpointPause, host.checkpoint)
	go every(ctx, watchPause, host.watch)
}

// every calls a step at once and then again after each pause, until the context ends.
func every(ctx context.Context, pause time.Duration, step func(ctx context.Context)) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for ctx.Err() == nil {
		step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}
