package deny

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/poison"
)

// aliveWithin is how long after a refused connection an answer of the same incarnation shows that its process had not
// ended. A process that starts again under its ID takes longer, and its answers are taken for the earlier one's until its
// entry is read.
const aliveWithin = time.Second

// recentCrash is a crash that a refused connection has shown. A host that has just lost its link to an upstream is refused
// as well, and so are the hosts that it asks if they have lost theirs at the same moment.
type recentCrash struct {
	fingerprint poison.Fingerprint
	incarnation poison.Incarnation
	requestID   string
	seenAt      cherrykeel.Instant
}

// rememberCrash remembers a crash for as long as an answer may still show that it was none.
func (list *List) rememberCrash(attempt poison.UnansweredAttempt, now cherrykeel.Instant) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.dropOldCrashes(now)
	list.recentCrashes = append(list.recentCrashes, recentCrash{fingerprint: attempt.Fingerprint, incarnation: attempt.Incarnation, requestID: attempt.RequestID, seenAt: now})
	list.hasRecentCrashes.Store(true)
}

// dropOldCrashes forgets crashes that no answer can refute any more; the mutex is held.
func (list *List) dropOldCrashes(now cherrykeel.Instant) {
	kept := list.recentCrashes[:0]
	for _, crash := range list.recentCrashes {
		if now.Sub(crash.seenAt) <= aliveWithin {
			kept = append(kept, crash)
		}
	}
	list.recentCrashes = kept
	list.hasRecentCrashes.Store(len(kept) > 0)
}

// withdrawCrashes withdraws the crashes of an incarnation that has answered a request which was sent after them.
func (list *List) withdrawCrashes(incarnation poison.Incarnation, sentAt cherrykeel.Instant) {
	if !list.hasRecentCrashes.Load() {
		return
	}
	for _, crash := range list.takeRefuted(incarnation, sentAt) {
		list.mutex.Lock()
		before := list.table.DenialScope(crash.fingerprint)
		record, changed := list.table.WithdrawCrash(crash.fingerprint, incarnation)
		list.mutex.Unlock()
		if !changed {
			continue
		}
		events.Log(list.Logger, events.SuspicionWithdrawn,
			zap.String("Request", crash.requestID), zap.Stringer("Identity", crash.fingerprint), zap.String("Upstream", incarnation.Upstream))
		list.announceRecord(record, before)
	}
}

// takeRefuted removes and returns the crashes that an answer to a request sent at a time refutes.
func (list *List) takeRefuted(incarnation poison.Incarnation, sentAt cherrykeel.Instant) []recentCrash {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.dropOldCrashes(list.Clock.Now())
	var refuted, kept []recentCrash
	for _, crash := range list.recentCrashes {
		if crash.incarnation == incarnation && sentAt > crash.seenAt {
			refuted = append(refuted, crash)
			continue
		}
		kept = append(kept, crash)
	}
	list.recentCrashes = kept
	list.hasRecentCrashes.Store(len(kept) > 0)
	return refuted
}
