package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/caller"
	"cherrykeel/conns"
	"cherrykeel/deny"
	"cherrykeel/drain"
	"cherrykeel/events"
	"cherrykeel/grants"
	"cherrykeel/poison"
	"cherrykeel/relay"
	"cherrykeel/share"
	"cherrykeel/watch"
)

const (
	// dialTimeout and userTimeout end tries to reach an upstream that does not answer at all; the way
	// there and back takes 3 ms, and one lost packet is sent again after 200 ms.
	dialTimeout = 300 * time.Millisecond
	userTimeout = 500 * time.Millisecond
	idleTimeout = 8 * time.Second
	// lifeLength is enough to tell the lives of one host apart.
	lifeLength = 8
	// bodyShare is the part of the memory that held bodies may take.
	bodyShare = 0.25
)

// Platform is what a host needs of the platform it runs on.
type Platform struct {
	Dialect   cherrykeel.Dialect
	Granter   cherrykeel.SpanGranter
	Operator  cherrykeel.KeyedLog
	Upstreams cherrykeel.KeyedLog
	Hosts     cherrykeel.KeyedLog
	Spans     cherrykeel.KeyedLog
	// RoutesKey is the key of the routes in Operator.
	RoutesKey string
	// EvacuationPrefix begins the keys of the orders in Operator that evacuate an availability zone.
	EvacuationPrefix string

	DecodeRoutes   func(value []byte) (cherrykeel.RouteSet, error)
	DecodeUpstream func(id string, value []byte) (cherrykeel.Upstream, error)
}

// Host is one entry host.
type Host struct {
	settings cherrykeel.EntrySettings
	bounds   atomic.Pointer[cherrykeel.Bounds]
	platform Platform
	self     cherrykeel.Peer
	clock    cherrykeel.Clock
	logger   *zap.Logger
	scope    tally.Scope
	metrics  http.Handler

	relay     *relay.Relay
	denied    *deny.List
	kept      *deny.Pending
	conns     *conns.Pool
	server    *caller.Server
	mesh      *share.Mesh
	keeper    *grants.Keeper
	routes    *watch.Routes
	zones     *watch.Zones
	upstreams *watch.Upstreams
	usable    usable
	peers     *watch.Peers
	spans     *watch.Spans

	topics topics

	listener *drain.Listener
	// accepted is closed when no further connection will be.
	accepted chan struct{}
	// over is closed when the process has to end.
	over     chan struct{}
	ready    atomic.Bool
	stopping atomic.Bool
	mutex    sync.Mutex
	lives    map[string]string
	// passing makes those who put the list of hosts in force follow each other.
	passing  sync.Mutex
	recent   recentChanges
	counted  *paced
	reported *paced
	joined   *paced
	listed   *paced
	names    atomic.Pointer[shortNames]
	lag      *lag
	// started is when the process began.
	started cherrykeel.Instant
	// upstreamsChained is the newest change of upstreams up to which this host was told of all.
	upstreamsChained int64
	// behind follows by topic what others know and this host does not.
	behind map[string]*behind
}

// topics are those of the platform's store that a host follows.
type topics struct {
	operator  *watch.Follower
	upstreams *watch.Follower
	hosts     *watch.Follower
	spans     *watch.Follower
}

func (topics *topics) all() []*watch.Follower {
	return []*watch.Follower{topics.operator, topics.upstreams, topics.hosts, topics.spans}
}

// Option changes a Host under construction.
type Option func(*Host)

// WithLogger sets where events are logged.
func WithLogger(logger *zap.Logger) Option {
	return func(host *Host) {
		host.logger = logger
	}
}

// WithMetrics sets where requests are counted and what serves the counts.
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

// New returns a host that does nothing yet.
func New(settings cherrykeel.EntrySettings, platform Platform, options ...Option) *Host {
	host := &Host{
		settings: settings,
		platform: platform,
		self:     cherrykeel.Peer{Name: settings.Name, Life: uuid.NewString()[:lifeLength], Inner: settings.Inner, Zone: settings.Zone, Capacity: settings.Processor},
		clock:    cherrykeel.SuspendClock(),
		logger:   zap.NewNop(),
		scope:    tally.NoopScope,
		metrics:  http.NotFoundHandler(),
		lives:    map[string]string{},
		behind:   map[string]*behind{},

		upstreamsChained: -1,
		accepted:         make(chan struct{}),
		over:             make(chan struct{}),
	}
	host.bounds.Store(&settings.Bounds)
	for _, option := range options {
		option(host)
	}
	host.started = host.clock.Now()
	host.assemble()
	return host
}

// Reload puts in force what may change while the host runs: the platform's bounds. Addresses are taken
// at the next start.
func (host *Host) Reload(settings cherrykeel.EntrySettings) {
	host.bounds.Store(&settings.Bounds)
	events.Log(host.logger, events.SettingsReread, zap.Any("Bounds", settings.Bounds), zap.String("Store", settings.StoreURL))
}

func (host *Host) currentBounds() cherrykeel.Bounds {
	return *host.bounds.Load()
}

func (host *Host) assemble() {
	host.counted = &paced{clock: host.clock, pace: gatherPace, do: host.gather}
	host.reported = &paced{clock: host.clock, pace: heardPace, do: host.heard}
	host.joined = &paced{clock: host.clock, pace: newcomersPace, do: host.tellNewcomers}
	host.listed = &paced{clock: host.clock, pace: peersPace, do: host.putPeersInForce}
	host.names.Store(&shortNames{})
	host.lag = newLag(host.clock)
	host.spans = watch.NewSpans(host.clock, host.logger, host.spansChanged, host.tellSpans)
	host.mesh = share.New(host.self, host.clock, host.logger, &state{host: host}, host.reported.ask, host.counted.ask, func(demand share.Demand) { host.keeper.Demand(demand) }, host.told)
	host.conns = conns.NewPool(conns.WithDialTimeout(dialTimeout), conns.WithUserTimeout(userTimeout), conns.WithIdleTimeout(idleTimeout), conns.WithUnframed())
	host.kept = deny.NewPending()
	host.denied = deny.New(deny.Settings{
		Clock: host.clock, Logger: host.logger, Probe: host.conns.Refused,
		Tell: host.tellDenied, Keep: host.kept.Add, KeptEnds: keptEnds,
		Planned: func(life poison.Life) bool { return host.upstreams.Leaving(life.Upstream, life.Born) },
	})
	host.relay = relay.New(relay.Settings{
		Zone: host.settings.Zone, Bounds: host.currentBounds, Clock: host.clock, Dialect: host.platform.Dialect,
		Pool:   host.conns,
		Logger: host.logger, Scope: host.scope, Owner: host.spans.Owner, Asked: host.mesh.Asked, Hosts: host.mesh.Known,
		Stale: host.misdirected, Ended: func(id string) { host.upstreams.End(id) }, Denied: host.denied,
	})
	host.server = caller.New(host.relay, caller.WithLimits(host.limits), caller.WithLogger(host.logger),
		caller.WithMemory(int64(bodyShare*float64(host.settings.MemoryBytes))))
	host.routes = watch.NewRoutes(host.platform.RoutesKey, host.platform.DecodeRoutes, host.logger, host.takeRoutes, host.tellOne(topicSettings))
	host.zones = watch.NewZones(host.platform.EvacuationPrefix, host.clock, host.logger, host.putUpstreamsInForce, host.tellOne(topicSettings))
	host.upstreams = watch.NewUpstreams(host.platform.DecodeUpstream, host.clock, host.logger,
		host.putUpstreamsInForce, host.tellUpstreams)
	host.peers = watch.NewPeers(host.clock, host.logger, host.listed.ask, host.tellOne(topicHosts))
	host.topics.operator = host.follow(topicSettings, host.platform.Operator, host.applyOperator, host.settingsSchedule)
	host.topics.upstreams = host.follow(topicUpstreams, host.platform.Upstreams, host.upstreams.Apply, host.upstreamsSchedule)
	host.topics.hosts = host.follow(topicHosts, host.platform.Hosts, host.applyHosts, host.tableSchedule)
	host.topics.spans = host.follow(topicSpans, host.platform.Spans, host.spans.Apply, host.tableSchedule)
	host.spans.SetLongestHold(func() time.Duration { return host.currentBounds().MaxHold })
	host.upstreams.SetHealth(host.topics.upstreams.WellFor)
	host.keeper = grants.New(host.self, host.clock, host.logger, host.platform.Spans, watch.SpansKey, &ownTable{host: host},
		&world{host: host}, host.mesh, host.platform.Granter, host.currentBounds, grants.WithMetrics(host.scope))
}

func (host *Host) spansChanged() {
	table, _, _ := host.spans.Current()
	host.mesh.SetKeeper(table.Keeper)
	host.relay.Dispatch()
}

func (host *Host) follow(name string, log cherrykeel.KeyedLog, apply func(watch.Update), schedule func() watch.Schedule) *watch.Follower {
	return watch.NewFollower(name, log, host.clock, host.logger, apply, schedule)
}

// Listen opens the host's addresses.
func (host *Host) Listen() error {
	var err error
	host.listener, err = drain.Listen(host.settings.Callers)
	if err != nil {
		return errors.WithStack(err)
	}
	err = host.mesh.Listen()
	if err != nil {
		return err
	}
	readiness, err := net.Listen("tcp", host.settings.Readiness)
	if err != nil {
		return errors.WithStack(err)
	}
	go host.serveQuietly(readiness, http.HandlerFunc(host.answerReadiness))
	if host.settings.Metrics == "" {
		return nil
	}
	metrics, err := net.Listen("tcp", host.settings.Metrics)
	if err != nil {
		return errors.WithStack(err)
	}
	go host.serveQuietly(metrics, host.metrics)
	return nil
}

func (host *Host) serveQuietly(listener net.Listener, handler http.Handler) {
	err := http.Serve(listener, handler)
	events.Log(host.logger, events.AcceptFailed, zap.Error(err))
}

func (host *Host) answerReadiness(writer http.ResponseWriter, _ *http.Request) {
	if host.ready.Load() && !host.stopping.Load() {
		writer.WriteHeader(http.StatusOK)
		return
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// Run serves until the context ends, and then until no request is left or the grace has passed.
func (host *Host) Run(ctx context.Context) error {
	events.Log(host.logger, events.EntryStarted,
		zap.String("Host", host.self.Name), zap.String("Life", host.self.Life), zap.String("Zone", host.self.Zone),
		zap.String("Callers", host.settings.Callers), zap.String("Inner", host.self.Inner), zap.Any("Bounds", host.settings.Bounds))
	running, halt := context.WithCancel(context.Background())
	defer halt()
	for _, topic := range host.topics.all() {
		go topic.Run(running)
	}
	go host.mesh.Run(running)
	go host.keeper.Run(running)
	go host.announce(running)
	go host.tend(running)
	go host.lag.run(running)
	go host.keepDenied(running)
	go func() {
		defer close(host.accepted)
		host.server.Serve(host.listener)
	}()
	<-ctx.Done()
	host.stop(running)
	return nil
}

func (host *Host) limits() cherrykeel.CallerLimits {
	routes, known := host.routes.Current()
	if !known {
		return caller.DefaultLimits()
	}
	return routes.Limits
}
