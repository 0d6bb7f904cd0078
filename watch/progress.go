package watch

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// recordUnreadable counts and logs records that could not be decoded, each once: every snapshot contains them again.
func (follower *Follower) recordUnreadable(offsets []int64) {
	for _, offset := range offsets {
		follower.mutex.Lock()
		isNew := offset > follower.unreadableAt
		if isNew {
			follower.unreadableAt = offset
			follower.unreadable++
		}
		follower.mutex.Unlock()
		if isNew {
			events.Log(follower.logger, events.RecordInvalid, zap.String("Topic", follower.name), zap.Int64("Offset", offset))
		}
	}
}

// UnreadableCount returns how many records of the topic could not be decoded.
func (follower *Follower) UnreadableCount() int64 {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.unreadable
}

// recordSuccess records a read that shows all changes up to the instant current, and reports whether its state is not
// older than the ones read before.
func (follower *Follower) recordSuccess(next int64, current cherrykeel.Instant) bool {
	follower.mutex.Lock()
	now := follower.clock.Now()
	first := !follower.hasRead
	before := follower.next
	restored := !first && cherrykeel.EraOf(next) > cherrykeel.EraOf(before)
	recovered := follower.unavailable || first || restored
	if recovered {
		follower.availableSince = now
	}
	follower.unavailable = false
	forward := !follower.hasRead || next >= follower.next
	follower.hasRead = true
	if forward {
		follower.next = next
		follower.currentAt = max(follower.currentAt, current)
	}
	if restored {
		follower.restoredAt = now
		follower.settling = true
	}
	follower.mutex.Unlock()
	if restored {
		events.Log(follower.logger, events.StoreRestored, zap.String("Topic", follower.name),
			zap.Int64("Era", cherrykeel.EraOf(next)), zap.Int64("Before", cherrykeel.EraOf(before)),
			zap.Int64("End", cherrykeel.OffsetOf(next)), zap.Int64("KnownEnd", cherrykeel.OffsetOf(before)))
	}
	if recovered {
		events.Log(follower.logger, events.TopicAvailable, zap.String("Topic", follower.name), zap.Int64("Offset", next), zap.Bool("First", first))
	}
	return forward
}

func (follower *Follower) recordFailure(err error) {
	follower.mutex.Lock()
	wasUnavailable := follower.unavailable
	follower.unavailable = true
	follower.mutex.Unlock()
	if !wasUnavailable {
		events.Log(follower.logger, events.TopicUnavailable, zap.String("Topic", follower.name), zap.Error(err))
	}
}

// Age returns the age of the newest state that this host has read itself; false if it has read none.
func (follower *Follower) Age() (time.Duration, bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if !follower.hasRead {
		return 0, false
	}
	return follower.clock.Now().Sub(follower.currentAt), true
}

// HasRead reports whether the topic has been read since the start.
func (follower *Follower) HasRead() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.hasRead
}

// HasAppliedSnapshot reports whether the first snapshot has been applied. With many records that takes a while after
// they have been read, and a host that counted as ready in that time refused all callers.
func (follower *Follower) HasAppliedSnapshot() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.snapshotApplied
}

// AvailableFor returns how long the topic has been read without a failure; 0 if the last read failed.
func (follower *Follower) AvailableFor() time.Duration {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.unavailable || !follower.hasRead {
		return 0
	}
	return follower.clock.Now().Sub(follower.availableSince)
}

// IsUnavailable reports whether the last read failed.
func (follower *Follower) IsUnavailable() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.unavailable
}

// Era returns the era of the newest state that this host has read, and whether that is the first one that it has read.
func (follower *Follower) Era() (era int64, isFirst bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return cherrykeel.EraOf(follower.next), follower.restoredAt == 0
}

// isSettleDue reports whether the topic has to be listed again since all who write to it have had time to write again
// what a copy lacks.
func (follower *Follower) isSettleDue() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.settling && follower.clock.Now().Sub(follower.restoredAt) >= ReregistrationTime
}

// NextOffset returns the offset that the next record will get, as far as this host knows.
func (follower *Follower) NextOffset() int64 {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.next
}
