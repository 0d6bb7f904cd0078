package poison

import (
	"cmp"
	"maps"
	"slices"
)

// countsAgainst reports whether the crash counts against a caller: its copy was running, and it has had no successful
// answer since.
func (crash *Crash) countsAgainst(caller CallerFingerprint) bool {
	answered, known := crash.Callers[caller]
	return known && !answered
}

// merge merges what another host reports of the same crash, and reports whether that changed anything.
func (crash *Crash) merge(received Crash) bool {
	changed := received.Answered && !crash.Answered
	crash.Answered = crash.Answered || received.Answered
	changed = changed || received.SeenAt < crash.SeenAt || received.SentAt > crash.SentAt
	crash.SeenAt = min(crash.SeenAt, received.SeenAt)
	crash.SentAt = max(crash.SentAt, received.SentAt)
	for caller, answered := range received.Callers {
		changed = crash.recordCaller(caller, answered) || changed
	}
	return changed
}

// recordCaller records a caller whose copy was running, and reports whether that changed anything. Above maxCallers
// the smallest fingerprints are kept, so that all hosts keep the same ones in whatever order they receive them.
func (crash *Crash) recordCaller(caller CallerFingerprint, answered bool) bool {
	before, known := crash.Callers[caller]
	if known && (before || !answered) {
		return false
	}
	if !known && len(crash.Callers) >= maxCallers {
		largest := slices.Max(slices.Collect(maps.Keys(crash.Callers)))
		if caller > largest {
			return false
		}
		delete(crash.Callers, largest)
	}
	if crash.Callers == nil {
		crash.Callers = map[CallerFingerprint]bool{}
	}
	crash.Callers[caller] = answered
	return true
}

// unansweredByCaller returns, for each recorded caller, the crashes that count against it.
func (record *Record) unansweredByCaller() map[CallerFingerprint][]Crash {
	unanswered := map[CallerFingerprint][]Crash{}
	for _, crash := range record.Crashes {
		for caller := range crash.Callers {
			if crash.countsAgainst(caller) {
				unanswered[caller] = append(unanswered[caller], crash)
			}
		}
	}
	return unanswered
}

// maxUnanswered returns the number of crashes that count against all callers, or against the caller with the most of
// them if that is more.
func (record *Record) maxUnanswered() int {
	most := len(record.UnansweredCrashes())
	for _, crashes := range record.unansweredByCaller() {
		most = max(most, len(crashes))
	}
	return most
}

// countIndependent counts the crashes whose request was sent after the crash counted before it. Copies that were
// running at the same time may have ended together by another cause: after a power failure of all upstreams, each page
// that many callers request has three crashes, and no upstream has answered it since. A crash without a send time
// counts.
func countIndependent(crashes []Crash) int {
	inOrder := slices.SortedFunc(slices.Values(crashes), func(one, other Crash) int { return cmp.Compare(one.SeenAt, other.SeenAt) })
	count := 0
	last := int64(0)
	for _, crash := range inOrder {
		if crash.SentAt == 0 || crash.SentAt >= last {
			count++
			last = crash.SeenAt
		}
	}
	return count
}

// haveCommonCaller reports whether there is a caller against which each of the crashes counts.
func haveCommonCaller(crashes []Crash) bool {
	for caller := range crashes[0].Callers {
		if !slices.ContainsFunc(crashes, func(crash Crash) bool { return !crash.countsAgainst(caller) }) {
			return true
		}
	}
	return false
}
