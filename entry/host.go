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
	"cherrykeel/relay"
	"cherrykeel/share"
	"cherrykeel/tunnel"
	"cherrykeel/watch"
)

const (
	// dialTimeout and userTimeout end attempts to reach an upstream that does not answer; a round trip takes 3 ms, and a
	// lost packet is sent again after 200 ms.
	dialTimeout = 300 * time.Millisecond
	userTimeout = 500 * time.Millisecond
	idleTimeout = 8 * time.Second
	// incarnationLength is long enough to tell the incarnations of one host apart.
	incarnationLength = 8
	// callerShare is the share of the descriptors that callers' connections may take before idle ones are closed; a
	// quarter may serve other hosts, and the rest is for upstreams, the store and the readiness check.
	callerShare = 0.5
	// bodyShare is the share of the memory that buffered bodies may take.
	bodyShare = 0.25
	// answerShare is the share of the memory that upstreams' answers may take. An answer is copied twice for its caller.
	answerShare = 0.1
)

// Platform holds what a host needs from the platform that it runs on.
type Platform struct {
	// Dialect reads and writes the platform's headers.
	Dialect cherrykeel.Dialect
	// NewGranter returns what grants key spans to upstreams, over connections that the given function opens.
	NewGranter func(dial conns.DialFunc) cherrykeel.SpanGranter
	// Operator, Upstreams, Hosts and Spans are the store's topics: the operator's settings and orders, the entries of
	// upstreams, the records of hosts, and the table of key spans.
	Operator  cherrykeel.KeyedLog
	Upstreams cherrykeel.KeyedLog
	Hosts     cherrykeel.KeyedLog
	Spans     cherrykeel.KeyedLog
	// RoutesKey is the key of the routes in Operator.
	RoutesKey string
	// EvacuationPrefix begins the keys in Operator of the orders to evacuate an availability zone.
	EvacuationPrefix string

	// DecodeRoutes decodes the record under RoutesKey, DecodeUpstream an upstream's entry.
	DecodeRoutes   func(value []byte) (cherrykeel.RouteSet, error)
	DecodeUpstream func(id string, value []byte) (cherrykeel.Upstream, error)
}

// Host is an entry host.
type Host struct {
	settings cherrykeel.EntrySettings
	bounds   atomic.Pointer[cherrykeel.Bounds]
	platform Platform
	self     cherrykeel.Peer
	clock    cherrykeel.Clock
	logger   *zap.Logger
	scope    tally.Scope
	metrics  http.Handler
	// dial opens connections to upstreams.
	dial conns.DialFunc

	relay            *relay.Relay
	denyList         *deny.List
	pendingDenials   *deny.PendingRecords
	conns            *conns.Pool
	dialer           *tunnel.Dialer
	tunnels          *tunnel.Server
	granter          cherrykeel.SpanGranter
	doubts           *doubts
	server           *caller.Server
	mesh             *share.Mesh
	keeper           *grants.Keeper
	routes           *watch.Routes
	zones            *watch.Zones
	upstreams        *watch.Upstreams
	appliedUpstreams upstreamList
	peers            *watch.Peers
	spans            *watch.Spans

	topics topics

	listener *drain.Listener
	// acceptEnded is closed when no further connection will be accepted.
	acceptEnded chan struct{}
	// mustExit is closed when the process must exit.
	mustExit chan struct{}
	ready    atomic.Bool
	stopping atomic.Bool
	// mustAnnounce is set when the store lacks this host's record since it came back from a copy.
	mustAnnounce atomic.Bool
	mutex        sync.Mutex
	incarnations map[string]string
	// peersMutex serializes the updates of the list of hosts.
	peersMutex        sync.Mutex
	recent            recentChanges
	countsThrottle    *throttle
	reportsThrottle   *throttle
	newcomersThrottle *throttle
	peersThrottle     *throttle
	shortNames        atomic.Pointer[shortNames]
	schedulingDelay   *schedulingDelay
	rateLimits        *rateLimits
	// started is when the process began.
	started cherrykeel.Instant
	// upstreamsThrough is the newest change of upstreams up to which this host has received all announcements.
	upstreamsThrough int64
	// missingChanges tracks, by topic or by one of the keys beside the topics, changes that other hosts have and this
	// one lacks.
	missingChanges map[string]*missingChange
	// shownTunnels has the gauges of connections through hosts that were ever above 0.
	shownTunnels map[string]bool
}

// topics holds the followers of the store's topics.
type topics struct {
	operator  *watch.Follower
	upstreams *watch.Follower
	hosts     *watch.Follower
	spans     *watch.Follower
}

func (topics *topics) byName() map[string]*watch.Follower {
	return map[string]*watch.Follower{
		topicSettings: topics.operator, topicUpstreams: topics.upstreams, topicHosts: topics.hosts, topicSpans: topics.spans,
	}
}

func (topics *topics) followers() []*watch.Follower {
	return []*watch.Follower{topics.operator, topics.upstreams, topics.hosts, topics.spans}
}

// Option configures a Host in New.
type Option func(*Host)

// WithLogger sets the logger for events.
func WithLogger(logger *zap.Logger) Option {
	return func(host *Host) {
		host.logger = logger
	}
}

// WithMetrics sets the scope for metrics and the handler that serves them.
func WithMetrics(scope tally.Scope, handler http.Handler) Option {
	return func(host *Host) {
		host.scope = scope
		host.metrics = handler
	}
}

// WithClock replaces the default clock, which includes the time in which the machine is suspended.
func WithClock(clock cherrykeel.Clock) Option {
	return func(host *Host) {
		host.clock = clock
	}
}

// WithDial replaces how direct connections to upstreams are opened, which is a dialer with the timeouts for upstreams. The
// function must return TCP connections.
func WithDial(dial conns.DialFunc) Option {
	return func(host *Host) {
		host.dial = dial
	}
}

// New returns a host that does not run yet.
func New(settings cherrykeel.EntrySettings, platform Platform, options ...Option) *Host {
	host := &Host{
		settings:       settings,
		platform:       platform,
		self:           cherrykeel.Peer{Name: settings.Name, Incarnation: uuid.NewString()[:incarnationLength], InternalAddress: settings.InternalAddress, Zone: settings.Zone, Capacity: settings.Cores},
		clock:          cherrykeel.BootTimeClock(),
		logger:         zap.NewNop(),
		scope:          tally.NoopScope,
		metrics:        http.NotFoundHandler(),
		dial:           conns.NewDialer(dialTimeout, userTimeout).DialContext,
		incarnations:   map[string]string{},
		missingChanges: map[string]*missingChange{},
		shownTunnels:   map[string]bool{},

		upstreamsThrough: -1,
		acceptEnded:      make(chan struct{}),
		mustExit:         make(chan struct{}),
	}
	host.bounds.Store(&settings.Bounds)
	for _, option := range options {
		option(host)
	}
	host.started = host.clock.Now()
	host.assemble()
	return host
}

// Reload applies the settings that may change while the host runs: the platform's bounds. Addresses take effect at the
// next start.
func (host *Host) Reload(settings cherrykeel.EntrySettings) {
	host.bounds.Store(&settings.Bounds)
	events.Log(host.logger, events.SettingsReread, zap.Any("Bounds", settings.Bounds), zap.String("Store", settings.StoreURL))
	// Upstreams that leave, or whose availability zone is evacuated, get nothing any more after a share of a bound.
	host.applyUpstreams()
}

func (host *Host) currentBounds() cherrykeel.Bounds {
	return *host.bounds.Load()
}

// Listen opens the host's listening sockets.
func (host *Host) Listen() error {
	var err error
	host.listener, err = drain.Listen(host.settings.CallerAddress)
	if err != nil {
		return errors.WithStack(err)
	}
	err = host.mesh.Listen()
	if err != nil {
		return err
	}
	err = host.listenForTunnels()
	if err != nil {
		return err
	}
	readiness, err := net.Listen("tcp", host.settings.ReadinessAddress)
	if err != nil {
		return errors.WithStack(err)
	}
	go host.serveQuietly(readiness, http.HandlerFunc(host.answerReadiness))
	if host.settings.MetricsAddress == "" {
		return nil
	}
	metrics, err := net.Listen("tcp", host.settings.MetricsAddress)
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
		zap.String("Host", host.self.Name), zap.String("Life", host.self.Incarnation), zap.String("Zone", host.self.Zone),
		zap.String("Callers", host.settings.CallerAddress), zap.String("Inner", host.self.InternalAddress), zap.Any("Bounds", host.settings.Bounds))
	running, halt := context.WithCancel(context.Background())
	defer halt()
	for _, topic := range host.topics.followers() {
		go topic.Run(running)
	}
	go host.mesh.Run(running)
	go host.keeper.Run(running)
	go host.announceSelf(running)
	go host.maintain(running)
	go host.schedulingDelay.run(running)
	go host.writePendingDenials(running)
	go func() {
		defer close(host.acceptEnded)
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
