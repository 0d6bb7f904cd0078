package watch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
)

const (
	// initialBackoff and maxBackoff bound the waits between attempts while the store is unavailable. A refused call has
	// its cost too; an attempt each 500 ms notices the store's return well within the 2 s in which a change has to be
	// in force.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// minTriggerInterval limits how often a host reads because another host seems to have newer records.
	minTriggerInterval = 100 * time.Millisecond
)

// errInterrupted means that a waiting read was canceled in order to repeat it; it does not count as a failure of the
// store.
var errInterrupted = errors.New("the read was interrupted")

// Schedule sets how often a topic is read.
type Schedule struct {
	// Wait is how long a read may wait for a record (long polling), so that a change is received as soon as it is
	// stored.
	Wait time.Duration
	// Interval is the time between two reads.
	Interval time.Duration
	// RecheckInterval is how often a follower that waits for its next read asks for the schedule again; at least
	// minTriggerInterval.
	RecheckInterval time.Duration
	// BackoffFactor multiplies the waits between attempts while the store is unavailable; less than 1 counts as 1.
	BackoffFactor int
}

// Update is the result of a read of a topic, or records that were passed to ApplyReceived.
type Update struct {
	// Records holds the records that were read, received or written.
	Records []cherrykeel.KeyedRecord
	// Snapshot means that Records holds the newest record of each key that exists.
	Snapshot bool
	// Next is the offset that the next record will get.
	Next int64
	// Restored means that Records holds what the store had when this host first read it after it came back from a copy. It
	// may lack what was written since the copy, and hold what was changed since; those who wrote it write it again.
	Restored bool
	// FromPeer means that this host has not read the records from the topic: another host has sent them, or this host
	// has written them. Records may be missing between them.
	FromPeer bool
}

// Follower reads a snapshot of a topic and then each record that follows it.
type Follower struct {
	name   string
	log    cherrykeel.KeyedLog
	clock  cherrykeel.Clock
	logger *zap.Logger
	apply  func(update Update)
	// schedule returns how often to read, which changes with the hosts that are available.
	schedule func() Schedule
	trigger  chan struct{}

	mutex   sync.Mutex
	next    int64
	hasRead bool
	// snapshotApplied is set after the first snapshot has been applied.
	snapshotApplied bool
	unavailable     bool
	// interrupt cancels the read that waits for records; nil if none does.
	interrupt   context.CancelFunc
	triggeredAt cherrykeel.Instant
	// availableSince is when the topic last became readable.
	availableSince cherrykeel.Instant
	// unreadable counts the records that could not be decoded, unreadableAt is the offset of the newest one.
	unreadable   int64
	unreadableAt int64
	// restoredAt is when this host found that the store had come back from a copy, or 0; settling is set from then until
	// the topic has been listed again.
	restoredAt cherrykeel.Instant
	settling   bool
	// currentAt is an instant up to which a read of this host has shown all changes.
	currentAt cherrykeel.Instant
}

// NewFollower returns a follower of the log that passes what it reads to apply, in order; name is used in log lines.
func NewFollower(name string, log cherrykeel.KeyedLog, clock cherrykeel.Clock, logger *zap.Logger, apply func(Update), schedule func() Schedule) *Follower {
	return &Follower{unreadableAt: -1, name: name, log: log, clock: clock, logger: logger, apply: apply, trigger: make(chan struct{}, 1), schedule: schedule}
}

// Run follows the topic until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	pause := initialBackoff
	for ctx.Err() == nil {
		err := follower.readOnce(ctx)
		if err == nil {
			pause = initialBackoff
			follower.waitForNextRead(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		follower.recordFailure(err)
		follower.backOff(ctx, pause)
		pause = min(2*pause, maxBackoff)
	}
}

// backOff waits until the next attempt. TriggerRead ends the part of the wait that BackoffFactor adds, so that a host
// with a high factor reads at once when another host reports a change.
func (follower *Follower) backOff(ctx context.Context, pause time.Duration) {
	factor := time.Duration(max(1, follower.schedule().BackoffFactor))
	sleepContext(ctx, pause)
	follower.sleepUntilTriggered(ctx, (factor-1)*pause)
}

// waitForNextRead waits until the next read is due. It rechecks the schedule meanwhile: a host that has to read more
// often from now on reads at once, since the host that has read for it may have crashed.
func (follower *Follower) waitForNextRead(ctx context.Context) {
	begun := follower.clock.Now()
	for ctx.Err() == nil {
		schedule := follower.schedule()
		left := schedule.Interval - follower.clock.Now().Sub(begun)
		if left <= 0 || follower.isSettleDue() {
			return
		}
		if follower.sleepUntilTriggered(ctx, min(left, max(schedule.RecheckInterval, minTriggerInterval))) {
			sleepContext(ctx, minTriggerInterval-follower.clock.Now().Sub(begun))
			return
		}
	}
}

// sleepContext waits until the pause has passed or the context has ended.
func sleepContext(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// TriggerRead makes the follower read now. It also cancels a read that waits for records, which may hang on a
// connection that has gone silent, but not twice within minTriggerInterval.
func (follower *Follower) TriggerRead() {
	follower.mutex.Lock()
	now := follower.clock.Now()
	tooSoon := now.Sub(follower.triggeredAt) < minTriggerInterval
	if !tooSoon {
		follower.triggeredAt = now
	}
	interrupt := follower.interrupt
	follower.mutex.Unlock()
	if interrupt != nil && !tooSoon {
		interrupt()
	}
	select {
	case follower.trigger <- struct{}{}:
	default:
	}
}

// ApplyReceived applies records that another host has sent or that this host has written. They advance the next offset
// only as long as no offset is missing before them.
func (follower *Follower) ApplyReceived(records []cherrykeel.KeyedRecord) {
	follower.mutex.Lock()
	for _, record := range records {
		if follower.hasRead && record.Offset == follower.next {
			follower.next++
		}
	}
	next := follower.next
	follower.mutex.Unlock()
	follower.apply(Update{Records: records, Next: next, FromPeer: true})
}

// sleepUntilTriggered waits for the pause and reports whether TriggerRead ended the wait.
func (follower *Follower) sleepUntilTriggered(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-follower.trigger:
		return true
	case <-ctx.Done():
		return false
	}
}

// readOnce reads the next records, or a snapshot if there was none yet or the next records have expired.
func (follower *Follower) readOnce(ctx context.Context) error {
	follower.mutex.Lock()
	next, known := follower.next, follower.hasRead
	follower.mutex.Unlock()
	if !known || follower.isSettleDue() {
		return follower.readNewest(ctx)
	}
	wait := follower.schedule().Wait
	begun := follower.clock.Now()
	batch, err := follower.read(ctx, next, wait)
	if errors.Is(err, errInterrupted) {
		return nil
	}
	if errors.Is(err, cherrykeel.ErrRecordsExpired) {
		return follower.readNewest(ctx)
	}
	if err != nil {
		return err
	}
	if len(batch.Records) == 0 {
		// The store has waited that long before it answered that there are no records, so that the answer shows all
		// changes up to then.
		begun = min(begun.Add(wait), follower.clock.Now())
	}
	follower.recordSuccess(batch.Next, begun)
	follower.recordUnreadable(batch.Unreadable)
	if len(batch.Records) > 0 {
		follower.apply(Update{Records: batch.Records, Next: batch.Next})
	}
	return nil
}

// read reads from the offset next on; TriggerRead can interrupt it if it waits for records.
func (follower *Follower) read(ctx context.Context, next int64, wait time.Duration) (cherrykeel.KeyedBatch, error) {
	reading, interrupt := context.WithCancel(ctx)
	defer interrupt()
	if wait > 0 {
		follower.setInterrupt(interrupt)
		defer follower.setInterrupt(nil)
	}
	batch, err := follower.log.Read(reading, next, wait)
	if err != nil && reading.Err() != nil && ctx.Err() == nil {
		return cherrykeel.KeyedBatch{}, errInterrupted
	}
	return batch, err
}

func (follower *Follower) setInterrupt(interrupt context.CancelFunc) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.interrupt = interrupt
}

func (follower *Follower) readNewest(ctx context.Context) error {
	begun := follower.clock.Now()
	settled := follower.isSettleDue()
	batch, err := follower.log.Newest(ctx)
	if err != nil {
		return err
	}
	era, _ := follower.Era()
	restored := follower.HasRead() && cherrykeel.EraOf(batch.Next) > era
	if !follower.recordSuccess(batch.Next, begun) {
		// An older state than the one already read: it holds no new record, and a key that it lacks may exist.
		return nil
	}
	follower.recordUnreadable(batch.Unreadable)
	follower.apply(Update{Records: batch.Records, Snapshot: true, Restored: restored, Next: batch.Next})
	follower.mutex.Lock()
	follower.snapshotApplied = true
	follower.settling = follower.settling && (restored || !settled)
	follower.mutex.Unlock()
	return nil
}
