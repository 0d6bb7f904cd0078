package cherrykeel

import "time"

// EntrySettings are what one process of an entry host is told at its start.
type EntrySettings struct {
	Name string
	Zone string
	// CallerAddress, Readiness and Inner are IP and port.
	CallerAddress    string
	ReadinessAddress string
	InternalAddress  string
	// MetricsAddress is IP and port, or empty.
	MetricsAddress string
	// MemoryBytes is the size beyond which the process is killed.
	MemoryBytes int64
	// Cores is what the host may use, in cores; 0 if the platform does not say.
	Cores float64
	// MaxDescriptors is how many sockets and files it may have.
	MaxDescriptors int
	Bounds         Bounds
	StoreURL       string
	// Heartbeat is how often upstreams renew their entries.
	Heartbeat time.Duration
}

// Bounds are the times and shares that the platform holds its hosts to.
type Bounds struct {
	// Drain is how long a leaving upstream may still get work.
	Drain time.Duration
	// MaxSettingsDelay is within what accepted settings have to be in force.
	MaxSettingsDelay time.Duration `json:"InForce"`
	// Evacuate is within what the upstreams of an evacuated availability zone have to get nothing more.
	Evacuate time.Duration
	// Grace is the time from the request to stop to the kill.
	Grace time.Duration
	// MaxLeaseDuration is the longest hold that an upstream takes.
	MaxLeaseDuration time.Duration `json:"MaxHold"`
	// RetryRatio is the share of a service's requests that may be sent once more.
	RetryRatio float64
	// RetrySlack is how many more may be, in each RetryWindow.
	RetrySlack  float64
	RetryWindow time.Duration
	// SlowStartFactor and SlowStartSlack bound what a cold upstream may get in any second: that many times the rate which
	// it tolerates, and so many requests more.
	SlowStartFactor float64
	SlowStartSlack  float64
	// StoreRecoveryTime is how long the store has to be well before its silence says anything.
	StoreRecoveryTime time.Duration `json:"Settled"`
}
