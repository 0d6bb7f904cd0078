package deny

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/poison"
)

const (
	// probeDelay lets an upstream's process end whose connections have begun to.
	probeDelay = 10 * time.Millisecond
	// probeInterval bounds the probes of one address; upstreams that are full end hundreds of connections a second.
	probeInterval = 500 * time.Millisecond
)

// recordUnanswered has the address asked unless the connection was reset. Upstreams that are full reset what is beyond their
// room, and a probe for each takes more of it; the request under which a process ends has been read, so that its
// connection is closed. What else was lost there waits for the answer too.
func (list *List) recordUnanswered(found poison.UnansweredAttempt) {
	list.mutex.Lock()
	list.detector.RecordUnanswered(found)
	list.hasPending.Store(true)
	list.mutex.Unlock()
	if !found.ConnectionReset && !found.Abandoned {
		list.prober.schedule(found.Address)
	}
}

// RecordAnswer takes it that an upstream's life has answered a request that was sent at the given time.
func (list *List) RecordAnswer(life poison.Incarnation, sent cherrykeel.Instant) {
	list.resolveAttempts(func(cherrykeel.Instant) []poison.UnansweredAttempt {
		list.detector.RecordAnswer(life, sent)
		return nil
	}, "")
}

// RecordRefusedConnection takes it that a connection to an address was refused.
func (list *List) RecordRefusedConnection(address string) {
	list.resolveAttempts(func(now cherrykeel.Instant) []poison.UnansweredAttempt {
		return list.detector.RemoveByAddress(address, now)
	}, ConnectionRefused)
}

// RecordIncarnationEnded takes it that an upstream's life is over.
func (list *List) RecordIncarnationEnded(life poison.Incarnation) {
	list.resolveAttempts(func(now cherrykeel.Instant) []poison.UnansweredAttempt {
		return list.detector.RemoveByIncarnation(life, now)
	}, EntryGone)
}

// resolveAttempts takes the breaks that the witness knows the reason of now.
func (list *List) resolveAttempts(known func(now cherrykeel.Instant) []poison.UnansweredAttempt, evidence Evidence) {
	if !list.hasPending.Load() {
		return
	}
	now := list.Clock.Now()
	list.mutex.Lock()
	breaks := known(now)
	list.hasPending.Store(!list.detector.IsEmpty(now))
	list.mutex.Unlock()
	for _, found := range breaks {
		// Who has said that it leaves ends when its work is done, whatever that was.
		if !list.HasAnnouncedShutdown(found.Incarnation) {
			list.recordCrash(found, evidence, now)
		}
	}
}

// recordCrash takes a request that was at work when its upstream ended.
func (list *List) recordCrash(found poison.UnansweredAttempt, evidence Evidence, now cherrykeel.Instant) {
	seen := list.unixMillis() - now.Sub(found.EndedAt).Milliseconds()
	list.mutex.Lock()
	before := list.table.DenialScope(found.Fingerprint)
	record, news := list.table.RecordCrash(found, seen)
	if news {
		list.signalIfWider(found.Fingerprint, before)
	} else {
		record, _ = list.table.Find(found.Fingerprint)
	}
	list.mutex.Unlock()
	events.Log(list.Logger, events.RequestSuspected,
		zap.String("Request", found.RequestID), zap.Stringer("Identity", found.Fingerprint),
		zap.Any("Callers", found.CallerFingerprints), zap.String("Service", found.Service),
		zap.String("Upstream", found.Incarnation.Upstream), zap.Int64("Born", found.Incarnation.StartedAt),
		zap.String("Evidence", string(evidence)), zap.Duration("After", now.Sub(found.EndedAt)), zap.Int("Ends", len(record.UnansweredCrashes())))
	if news {
		list.announceRecord(record, before)
	}
}

func (list *List) recordSuccess(identity poison.Fingerprint, marks []poison.CallerFingerprint) {
	list.mutex.Lock()
	before := list.table.DenialScope(identity)
	record, news := list.table.RecordAnswer(identity, marks...)
	list.mutex.Unlock()
	if news {
		list.announceRecord(record, before)
	}
}

// announceRecord tells of what this host has seen itself.
func (list *List) announceRecord(record poison.Record, before poison.DenialScope) {
	list.logScopeChange(record, before)
	list.Announce(record)
	if len(record.Crashes) >= list.MinCrashesToStore {
		list.Store(record)
	}
}

// probe looks whether a process listens at an address at which a request was lost. Other requests, and the heartbeats'
// lapse, would tell later: on a quiet service by seconds, in which the same request ends the next upstream.
func (list *List) probe(address string) {
	list.mutex.Lock()
	waits := list.detector.HasPending(address)
	list.mutex.Unlock()
	if waits && list.IsConnectionRefused(address) {
		list.RecordRefusedConnection(address)
	}
}
