package cherrykeel

// Placement assigns each partition and each hot key of a service to an upstream.
type Placement struct {
	// Owners has one upstream name for each partition; an empty name means that it has no owner.
	Owners []string
	// Successors has, for each partition, the upstream that takes over when the owner fails.
	Successors []string
	// HotKeys maps keys that are placed independently of their partitions to their owners.
	HotKeys map[string]string
}

// Candidate is an upstream that a placer may use.
type Candidate struct {
	Name string
	Zone string
}

// Demand is the load that a placer balances.
type Demand struct {
	// Partitions has the load of each partition; it is empty if no load is known.
	Partitions []float64
	// HotKeys has the load of single keys whose load is high.
	HotKeys map[string]float64
}

// Placer computes placements; it is a pure function, so the same input gives the same placement.
type Placer interface {
	// Place returns the next placement, given the last one and a maximum of partitions that may move for balance.
	Place(last Placement, partitions int, candidates []Candidate, demand Demand, budget int) Placement
}
