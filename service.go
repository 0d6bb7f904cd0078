package cherrykeel

import "time"

// Idempotency selects the requests of a service that may run twice without harm.
type Idempotency string

// The values of the setting Idempotent.
const (
	IdempotentByMethod Idempotency = "method"
	IdempotentAlways   Idempotency = "always"
	IdempotentNever    Idempotency = "never"
)

// RepeatGuard selects the protection of a service against requests that repeat an Idempotency-Key.
type RepeatGuard string

// The values of the setting RepeatGuard.
const (
	// RepeatGuardNone only passes the caller's key on to the upstream.
	RepeatGuardNone RepeatGuard = "none"
	// RepeatGuardLog records the request in the platform's log before it is sent.
	RepeatGuardLog RepeatGuard = "log"
)

// UpstreamServer is one upstream in a service's settings.
type UpstreamServer struct {
	Name string
	// Address is an IP and a port.
	Address string
	Zone    string
}

// Service holds the settings in force for one service, after inheritance.
type Service struct {
	// Path is "team/service".
	Path    string
	Version int64

	Domains       []string
	PathPrefix    string
	Keyed         bool
	KeyFrom       string
	Partitions    int
	Upstreams     []UpstreamServer
	Drain         []string
	Slots         int
	Connections   int
	Timeout       time.Duration
	Priority      int
	Idempotent    Idempotency
	RepeatGuard   RepeatGuard
	RetryShare    float64
	QueueLength   int
	MaxBodyBytes  int
	ChecksFences  bool
	LeaseLength   time.Duration
	DrainTimeout  time.Duration
	RequireAnswer bool
}
