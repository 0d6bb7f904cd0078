package poison

import "slices"

// denial says for whom a request is refused: for all, or for callers with certain marks.
type denial struct {
	all     bool
	callers map[CallerFingerprint]bool
}

// DenialScope is for how many a request is refused.
type DenialScope struct {
	// AllCallers says that it is refused whoever sends it.
	AllCallers bool
	// CallerCount counts the marks of callers that it is refused to.
	CallerCount int
}

// IsEmpty reports whether the request is refused to nobody.
func (extent DenialScope) IsEmpty() bool {
	return extent == DenialScope{}
}

// IsWiderThan reports whether the request is refused to any that it was not refused to before.
func (extent DenialScope) IsWiderThan(before DenialScope) bool {
	return extent.AllCallers && !before.AllCallers || extent.CallerCount > before.CallerCount
}

func (denial denial) extent() DenialScope {
	return DenialScope{AllCallers: denial.all, CallerCount: len(denial.callers)}
}

func (denial denial) holds(marks []CallerFingerprint) bool {
	return denial.all || slices.ContainsFunc(marks, func(mark CallerFingerprint) bool { return denial.callers[mark] })
}

// judge finds the requests to refuse. All that ran on an upstream ends with it, and on a busy service some request may
// stand beside another at several ends. Of those at an end, only the ones that stand at the most ends are held to
// have caused it. What is refused stays so while it stands at as many ends: it cannot end more, and others can.
func (table *Table) judge() {
	beside := table.beside()
	before := table.refused
	table.refused = map[Fingerprint]denial{}
	for identity, record := range table.records {
		found := record.denied(before[identity], func(end Crash) int { return mostEnds(beside[end.Incarnation], end, identity) })
		if !found.extent().IsEmpty() {
			table.refused[identity] = found
		}
	}
}

// denied says for whom the record's request is to be refused; rivals returns at how many ends another request stands
// that was at work at one. If one caller's request was at work at all of the ends, it is refused to that caller alone:
// others may be served with what they ask for alike.
func (record *Record) denied(before denial, rivals func(end Crash) int) denial {
	found := denial{callers: map[CallerFingerprint]bool{}}
	standing := record.UnansweredCrashes()
	if deadly(standing, before.all, rivals) {
		found.all = !ofOne(standing) && trials(standing) >= deadlyTrials
	}
	for mark, ends := range record.standingOf() {
		// Behind one address may be many callers, whose copies end together as those of all do.
		if deadly(ends, before.callers[mark], rivals) && (mark.shown() || trials(ends) >= deadlyTrials) {
			found.callers[mark] = true
		}
	}
	return found
}

// deadly reports whether enough of some ends are held against what stands at all of them, or were before.
func deadly(ends []Crash, before bool, rivals func(end Crash) int) bool {
	if len(ends) < CrashesToDeny {
		return false
	}
	caused := 0
	for _, end := range ends {
		if len(ends) >= rivals(end) {
			caused++
		}
	}
	return before || caused >= CrashesToDeny
}

// witnessed is an end at which a request stood that stands at so many ends in all.
type witnessed struct {
	identity Fingerprint
	end      Crash
	ends     int
}

// beside returns which requests stood at the ends of each life.
func (table *Table) beside() map[Incarnation][]witnessed {
	beside := map[Incarnation][]witnessed{}
	for identity, record := range table.records {
		strength := record.strength()
		for _, end := range record.Crashes {
			beside[end.Incarnation] = append(beside[end.Incarnation], witnessed{identity: identity, end: end, ends: strength})
		}
	}
	return beside
}

// mostEnds returns at how many ends another request stands that stood at this one.
func mostEnds(all []witnessed, end Crash, but Fingerprint) int {
	most := 0
	for _, other := range all {
		if other.identity != but && other.end.same(end) {
			most = max(most, other.ends)
		}
	}
	return most
}
