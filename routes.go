package cherrykeel

import "time"

// RouteSet is one whole version of the settings by which requests are routed.
type RouteSet struct {
	// Version only grows; a host never goes back to a lower one.
	Version  int64
	Routes   []Route
	Services map[string]RoutedService
	Limits   CallerLimits
}

// Route says where requests of one host name and path prefix go.
type Route struct {
	Name       string
	Domain     string
	PathPrefix string
	// Repeatable says that running a request twice does no harm.
	Repeatable bool
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full worth.
	TargetLatency time.Duration
	// Priority is 0 for the requests that go first.
	Priority int
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// SplitTargets share the route's requests in proportion to their weights.
	SplitTargets []SplitTarget
}

// SplitTarget is one service's share of a route.
type SplitTarget struct {
	Service string
	Weight  float64
}

// RoutedService is what the settings say of one service.
type RoutedService struct {
	Name string
	// Keyed services divide the keys 0 to MaxKey among their upstreams.
	Keyed bool
	// Warmup is how long keys are slow at an upstream that got them without a handover.
	Warmup time.Duration
	// HealthPath is where an upstream tells whether it is well and stays; empty if there is none.
	HealthPath string
	// SlowStart is how long an upstream is cold after its start, and after its availability zone is taken back.
	SlowStart time.Duration
	// SlowStartRate is how many requests a second a cold upstream tolerates; 0 if the settings do not say.
	SlowStartRate float64
	// MaxConnections bounds the connections to one upstream from all hosts together.
	MaxConnections int
}

// CallerLimits bound what a caller may send and how long it may be idle.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Upstream is one life of a server; another start of it has another ID.
type Upstream struct {
	ID string
	// StartedAt is when its process started, in Unix milliseconds on its own clock; 0 if it does not say. An upstream
	// may start again under its ID: ID and StartedAt name one life of it.
	StartedAt int64
	Service   string
	Address   string
	Zone      string
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
	// EvacuateAt is from when on it gets nothing, since its availability zone is evacuated; 0 if it is not.
	EvacuateAt Instant
	// RemainingWarmup is how much longer it was cold when it last said so: slower than usual, and ended by too many requests.
	RemainingWarmup time.Duration
	// ColdUntil is when that is over, by this process's clock; 0 if it was not cold.
	ColdUntil Instant
	// HasColdLimit says that it bears only so many requests a second while it is cold, of which this host may send
	// ColdPart.
	HasColdLimit bool
	ColdQuota    int
}

// IsColdLimited reports whether the upstream is cold at a moment and bears only so many requests a second.
func (upstream *Upstream) IsColdLimited(now Instant) bool {
	return upstream.HasColdLimit && now < upstream.ColdUntil
}
