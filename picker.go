package cherrykeel

// Choice is one of the upstreams from which a Picker chooses.
type Choice struct {
	Name string
	Zone string
	// InFlight is the number of this host's requests that run on the upstream.
	InFlight int
	// Limit is the maximum of InFlight.
	Limit int
	// ReportedLoad is the load that the upstream last reported; it may be out of date or wrong.
	ReportedLoad float64
	// Weight is the share of its usual load that the upstream should get, from 0 just after it has joined to 1.
	Weight float64
}

// Picker chooses an upstream for a request that any of several upstreams may serve.
type Picker interface {
	// Pick returns the index of the chosen upstream, or -1 if all are at their limits; random is uniform in [0, 1).
	Pick(zone string, choices []Choice, random float64) int
}
