package cherrykeel

import "time"

// EntrySettings are the settings that a process of an entry host gets at its start.
type EntrySettings struct {
	Name string
	Zone string
	// CallerAddress, ReadinessAddress and InternalAddress are the addresses to listen on, as IP and port.
	CallerAddress    string
	ReadinessAddress string
	InternalAddress  string
	// MetricsAddress is IP and port, or empty.
	MetricsAddress string
	// MemoryBytes is the size beyond which the platform kills the process.
	MemoryBytes int64
	// Cores is the processor time that the host may use, in cores; 0 if the platform doesn't give it.
	Cores float64
	// MaxDescriptors is the maximum of open sockets and files.
	MaxDescriptors int
	Bounds         Bounds
	StoreURL       string
	// Heartbeat is the interval at which upstreams renew their entries in the store.
	Heartbeat time.Duration
}

// Bounds are the limits that the platform sets for its hosts.
type Bounds struct {
	// Drain is the time for which a leaving upstream may still get requests.
	Drain time.Duration
	// MaxSettingsDelay is the time within which accepted settings must be in force.
	MaxSettingsDelay time.Duration `json:"InForce"`
	// Evacuate is the time within which requests to the upstreams of an evacuated availability zone must cease.
	Evacuate time.Duration
	// Grace is the time from the platform's request to stop until it kills the process.
	Grace time.Duration
	// MaxLeaseDuration is the longest lease that an upstream accepts.
	MaxLeaseDuration time.Duration `json:"MaxHold"`
	// RetryRatio is the share of a service's requests that may be sent again.
	RetryRatio float64
	// RetrySlack is the number of further retries that are allowed in each RetryWindow.
	RetrySlack  float64
	RetryWindow time.Duration
	// SlowStartFactor and SlowStartSlack bound the requests that a cold upstream may get in any second: SlowStartFactor
	// times the rate that it tolerates, plus SlowStartSlack.
	SlowStartFactor float64
	SlowStartSlack  float64
	// StoreRecoveryTime is the time for which the store must have been available before a missing record means anything.
	StoreRecoveryTime time.Duration `json:"Settled"`
}
