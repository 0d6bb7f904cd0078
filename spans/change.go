package spans

// Diff returns the table with only those spans that the one before does not have. With 111 upstreams the
// whole table is some 30 KB, which each of 71 hosts got with each move.
func (table Table) Diff(before Table) Table {
	change := table
	change.Services = map[string][]Owned{}
	for service, list := range table.Services {
		existing := map[Owned]bool{}
		for _, owned := range before.Services[service] {
			existing[owned] = true
		}
		for _, owned := range list {
			if !existing[owned] {
				change.Services[service] = append(change.Services[service], owned)
			}
		}
	}
	return change
}

// Apply returns the table that a change leads to. The spans of a table have no gaps, so whatever the
// change overlaps is replaced by it, and all else stays.
func (table Table) Apply(change Table) Table {
	changed := change
	changed.Services = map[string][]Owned{}
	for service, list := range table.Services {
		changed.Services[service] = overlay(list, change.Services[service])
	}
	for service, list := range change.Services {
		_, exists := table.Services[service]
		if !exists {
			changed.Services[service] = append([]Owned(nil), list...)
		}
	}
	return changed
}

// overlay merges two lists in order of their keys; where they overlap the upper one counts.
func overlay(lower, upper []Owned) []Owned {
	merged := make([]Owned, 0, len(lower)+len(upper))
	next := 0
	for _, owned := range lower {
		for next < len(upper) && upper[next].Last < owned.First {
			merged = append(merged, upper[next])
			next++
		}
		if next < len(upper) && upper[next].First <= owned.Last {
			continue
		}
		merged = append(merged, owned)
	}
	return append(merged, upper[next:]...)
}
