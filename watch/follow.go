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
	// firstPause and lastPause bound the waits between tries while the store is away. Each call costs
	// also when it is refused; a try each 500 ms finds the store's return well within the 2 s in which
	// a change has to be in force.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// nudgePace bounds how often a host reads because another one seems to know more.
	minTriggerInterval = 100 * time.Millisecond
)

// errInterrupted means that a read was given up to be made anew, which says nothing of the store.
var errInterrupted = errors.New("the read was interrupted")

// Schedule says how closely a topic is read.
type Schedule struct {
	// Wait lets a read wait for a record, so that a change is known as soon as it is there.
	Wait time.Duration
	// Interval is the time from one read to the next.
	Interval time.Duration
	// RecheckInterval is how soon another schedule has to be noticed, nudgePace at the least.
	RecheckInterval time.Duration
	// BackoffFactor is by how much the waits between tries are longer while the store is away; at least 1.
	BackoffFactor int
}

// Update is what a topic brought.
type Update struct {
	Records []cherrykeel.KeyedRecord
	// Snapshot says that the records are the newest of all keys there are.
	Snapshot bool
	// Next is the offset that the next record will get.
	Next int64
	// FromPeer says that another host has read the records, and some of them may have been left out.
	FromPeer bool
}

// Follower reads a topic from its newest records on.
type Follower struct {
	name   string
	log    cherrykeel.KeyedLog
	clock  cherrykeel.Clock
	logger *zap.Logger
	apply  func(update Update)
	// schedule tells how closely to read, which changes with the hosts there are.
	schedule func() Schedule
	trigger  chan struct{}

	mutex   sync.Mutex
	next    int64
	hasRead bool
	// applied says that what was read first has been handed on whole.
	snapshotApplied bool
	unavailable     bool
	// interrupt ends the read that waits now.
	interrupt   context.CancelFunc
	triggeredAt cherrykeel.Instant
	// wellSince is when the topic was last found to be read again.
	availableSince cherrykeel.Instant
	// unreadable counts records that could not be read, unreadableAt is the newest one's offset.
	unreadable   int64
	unreadableAt int64
	// currentAt is a time up to which all changes are known from a read of this host's own.
	currentAt cherrykeel.Instant
}

// NewFollower returns a follower of the log that hands on what it reads, in order.
func NewFollower(name string, log cherrykeel.KeyedLog, clock cherrykeel.Clock, logger *zap.Logger, apply func(Update), schedule func() Schedule) *Follower {
	return &Follower{unreadableAt: -1, name: name, log: log, clock: clock, logger: logger, apply: apply, trigger: make(chan struct{}, 1), schedule: schedule}
}

// Run follows until the context ends.
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

// recover waits until the next try. Who has more patience than others is nudged when one of them reports a change.
func (follower *Follower) backOff(ctx context.Context, pause time.Duration) {
	factor := time.Duration(max(1, follower.schedule().BackoffFactor))
	sleepContext(ctx, pause)
	follower.sleepUntilTriggered(ctx, (factor-1)*pause)
}

// rest waits until the next read. Whoever is to read more closely from now on does so at once, since the
// host before may have died.
func (follower *Follower) waitForNextRead(ctx context.Context) {
	begun := follower.clock.Now()
	for ctx.Err() == nil {
		schedule := follower.schedule()
		left := schedule.Interval - follower.clock.Now().Sub(begun)
		if left <= 0 {
			return
		}
		if follower.sleepUntilTriggered(ctx, min(left, max(schedule.RecheckInterval, minTriggerInterval))) {
			sleepContext(ctx, minTriggerInterval-follower.clock.Now().Sub(begun))
			return
		}
	}
}

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

// TriggerRead makes the follower read now, also when it waits for an answer; a waiting read can hang on a
// connection that went silent.
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

// ApplyReceived takes records that another host has read; they count as read if nothing is missing between.
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

// sleep reports whether it was ended by a nudge.
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

func (follower *Follower) readOnce(ctx context.Context) error {
	follower.mutex.Lock()
	next, known := follower.next, follower.hasRead
	follower.mutex.Unlock()
	if !known {
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
		// The store has waited that long before it answered that there is nothing.
		begun = min(begun.Add(wait), follower.clock.Now())
	}
	follower.recordSuccess(batch.Next, begun)
	follower.recordUnreadable(batch.Unreadable)
	if len(batch.Records) > 0 {
		follower.apply(Update{Records: batch.Records, Next: batch.Next})
	}
	return nil
}

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
	batch, err := follower.log.Newest(ctx)
	if err != nil {
		return err
	}
	if !follower.recordSuccess(batch.Next, begun) {
		// An older state than the one known: nothing in it is news, and what it lacks may be there.
		return nil
	}
	follower.recordUnreadable(batch.Unreadable)
	follower.apply(Update{Records: batch.Records, Snapshot: true, Next: batch.Next})
	follower.mutex.Lock()
	follower.snapshotApplied = true
	follower.mutex.Unlock()
	return nil
}
