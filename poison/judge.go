package poison

import "slices"

// denial says for whom a request is refused: for all, or for callers with certain marks.
type denial struct {
	allCallers bool
	callers    map[CallerFingerprint]bool
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

func (denial denial) scope() DenialScope {
	return DenialScope{AllCallers: denial.allCallers, CallerCount: len(denial.callers)}
}

func (denial denial) appliesTo(marks []CallerFingerprint) bool {
	return denial.allCallers || slices.ContainsFunc(marks, func(mark CallerFingerprint) bool { return denial.callers[mark] })
}

// updateDenials finds the requests to refuse. All that ran on an upstream ends with it, and on a busy service some request may
// stand beside another at several ends. Of those at an end, only the ones that stand at the most ends are held to
// have caused it. What is refused stays so while it stands at as many ends: it cannot end more, and others can.
func (table *Table) updateDenials() {
	beside := table.suspectsByIncarnation()
	before := table.denials
	table.denials = map[Fingerprint]denial{}
	for identity, record := range table.records {
		found := record.decideDenial(before[identity], func(end Crash) int { return maxRivalCrashes(beside[end.Incarnation], end, identity) })
		if !found.scope().IsEmpty() {
			table.denials[identity] = found
		}
	}
}

// decideDenial says for whom the record's request is to be refused; rivals returns at how many ends another request stands
// that was at work at one. If one caller's request was at work at all of the ends, it is refused to that caller alone:
// others may be served with what they ask for alike.
func (record *Record) decideDenial(before denial, rivals func(end Crash) int) denial {
	found := denial{callers: map[CallerFingerprint]bool{}}
	standing := record.UnansweredCrashes()
	if reachesThreshold(standing, before.allCallers, rivals) {
		found.allCallers = !haveCommonCaller(standing) && countIndependent(standing) >= independentCrashesToDeny
	}
	for mark, ends := range record.unansweredByCaller() {
		// Behind one address may be many callers, whose copies end together as those of all do.
		if reachesThreshold(ends, before.callers[mark], rivals) && (mark.isFromCredentials() || countIndependent(ends) >= independentCrashesToDeny) {
			found.callers[mark] = true
		}
	}
	return found
}

// reachesThreshold reports whether enough of some ends are held against what stands at all of them, or were before.
func reachesThreshold(ends []Crash, before bool, rivals func(end Crash) int) bool {
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

// suspect is an end at which a request stood that stands at so many ends in all.
type suspect struct {
	fingerprint Fingerprint
	crash       Crash
	crashCount  int
}

// suspectsByIncarnation returns which requests stood at the ends of each life.
func (table *Table) suspectsByIncarnation() map[Incarnation][]suspect {
	beside := map[Incarnation][]suspect{}
	for identity, record := range table.records {
		strength := record.maxUnanswered()
		for _, end := range record.Crashes {
			beside[end.Incarnation] = append(beside[end.Incarnation], suspect{fingerprint: identity, crash: end, crashCount: strength})
		}
	}
	return beside
}

// maxRivalCrashes returns at how many ends another request stands that stood at this one.
func maxRivalCrashes(all []suspect, end Crash, but Fingerprint) int {
	most := 0
	for _, other := range all {
		if other.fingerprint != but && other.crash.isSame(end) {
			most = max(most, other.crashCount)
		}
	}
	return most
}
