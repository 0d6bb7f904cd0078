package cherrykeel

// Choice is an upstream among which a Picker chooses.
type Choice struct {
	Name string
	Zone string
	// InFlight counts this host's own requests on the upstream.
	InFlight int
	// Limit is how many this host may have there at once.
	Limit int
	// ReportedLoad is the upstream's last word on its load; it lags and may lie.
	ReportedLoad float64
	// Weight goes from 0 for an upstream that has just joined to 1.
	Weight float64
}

// Picker chooses an upstream for a request that any of them may serve.
type Picker interface {
	// Pick returns the index of the choice, or -1 if none has room; random is uniform in [0, 1).
	Pick(zone string, choices []Choice, random float64) int
}
