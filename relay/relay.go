package relay

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/deny"
	"cherrykeel/flow"
	"cherrykeel/memory"
	"cherrykeel/permit"
	"cherrykeel/poison"
)

// Settings has what a Relay needs from its host.
type Settings struct {
	// Zone is the host's availability zone, Bounds returns the platform's bounds as they are now.
	Zone    string
	Bounds  func() cherrykeel.Bounds
	Clock   cherrykeel.Clock
	Dialect cherrykeel.Dialect
	Pool    *conns.Pool
	Logger  *zap.Logger
	Scope   tally.Scope
	// Owner returns the upstream that owns a key of a service.
	Owner func(service string, key int) flow.Owner
	// OnKeyRequest is called with the key of each request to a keyed service that has one.
	OnKeyRequest func(service string, key int)
	// HostCount returns how many hosts share the retry budget.
	HostCount func() int
	// OnMisdirected is called when an upstream answers that it does not own the request's key.
	OnMisdirected func()
	// OnUpstreamReplaced is called with an upstream at whose address another one answers.
	OnUpstreamReplaced func(upstream cherrykeel.Upstream)
	// OnUpstreamDoubted is called with an upstream at whose address another one may listen, as an answer says that names no
	// request of this host.
	OnUpstreamDoubted func(upstream cherrykeel.Upstream)
	// OnUpstreamLeaving is called with each upstream that states in an answer that it is leaving, and with the ID of the
	// answered request, before the answer is passed on.
	OnUpstreamLeaving func(upstream cherrykeel.Upstream, request string)
	// OnUpstreamLimit is called with what an upstream says of its rate limit in an answer, and with the ID of the answered
	// request.
	OnUpstreamLimit func(upstream permit.Incarnation, heard permit.Statement, request string)
	// AnswerMemory bounds the answers in memory; nil means a limit of 64 MiB.
	AnswerMemory *memory.Limit
	// DenyList has the requests that were running when upstreams crashed; nil means an empty list.
	DenyList *deny.List
}

// Relay serves callers' requests; it is an http.Handler whose requests have whole bodies.
type Relay struct {
	Settings
	dialect cherrykeel.Dialect
	clock   cherrykeel.Clock
	pool    *conns.Pool
	meter   *meter

	mutex       sync.Mutex
	matcher     *matcher
	dispatchers map[string]*dispatcher
	upstreams   []cherrykeel.Upstream
	// processEnd is when the host's process exits, as a cherrykeel.Instant, or 0; endSet is closed once it is set.
	processEnd atomic.Int64
	endSet     chan struct{}
	// queued has a value once a request has begun to wait.
	queued chan struct{}
	// malformedLogLimits bound the log lines on malformed headers, by event.
	malformedLogLimits map[int]*rate.Sometimes
}

// New returns a relay without routes, which refuses all requests.
func New(settings Settings) *Relay {
	if settings.AnswerMemory == nil {
		settings.AnswerMemory = memory.NewLimit(defaultAnswerMemory)
	}
	if settings.OnUpstreamDoubted == nil {
		settings.OnUpstreamDoubted = func(cherrykeel.Upstream) {}
	}
	if settings.OnUpstreamLimit == nil {
		settings.OnUpstreamLimit = func(permit.Incarnation, permit.Statement, string) {}
	}
	if settings.Scope == nil {
		settings.Scope = tally.NoopScope
	}
	if settings.Logger == nil {
		settings.Logger = zap.NewNop()
	}
	if settings.DenyList == nil {
		settings.DenyList = deny.New(deny.Settings{Clock: settings.Clock, Logger: settings.Logger})
	}
	return &Relay{
		Settings:           settings,
		dialect:            settings.Dialect,
		clock:              settings.Clock,
		pool:               settings.Pool,
		meter:              newMeter(settings.Scope),
		dispatchers:        map[string]*dispatcher{},
		queued:             make(chan struct{}, 1),
		endSet:             make(chan struct{}),
		malformedLogLimits: newMalformedLogLimits(),
	}
}

// QueuedSignal returns a channel that gets a value when a request has begun to wait, or a permit is wanted. From then on
// Dispatch must be called periodically until it returns false.
func (relay *Relay) QueuedSignal() <-chan struct{} {
	return relay.queued
}

// signalQueued sends the value of QueuedSignal, unless one is pending.
func (relay *Relay) signalQueued() {
	select {
	case relay.queued <- struct{}{}:
	default:
	}
}

// SetRoutes applies a new version of the routes.
func (relay *Relay) SetRoutes(routes cherrykeel.RouteSet) {
	matcher := newMatcher(routes)
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for name, service := range routes.Services {
		old, known := relay.dispatchers[name]
		if known && old.keyed == service.Keyed {
			continue
		}
		next := newDispatcher(name, service.Keyed, relay.Zone, relay.Owner, relay.Bounds, relay.signalQueued)
		if known {
			next.inheritRests(old)
		}
		relay.dispatchers[name] = next
	}
	relay.matcher = matcher
	relay.assignUpstreams()
}

// SetUpstreams replaces the upstreams that may get requests.
func (relay *Relay) SetUpstreams(upstreams []cherrykeel.Upstream) {
	for _, incarnation := range relay.replaceUpstreams(upstreams) {
		relay.DenyList.RecordIncarnationEnded(incarnation)
	}
}

// replaceUpstreams applies the upstreams and returns the incarnations that have ended.
func (relay *Relay) replaceUpstreams(upstreams []cherrykeel.Upstream) []poison.Incarnation {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	ended := relay.closeEnded(upstreams)
	relay.upstreams = upstreams
	relay.assignUpstreams()
	return ended
}

// closeEnded closes the connections to upstreams that have been restarted, and returns the incarnations that have
// ended; Relay.mutex is held.
func (relay *Relay) closeEnded(next []cherrykeel.Upstream) []poison.Incarnation {
	startedAt := map[string]int64{}
	for _, upstream := range next {
		startedAt[upstream.ID] = upstream.StartedAt
	}
	var ended []poison.Incarnation
	for _, upstream := range relay.upstreams {
		nextStart, listed := startedAt[upstream.ID]
		if !listed || nextStart > upstream.StartedAt {
			ended = append(ended, poison.IncarnationOf(upstream))
		}
		if nextStart > upstream.StartedAt {
			relay.pool.CloseIdle(upstream.Address)
		}
	}
	return ended
}

// assignUpstreams gives each dispatcher the upstreams of its service that are not leaving; Relay.mutex is held.
func (relay *Relay) assignUpstreams() {
	now := relay.clock.Now()
	for name, dispatcher := range relay.dispatchers {
		var assigned []cherrykeel.Upstream
		for _, upstream := range relay.upstreams {
			if upstream.Service == name && !upstream.Leaving {
				assigned = append(assigned, upstream)
			}
		}
		dispatcher.setUpstreams(assigned, now)
	}
}

// RequestCounts are requests at upstreams and waiting, of this host or of all others.
type RequestCounts struct {
	// Running counts requests by upstream, Waiting those that wait by owner, and Queued those that wait by service.
	Running map[string]int
	Waiting map[string]int
	Queued  map[string]int
	// Busy means that a request waits or that some upstream has no free slot.
	Busy bool
}

// NewRequestCounts returns empty counts.
func NewRequestCounts() RequestCounts {
	return RequestCounts{Running: map[string]int{}, Waiting: map[string]int{}, Queued: map[string]int{}}
}

// SetOtherCounts applies the sums over the other hosts.
func (relay *Relay) SetOtherCounts(others RequestCounts) {
	now := relay.clock.Now()
	for _, dispatcher := range relay.allDispatchers() {
		dispatcher.mutex.Lock()
		dispatcher.service.SetRemoteCounts(others.Running, others.Waiting, others.Queued[dispatcher.name], now)
		dispatcher.mutex.Unlock()
	}
}

// OwnCounts returns the counts of this host's requests.
func (relay *Relay) OwnCounts() RequestCounts {
	own := NewRequestCounts()
	for _, dispatcher := range relay.allDispatchers() {
		dispatcher.mutex.Lock()
		for id, count := range dispatcher.service.Running() {
			own.Running[id] = count
		}
		waiting, queued := dispatcher.service.Waiting()
		own.Busy = own.Busy || queued > 0 || dispatcher.service.HasFullUpstream()
		dispatcher.mutex.Unlock()
		for id, count := range waiting {
			own.Waiting[id] = count
		}
		if queued > 0 {
			own.Queued[dispatcher.name] = queued
		}
	}
	return own
}

// Services returns the names of the services of the routes.
func (relay *Relay) Services() []string {
	var names []string
	for _, dispatcher := range relay.allDispatchers() {
		names = append(names, dispatcher.name)
	}
	return names
}

// Dispatch lets waiting requests continue whose upstream or owner has changed, and reports whether some still wait, or
// permits are wanted.
func (relay *Relay) Dispatch() bool {
	now := relay.clock.Now()
	queued := false
	for _, dispatcher := range relay.allDispatchers() {
		queued = dispatcher.dispatch(now) || queued
	}
	return queued
}

// ProcessingTimes returns the mean processing time of a service's requests by upstream, of the upstreams that have
// answered; nil if the service is unknown.
func (relay *Relay) ProcessingTimes(service string) map[string]time.Duration {
	dispatcher := relay.dispatcher(service)
	if dispatcher == nil {
		return nil
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.service.ProcessingTimes()
}

// UpdateRetryMetrics shows what is left of the retry budgets on this host.
func (relay *Relay) UpdateRetryMetrics() {
	now := relay.clock.Now()
	for _, dispatcher := range relay.allDispatchers() {
		relay.meter.showRetryBalance(dispatcher.name, dispatcher.retryUsage(now).balance)
	}
}

func (relay *Relay) allDispatchers() []*dispatcher {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	dispatchers := make([]*dispatcher, 0, len(relay.dispatchers))
	for _, dispatcher := range relay.dispatchers {
		dispatchers = append(dispatchers, dispatcher)
	}
	return dispatchers
}

func (relay *Relay) dispatcher(service string) *dispatcher {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.dispatchers[service]
}

func (relay *Relay) matchRoute(request *http.Request) (*weightedRoute, int64, bool) {
	relay.mutex.Lock()
	matcher := relay.matcher
	relay.mutex.Unlock()
	if matcher == nil {
		return nil, 0, false
	}
	return matcher.findRoute(request.Host, request.URL.Path), matcher.version, true
}
