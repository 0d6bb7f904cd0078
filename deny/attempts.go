package deny

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/poison"
)

const (
	// probeDelay gives a process whose connections have started to close the time to end.
	probeDelay = 10 * time.Millisecond
	// probeInterval limits the probes of one address. Upstreams that are full close hundreds of connections a second.
	probeInterval = 500 * time.Millisecond
)

// recordUnanswered records an attempt and probes the upstream's address, unless the attempt was abandoned or its
// connection was reset. Upstreams that are full reset the connections beyond their capacity, and a probe for each would
// use up more of it. The request under which a process crashes has been read by it, so that its connection is closed,
// not reset. Other attempts that were lost there are resolved by the same probe.
func (list *List) recordUnanswered(attempt poison.UnansweredAttempt) {
	list.mutex.Lock()
	list.detector.RecordUnanswered(attempt)
	list.hasPending.Store(true)
	list.mutex.Unlock()
	if !attempt.ConnectionReset && !attempt.Abandoned {
		list.prober.schedule(attempt.Address)
	}
}

// RecordAnswer records that an incarnation of an upstream has answered a request that was sent at the given time.
func (list *List) RecordAnswer(incarnation poison.Incarnation, sentAt cherrykeel.Instant) {
	list.withdrawCrashes(incarnation, sentAt)
	list.resolveAttempts(func(cherrykeel.Instant) []poison.UnansweredAttempt {
		list.detector.RecordAnswer(incarnation, sentAt)
		return nil
	}, "")
}

// RecordRefusedConnection records that a connection to an address was refused, so that no process listens there.
func (list *List) RecordRefusedConnection(address string) {
	list.resolveAttempts(func(now cherrykeel.Instant) []poison.UnansweredAttempt {
		return list.detector.RemoveByAddress(address, now)
	}, ConnectionRefused)
}

// RecordIncarnationEnded records that an incarnation of an upstream has ended.
func (list *List) RecordIncarnationEnded(incarnation poison.Incarnation) {
	list.resolveAttempts(func(now cherrykeel.Instant) []poison.UnansweredAttempt {
		return list.detector.RemoveByIncarnation(incarnation, now)
	}, EntryGone)
}

// resolveAttempts removes resolved attempts from the detector, and records a crash for each of those returned.
func (list *List) resolveAttempts(remove func(now cherrykeel.Instant) []poison.UnansweredAttempt, evidence Evidence) {
	if !list.hasPending.Load() {
		return
	}
	now := list.Clock.Now()
	list.mutex.Lock()
	attempts := remove(now)
	list.hasPending.Store(!list.detector.IsEmpty(now))
	list.mutex.Unlock()
	for _, attempt := range attempts {
		// An upstream that announced its shutdown ends once it has finished its requests, whatever they are.
		if !list.HasAnnouncedShutdown(attempt.Incarnation) {
			list.recordCrash(attempt, evidence, now)
		}
	}
}

// recordCrash records that the request of an attempt was running when its upstream ended.
func (list *List) recordCrash(attempt poison.UnansweredAttempt, evidence Evidence, now cherrykeel.Instant) {
	seenAt := list.unixMillis() - now.Sub(attempt.EndedAt).Milliseconds()
	list.mutex.Lock()
	before := list.table.DenialScope(attempt.Fingerprint)
	record, changed := list.table.RecordCrash(attempt, seenAt)
	if changed {
		list.signalIfWider(attempt.Fingerprint, before)
	} else {
		record, _ = list.table.Find(attempt.Fingerprint)
	}
	list.mutex.Unlock()
	events.Log(list.Logger, events.RequestSuspected,
		zap.String("Request", attempt.RequestID), zap.Stringer("Identity", attempt.Fingerprint),
		zap.Any("Callers", attempt.CallerFingerprints), zap.String("Service", attempt.Service),
		zap.String("Upstream", attempt.Incarnation.Upstream), zap.Int64("Born", attempt.Incarnation.StartedAt),
		zap.String("Evidence", string(evidence)), zap.Duration("After", now.Sub(attempt.EndedAt)), zap.Int("Ends", len(record.UnansweredCrashes())))
	if evidence == ConnectionRefused {
		list.rememberCrash(attempt, now)
	}
	if changed {
		list.announceRecord(record, before)
	}
}

func (list *List) recordSuccess(fingerprint poison.Fingerprint, callers []poison.CallerFingerprint) {
	list.mutex.Lock()
	before := list.table.DenialScope(fingerprint)
	record, changed := list.table.RecordAnswer(fingerprint, callers...)
	list.mutex.Unlock()
	if changed {
		list.announceRecord(record, before)
	}
}

// announceRecord announces a record that changed by this host's own observation, and stores it if it has enough crashes.
func (list *List) announceRecord(record poison.Record, before poison.DenialScope) {
	list.logScopeChange(record, before)
	list.Announce(record)
	if len(record.Crashes) >= list.MinCrashesToStore {
		list.Store(record)
	}
}

// probe checks whether a process listens at an address at which a request was lost. Other requests or missing
// heartbeats would show that too, but on a quiet service only seconds later, and meanwhile the same request could
// crash the next upstream.
func (list *List) probe(address string) {
	list.mutex.Lock()
	hasPending := list.detector.HasPending(address)
	list.mutex.Unlock()
	if hasPending && list.IsConnectionRefused(address) {
		list.RecordRefusedConnection(address)
	}
}
