package spans

// Diff returns the table with only those spans that an earlier table lacks. Sending the difference saves traffic:
// with 111 upstreams a whole table has some 30 KB, and each of 71 hosts would get it with every transfer.
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

// Apply returns the table after a change that Diff returned. The spans of a service are contiguous, so the spans in
// the change replace those that they overlap, and all others stay.
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

// overlay merges two lists of spans in key order. A span of lower that overlaps one of upper is left out.
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
