package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/fold"
)

var (
	// ErrOutcomeUnknown means that a proposed record was not read back in time; it may still take effect.
	ErrOutcomeUnknown = errors.New("the outcome of the append is not known")
	// ErrLogTruncated means that the log's retention has overtaken this host and holds no checkpoint to start from.
	ErrLogTruncated = errors.New("the log no longer holds what this host has not read, nor a checkpoint")
)

const (
	retryPause        = 100 * time.Millisecond
	outageAfter       = 1500 * time.Millisecond
	recentRecords     = 1024
	maxRecentVerdicts = 4096
)

// Peers lets a follower read from other hosts what it cannot read from the log.
type Peers interface {
	// Fetch asks peers for the records from an offset on; it needs answers from enough
	// of them to be sure that the newest is among them if quorum is set.
	Fetch(ctx context.Context, from int64, quorum bool) (MissingRecords, error)
}

// MissingRecords is what a peer gives to a host that is cut off from the log.
type MissingRecords struct {
	// Checkpoint is set when the peer does not keep the records any more.
	Checkpoint *fold.Checkpoint
	Records    []cherrykeel.LogRecord
	Next       int64
}

// Status says how well a follower is in step.
type Status struct {
	Next  int64
	Chain uint64
	// CaughtUp says that the state has been shown to be the newest once since the start.
	CaughtUp bool
	// LogUp says that the last read of the log succeeded.
	LogUp bool
	// SinceLogReply is how long ago the log last answered.
	SinceLogReply time.Duration
	// Reason says why the follower is not caught up.
	Reason string
}

// Follower holds the newest state and proposes records.
type Follower struct {
	log          cherrykeel.Log
	peers        Peers
	clock        cherrykeel.Clock
	onState      func(state *fold.State)
	onCaughtUp   func(readStart cherrykeel.Instant)
	state        atomic.Pointer[fold.State]
	mutex        sync.Mutex
	status       Status
	repliedAt    cherrykeel.Instant
	recent       []cherrykeel.LogRecord
	chains       map[int64]uint64
	waiters      map[string]chan fold.Verdict
	verdicts     map[string]fold.Verdict
	verdictOrder []string
}

// Option changes a Follower under construction.
type Option func(*Follower)

// WithPeers sets whom to ask while the log is out.
func WithPeers(peers Peers) Option {
	return func(follower *Follower) {
		follower.peers = peers
	}
}

// OnState sets what is called, in order, with each new state; the state must not be changed.
func OnState(notify func(state *fold.State)) Option {
	return func(follower *Follower) {
		follower.onState = notify
	}
}

// OnCaughtUp sets what is called when a read of the log, begun at an instant, showed that nothing is missing.
func OnCaughtUp(notify func(readStart cherrykeel.Instant)) Option {
	return func(follower *Follower) {
		follower.onCaughtUp = notify
	}
}

// New returns a follower that has read nothing yet.
func New(log cherrykeel.Log, clock cherrykeel.Clock, options ...Option) *Follower {
	follower := &Follower{
		log:        log,
		clock:      clock,
		repliedAt:  clock.Now(),
		onState:    func(*fold.State) {},
		onCaughtUp: func(cherrykeel.Instant) {},
		chains:     map[int64]uint64{},
		waiters:    map[string]chan fold.Verdict{},
		verdicts:   map[string]fold.Verdict{},
		status:     Status{Reason: "nothing has been read yet"},
	}
	follower.state.Store(fold.NewState())
	for _, option := range options {
		option(follower)
	}
	return follower
}

// State returns the newest state; it must not be changed.
func (follower *Follower) State() *fold.State {
	return follower.state.Load()
}

// Status returns how well the follower is in step.
func (follower *Follower) Status() Status {
	state := follower.State()
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	status := follower.status
	status.Next = state.Next
	status.Chain = state.Chain
	status.SinceLogReply = follower.clock.Now().Sub(follower.repliedAt)
	return status
}

// Run reads until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := follower.readOnce(ctx)
		if err == nil {
			continue
		}
		if ctx.Err() == nil {
			follower.recordFailure(err)
			follower.readFromPeers(ctx)
			sleep(ctx, retryPause)
		}
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func (follower *Follower) recordFailure(err error) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.status.LogUp = !errors.Is(err, cherrykeel.ErrLogUnavailable)
	if !follower.status.CaughtUp || follower.status.LogUp {
		follower.status.Reason = err.Error()
	}
}

// readOnce reads once and folds what came.
func (follower *Follower) readOnce(ctx context.Context) error {
	readStart := follower.clock.Now()
	state := follower.State()
	batch, err := follower.log.Read(ctx, state.Next)
	if err != nil {
		return err
	}
	if batch.First > state.Next {
		return follower.restartFromCheckpoint(ctx, batch)
	}
	if batch.Next < state.Next {
		return errors.Errorf("the log ends at %d, before what was read up to %d", batch.Next, state.Next)
	}
	err = follower.foldRecords(state, batch.Records)
	if err != nil {
		return err
	}
	follower.recordRead(batch.Next, readStart)
	return nil
}

func (follower *Follower) recordRead(next int64, readStart cherrykeel.Instant) {
	follower.mutex.Lock()
	follower.repliedAt = follower.clock.Now()
	follower.status.LogUp = true
	fresh := follower.State().Next >= next
	if fresh {
		follower.status.CaughtUp = true
		follower.status.Reason = ""
	}
	follower.mutex.Unlock()
	if fresh {
		follower.onCaughtUp(readStart)
	}
}

// foldRecords folds records that follow the state, publishes the new state and wakes proposers.
func (follower *Follower) foldRecords(state *fold.State, records []cherrykeel.LogRecord) error {
	if len(records) == 0 {
		return nil
	}
	next := state.Clone()
	verdicts := make([]fold.Verdict, 0, len(records))
	for _, record := range records {
		if record.Offset < next.Next {
			continue
		}
		if record.Offset > next.Next {
			return errors.Errorf("records %d to %d are missing", next.Next, record.Offset-1)
		}
		verdict, err := next.Apply(record.Offset, record.Data)
		if err != nil {
			return err
		}
		verdicts = append(verdicts, verdict)
		follower.recordRecent(record, next)
	}
	follower.state.Store(next)
	follower.onState(next)
	follower.notifyWaiters(verdicts)
	return nil
}

// recordRecent keeps recent records for peers that are cut off from the log, and the chain for comparison with theirs.
func (follower *Follower) recordRecent(record cherrykeel.LogRecord, state *fold.State) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.recent = append(follower.recent, record)
	follower.chains[state.Next] = state.Chain
	if len(follower.recent) > 2*recentRecords {
		for _, old := range follower.recent[:recentRecords] {
			delete(follower.chains, old.Offset+1)
		}
		follower.recent = append([]cherrykeel.LogRecord(nil), follower.recent[recentRecords:]...)
	}
}

// HasDiverged reports whether a peer that has folded up to next came to another state than this host.
func (follower *Follower) HasDiverged(next int64, chain uint64) bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	own, exists := follower.chains[next]
	return exists && own != chain
}
