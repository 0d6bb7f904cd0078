package watch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

const (
	// firstPause and lastPause bound the waits between tries while the store is away. Each call costs
	// also when it is refused; a try each 500 ms finds the store's return well within the 2 s in which
	// a change has to be in force.
	firstPause = 50 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

// Update is what a topic brought.
type Update struct {
	Records []cherrykeel.KeyedRecord
	// Whole says that the records are the newest of all keys there are.
	Whole bool
	// Next is the offset that the next record will get.
	Next int64
}

// Follower reads a topic from its newest records on.
type Follower struct {
	name   string
	log    cherrykeel.KeyedLog
	clock  cherrykeel.Clock
	logger *zap.Logger
	apply  func(update Update)
	wait   time.Duration
	pace   time.Duration
	nudge  chan struct{}

	mutex sync.Mutex
	next  int64
	known bool
	lost  bool
	// wellSince is when the topic was last found to be read again, readAt when it was last read.
	wellSince cherrykeel.Instant
	readAt    cherrykeel.Instant
}

// Option changes a Follower under construction.
type Option func(*Follower)

// WithWait lets each read wait for a record, so that a change is known as soon as it is there.
func WithWait(wait time.Duration) Option {
	return func(follower *Follower) {
		follower.wait = wait
	}
}

// WithPace pauses between reads, so that a topic that changes all the time is read in batches.
func WithPace(pace time.Duration) Option {
	return func(follower *Follower) {
		follower.pace = pace
	}
}

// NewFollower returns a follower of the log that hands on what it reads, in order.
func NewFollower(name string, log cherrykeel.KeyedLog, clock cherrykeel.Clock, logger *zap.Logger, apply func(Update), options ...Option) *Follower {
	follower := &Follower{name: name, log: log, clock: clock, logger: logger, apply: apply, nudge: make(chan struct{}, 1)}
	for _, option := range options {
		option(follower)
	}
	return follower
}

// Run follows until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		err := follower.step(ctx)
		if err == nil {
			pause = firstPause
			follower.sleep(ctx, follower.pace)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		follower.failed(err)
		follower.sleep(ctx, pause)
		pause = min(2*pause, lastPause)
	}
}

// Nudge makes the follower read now instead of after its pace.
func (follower *Follower) Nudge() {
	select {
	case follower.nudge <- struct{}{}:
	default:
	}
}

func (follower *Follower) sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-follower.nudge:
	case <-ctx.Done():
	}
}

func (follower *Follower) step(ctx context.Context) error {
	follower.mutex.Lock()
	next, known := follower.next, follower.known
	follower.mutex.Unlock()
	if !known {
		return follower.readNewest(ctx)
	}
	batch, err := follower.log.Read(ctx, next, follower.wait)
	if errors.Is(err, cherrykeel.ErrForgotten) {
		return follower.readNewest(ctx)
	}
	if err != nil {
		return err
	}
	follower.succeeded(batch.Next)
	if len(batch.Records) > 0 {
		follower.apply(Update{Records: batch.Records, Next: batch.Next})
	}
	return nil
}

func (follower *Follower) readNewest(ctx context.Context) error {
	batch, err := follower.log.Newest(ctx)
	if err != nil {
		return err
	}
	if !follower.succeeded(batch.Next) {
		// An older state than the one known: nothing in it is news, and what it lacks may be there.
		return nil
	}
	follower.apply(Update{Records: batch.Records, Whole: true, Next: batch.Next})
	return nil
}

// succeeded notes a read and reports whether it is not older than the ones before.
func (follower *Follower) succeeded(next int64) bool {
	follower.mutex.Lock()
	now := follower.clock.Now()
	back := follower.lost || !follower.known
	first := !follower.known
	if back {
		follower.wellSince = now
	}
	follower.lost = false
	follower.readAt = now
	forward := !follower.known || next >= follower.next
	follower.known = true
	if forward {
		follower.next = next
	}
	follower.mutex.Unlock()
	if back {
		events.Log(follower.logger, events.TopicBack, zap.String("Topic", follower.name), zap.Int64("Offset", next), zap.Bool("First", first))
	}
	return forward
}

func (follower *Follower) failed(err error) {
	follower.mutex.Lock()
	before := follower.lost
	follower.lost = true
	follower.mutex.Unlock()
	if !before {
		events.Log(follower.logger, events.TopicLost, zap.String("Topic", follower.name), zap.Error(err))
	}
}

// Known reports whether the topic has been read since the start.
func (follower *Follower) Known() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.known
}

// WellFor returns how long the topic has been read without a failure; 0 while it is not.
func (follower *Follower) WellFor() time.Duration {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.lost || !follower.known {
		return 0
	}
	return follower.clock.Now().Sub(follower.wellSince)
}

// Next returns the offset that the next record will get, as far as is known.
func (follower *Follower) Next() int64 {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.next
}
