package poison

import (
	"cmp"
	"maps"
	"slices"
)

// countsAgainst reports whether the end counts for a caller.
func (end *Crash) countsAgainst(mark CallerFingerprint) bool {
	answered, known := end.Callers[mark]
	return known && !answered
}

// merge takes what another host says of the same end, and reports whether that is news.
func (end *Crash) merge(told Crash) bool {
	news := told.Answered && !end.Answered
	end.Answered = end.Answered || told.Answered
	news = news || told.SeenAt < end.SeenAt || told.SentAt > end.SentAt
	end.SeenAt = min(end.SeenAt, told.SeenAt)
	end.SentAt = max(end.SentAt, told.SentAt)
	for mark, answered := range told.Callers {
		news = end.recordCaller(mark, answered) || news
	}
	return news
}

// recordCaller takes a caller's mark, and reports whether that is news. Of too many the smallest digests are kept, so that all
// hosts keep the same ones in whatever order they hear of them.
func (end *Crash) recordCaller(mark CallerFingerprint, answered bool) bool {
	before, known := end.Callers[mark]
	if known && (before || !answered) {
		return false
	}
	if !known && len(end.Callers) >= maxCallers {
		last := slices.Max(slices.Collect(maps.Keys(end.Callers)))
		if mark > last {
			return false
		}
		delete(end.Callers, last)
	}
	if end.Callers == nil {
		end.Callers = map[CallerFingerprint]bool{}
	}
	end.Callers[mark] = answered
	return true
}

// unansweredByCaller returns the ends that count for each caller that is known.
func (record *Record) unansweredByCaller() map[CallerFingerprint][]Crash {
	standing := map[CallerFingerprint][]Crash{}
	for _, end := range record.Crashes {
		for mark := range end.Callers {
			if end.countsAgainst(mark) {
				standing[mark] = append(standing[mark], end)
			}
		}
	}
	return standing
}

// maxUnanswered is at how many ends the request stands, for all callers or for the one that stands at the most.
func (record *Record) maxUnanswered() int {
	most := len(record.UnansweredCrashes())
	for _, ends := range record.unansweredByCaller() {
		most = max(most, len(ends))
	}
	return most
}

// countIndependent counts the ends that came of one send after another. Copies that were at work together may have ended together
// by something else: when all upstreams lose power, each page that many ask for stands at three ends, and nobody has had
// an answer since. An end whose host has not said when the request was sent counts.
func countIndependent(ends []Crash) int {
	inOrder := slices.SortedFunc(slices.Values(ends), func(one, other Crash) int { return cmp.Compare(one.SeenAt, other.SeenAt) })
	count := 0
	last := int64(0)
	for _, end := range inOrder {
		if end.SentAt == 0 || end.SentAt >= last {
			count++
			last = end.SeenAt
		}
	}
	return count
}

// haveCommonCaller reports whether one caller's request was at work at each of some ends.
func haveCommonCaller(ends []Crash) bool {
	for mark := range ends[0].Callers {
		if !slices.ContainsFunc(ends, func(end Crash) bool { return !end.countsAgainst(mark) }) {
			return true
		}
	}
	return false
}
