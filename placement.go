package cherrykeel

// Placement says which upstream owns each partition and each hot key of a service.
type Placement struct {
	// Owners has one upstream name for each partition; empty means none.
	Owners []string
	// Successors names, for each partition, who takes over when its owner is lost.
	Successors []string
	// HotKeys maps keys that are placed alone to their owners.
	HotKeys map[string]string
}

// Candidate is an upstream that a placer may use.
type Candidate struct {
	Name string
	Zone string
}

// Demand is the load that a placer balances.
type Demand struct {
	// Partitions has the load of each partition; empty means that none is known.
	Partitions []float64
	// HotKeys has the load of single keys that stand out.
	HotKeys map[string]float64
}

// Placer decides which upstream owns what; it is pure, so the same input gives the same placement.
type Placer interface {
	// Place returns the next placement, given the last one and a budget of partitions that may move by choice.
	Place(last Placement, partitions int, candidates []Candidate, demand Demand, budget int) Placement
}
