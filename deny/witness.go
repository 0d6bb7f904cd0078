package deny

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/poison"
)

const (
	// probeAfter lets an upstream's process end whose connections have begun to.
	probeAfter = 10 * time.Millisecond
	// probeEvery bounds the probes of one address; upstreams that are full end hundreds of connections a second.
	probeEvery = 500 * time.Millisecond
)

// broke has the address asked unless the connection was reset. Upstreams that are full reset what is beyond their
// room, and a probe for each takes more of it; the request under which a process ends has been read, so that its
// connection is closed. What else was lost there waits for the answer too.
func (list *List) broke(found poison.UnansweredAttempt) {
	list.mutex.Lock()
	list.witness.RecordUnanswered(found)
	list.broken.Store(true)
	list.mutex.Unlock()
	if !found.ConnectionReset && !found.Abandoned {
		list.probes.soon(found.Address)
	}
}

// RecordAnswer takes it that an upstream's life has answered a request that was sent at the given time.
func (list *List) RecordAnswer(life poison.Incarnation, sent cherrykeel.Instant) {
	list.resolve(func(cherrykeel.Instant) []poison.UnansweredAttempt {
		list.witness.RecordAnswer(life, sent)
		return nil
	}, "")
}

// RecordRefusedConnection takes it that a connection to an address was refused.
func (list *List) RecordRefusedConnection(address string) {
	list.resolve(func(now cherrykeel.Instant) []poison.UnansweredAttempt {
		return list.witness.RemoveByAddress(address, now)
	}, ConnectionRefused)
}

// RecordIncarnationEnded takes it that an upstream's life is over.
func (list *List) RecordIncarnationEnded(life poison.Incarnation) {
	list.resolve(func(now cherrykeel.Instant) []poison.UnansweredAttempt {
		return list.witness.RemoveByIncarnation(life, now)
	}, EntryGone)
}

// resolve takes the breaks that the witness knows the reason of now.
func (list *List) resolve(known func(now cherrykeel.Instant) []poison.UnansweredAttempt, evidence Evidence) {
	if !list.broken.Load() {
		return
	}
	now := list.Clock.Now()
	list.mutex.Lock()
	breaks := known(now)
	list.broken.Store(!list.witness.IsEmpty(now))
	list.mutex.Unlock()
	for _, found := range breaks {
		// Who has said that it leaves ends when its work is done, whatever that was.
		if !list.HasAnnouncedShutdown(found.Incarnation) {
			list.atEnd(found, evidence, now)
		}
	}
}

// atEnd takes a request that was at work when its upstream ended.
func (list *List) atEnd(found poison.UnansweredAttempt, evidence Evidence, now cherrykeel.Instant) {
	seen := list.now() - now.Sub(found.EndedAt).Milliseconds()
	list.mutex.Lock()
	before := list.table.DenialScope(found.Fingerprint)
	record, news := list.table.RecordCrash(found, seen)
	if news {
		list.changedOne(found.Fingerprint, before)
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
		list.spread(record, before)
	}
}

func (list *List) served(identity poison.Fingerprint, marks []poison.CallerFingerprint) {
	list.mutex.Lock()
	before := list.table.DenialScope(identity)
	record, news := list.table.RecordAnswer(identity, marks...)
	list.mutex.Unlock()
	if news {
		list.spread(record, before)
	}
}

// spread tells of what this host has seen itself.
func (list *List) spread(record poison.Record, before poison.DenialScope) {
	list.logChange(record, before)
	list.Announce(record)
	if len(record.Crashes) >= list.MinCrashesToStore {
		list.Store(record)
	}
}

// ask looks whether a process listens at an address at which a request was lost. Other requests, and the heartbeats'
// lapse, would tell later: on a quiet service by seconds, in which the same request ends the next upstream.
func (list *List) ask(address string) {
	list.mutex.Lock()
	waits := list.witness.HasPending(address)
	list.mutex.Unlock()
	if waits && list.IsConnectionRefused(address) {
		list.RecordRefusedConnection(address)
	}
}
