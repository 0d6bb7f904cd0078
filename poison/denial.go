package poison

import "slices"

// denial holds the callers to which a request is denied: all, or those with certain fingerprints.
type denial struct {
	allCallers bool
	callers    map[CallerFingerprint]bool
}

// DenialScope is the extent to which a request is denied.
type DenialScope struct {
	// AllCallers means that the request is denied to every caller.
	AllCallers bool
	// CallerCount is the number of caller fingerprints to which the request is denied individually.
	CallerCount int
}

// IsEmpty reports whether the request is denied to no caller.
func (denialScope DenialScope) IsEmpty() bool {
	return denialScope == DenialScope{}
}

// IsWiderThan reports whether the request is now denied to all callers and was not before, or to more caller
// fingerprints than before.
func (denialScope DenialScope) IsWiderThan(before DenialScope) bool {
	return denialScope.AllCallers && !before.AllCallers || denialScope.CallerCount > before.CallerCount
}

func (denial denial) scope() DenialScope {
	return DenialScope{AllCallers: denial.allCallers, CallerCount: len(denial.callers)}
}

func (denial denial) appliesTo(callers []CallerFingerprint) bool {
	return denial.allCallers || slices.ContainsFunc(callers, func(caller CallerFingerprint) bool { return denial.callers[caller] })
}

// updateDenials decides anew which requests are denied. A crash ends all requests that the upstream was running, and on
// a busy service an innocent request may be running at several crashes by chance. So a crash is attributed only to those
// of its requests that have the most crashes. A denied request is not compared with others again: it can get no more
// crashes, but others can get more than it has.
func (table *Table) updateDenials() {
	suspects := table.suspectsByIncarnation()
	before := table.denials
	table.denials = map[Fingerprint]denial{}
	for fingerprint, record := range table.records {
		decided := record.decideDenial(before[fingerprint], func(crash Crash) int {
			return maxRivalCrashes(suspects[crash.Incarnation], crash, fingerprint)
		})
		if !decided.scope().IsEmpty() {
			table.denials[fingerprint] = decided
		}
	}
}

// decideDenial returns to whom the record's request is denied. For each crash, rivalCrashes returns the largest number
// of crashes of any other request that was running there. If one caller's copy was running at all of the crashes, the
// request is denied to that caller alone, since the same request may be harmless from other callers.
func (record *Record) decideDenial(before denial, rivalCrashes func(crash Crash) int) denial {
	decided := denial{callers: map[CallerFingerprint]bool{}}
	unanswered := record.UnansweredCrashes()
	if reachesThreshold(unanswered, before.allCallers, rivalCrashes) {
		decided.allCallers = !haveCommonCaller(unanswered) && countIndependent(unanswered) >= independentCrashesToDeny
	}
	for caller, crashes := range record.unansweredByCaller() {
		// Many callers may share one address, and one failure can end their copies together. So the crashes of an
		// address must be independent of each other, as those of all callers must be.
		if reachesThreshold(crashes, before.callers[caller], rivalCrashes) && (caller.isFromCredentials() || countIndependent(crashes) >= independentCrashesToDeny) {
			decided.callers[caller] = true
		}
	}
	return decided
}

// reachesThreshold reports whether at least CrashesToDeny of the crashes are attributed to the request, since no other
// request that was running has more of them. For a request that was denied before, their number alone decides.
func reachesThreshold(crashes []Crash, deniedBefore bool, rivalCrashes func(crash Crash) int) bool {
	if len(crashes) < CrashesToDeny {
		return false
	}
	attributed := 0
	for _, crash := range crashes {
		if len(crashes) >= rivalCrashes(crash) {
			attributed++
		}
	}
	return deniedBefore || attributed >= CrashesToDeny
}

// suspect is a request that was running at a crash, with the number of crashes that count against it in all.
type suspect struct {
	fingerprint Fingerprint
	crash       Crash
	crashCount  int
}

// suspectsByIncarnation returns the requests that were running when each incarnation crashed.
func (table *Table) suspectsByIncarnation() map[Incarnation][]suspect {
	suspects := map[Incarnation][]suspect{}
	for fingerprint, record := range table.records {
		crashCount := record.maxUnanswered()
		for _, crash := range record.Crashes {
			suspects[crash.Incarnation] = append(suspects[crash.Incarnation], suspect{fingerprint: fingerprint, crash: crash, crashCount: crashCount})
		}
	}
	return suspects
}

// maxRivalCrashes returns the largest crash count among the other requests that were running at a crash.
func maxRivalCrashes(suspects []suspect, crash Crash, except Fingerprint) int {
	most := 0
	for _, other := range suspects {
		if other.fingerprint != except && other.crash.isSame(crash) {
			most = max(most, other.crashCount)
		}
	}
	return most
}
