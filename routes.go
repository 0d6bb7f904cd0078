package cherrykeel

import "time"

// RouteSet is one complete version of the routing settings.
type RouteSet struct {
	// Version only increases; a host never returns to a lower one.
	Version  int64
	Routes   []Route
	Services map[string]RoutedService
	Limits   CallerLimits
}

// Route holds the settings for requests with one host name and path prefix.
type Route struct {
	Name       string
	Domain     string
	PathPrefix string
	// Repeatable is true if running a request twice is harmless.
	Repeatable bool
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is of full value to the caller.
	TargetLatency time.Duration
	// Priority orders waiting requests; 0 is served first.
	Priority int
	// MaxAttempts bounds the upstreams to which one request is sent.
	MaxAttempts int
	// SplitTargets receive the route's requests in proportion to their weights.
	SplitTargets []SplitTarget
}

// SplitTarget is a service that receives a weighted part of a route's requests.
type SplitTarget struct {
	Service string
	Weight  float64
}

// RoutedService holds the settings of one service.
type RoutedService struct {
	Name string
	// Keyed services divide the keys 0 to MaxKey among their upstreams.
	Keyed bool
	// Warmup is the time for which requests for keys are slow at an upstream that was granted them without a handover.
	Warmup time.Duration
	// HealthPath is the path at which an upstream reports its health and whether it is leaving; empty if there is none.
	HealthPath string
	// SlowStart is the time for which an upstream is cold after its start, and after the evacuation of its
	// availability zone has ended.
	SlowStart time.Duration
	// SlowStartRate is the number of requests a second that a cold upstream tolerates; 0 if the settings don't give it.
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

// Upstream is one incarnation of a back-end server.
type Upstream struct {
	ID string
	// StartedAt is the start of the process, in Unix milliseconds on the upstream's clock; 0 if it is unknown. An
	// upstream may start again under its ID, so ID and StartedAt together name one incarnation.
	StartedAt int64
	Service   string
	Address   string
	Zone      string
	// Slots is the number of requests that the upstream processes at once.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
	// EvacuateAt is the time from which the upstream gets no requests because its availability zone is evacuated; 0 if
	// the zone is not evacuated.
	EvacuateAt Instant
	// LeaveAt is the time from which the upstream gets no requests because it has stated in an answer that it is leaving;
	// 0 if it has not.
	LeaveAt Instant
	// RemainingWarmup is the remaining cold time that the upstream last reported. A cold upstream is slower than usual,
	// and too many requests make it crash.
	RemainingWarmup time.Duration
	// ColdUntil is the end of the cold time on this process's clock; 0 if the upstream was not cold.
	ColdUntil Instant
	// HasColdLimit is true if the upstream tolerates a limited rate of requests while it is cold. This host's share of
	// that rate is ColdQuota, in requests a second.
	HasColdLimit bool
	ColdQuota    int
	// HasRateLimit is true if the upstream names a limit in its answers: it takes RateLimit requests a second from all
	// hosts together, and each one needs a permit. RateLimitSince is when this host learned of it.
	HasRateLimit   bool
	RateLimit      float64
	RateLimitSince Instant
}

// IsClosing reports whether the upstream gets no requests from some time on, which may have passed.
func (upstream *Upstream) IsClosing() bool {
	return upstream.EvacuateAt != 0 || upstream.LeaveAt != 0
}

// IsEvacuated reports whether the upstream gets no requests at a time because its availability zone is evacuated.
func (upstream *Upstream) IsEvacuated(now Instant) bool {
	return upstream.EvacuateAt != 0 && now >= upstream.EvacuateAt
}

// HasLeft reports whether the upstream gets no requests at a time because it has stated that it is leaving.
func (upstream *Upstream) HasLeft(now Instant) bool {
	return upstream.LeaveAt != 0 && now >= upstream.LeaveAt
}

// IsColdLimited reports whether the upstream is cold at a time and its rate of requests is limited.
func (upstream *Upstream) IsColdLimited(now Instant) bool {
	return upstream.HasColdLimit && now < upstream.ColdUntil
}
