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
	// ErrOutcomeUnknown means that a proposed record was not read back in time; the record may still take effect.
	ErrOutcomeUnknown = errors.New("the outcome of the append is unknown")
	// ErrLogTruncated means that the log's retention has removed records that this host has not read, and that the log
	// holds no checkpoint from which the host could go on.
	ErrLogTruncated = errors.New("the log no longer holds the records that this host needs, nor a usable checkpoint")
)

const (
	// retryPause is the pause after a failed read.
	retryPause = 100 * time.Millisecond
	// outageAfter is how long no read of the log has succeeded before records are requested from other hosts.
	outageAfter = 1500 * time.Millisecond
	// recentRecords is how many of the newest records are kept for other hosts, at least; at most, it is twice as many.
	recentRecords = 1024
	// maxRecentVerdicts bounds the verdicts that are kept by record id.
	maxRecentVerdicts = 4096
)

// Peers reads records from other hosts for a follower that cannot read the log.
type Peers interface {
	// Fetch requests the records from an offset on. If quorum is set, it fails unless enough hosts answer for the newest
	// record to be among their answers.
	Fetch(ctx context.Context, from int64, quorum bool) (MissingRecords, error)
}

// MissingRecords is what a host sends to another host that cannot read the log.
type MissingRecords struct {
	// Checkpoint is set if the sender no longer keeps all the requested records.
	Checkpoint *fold.Checkpoint
	Records    []cherrykeel.LogRecord
	// Next is the offset of the first record that the sender has not folded.
	Next int64
}

// Status describes how current a follower's state is.
type Status struct {
	// Next and Chain are those of the state.
	Next  int64
	Chain uint64
	// CaughtUp is true once the state has been confirmed to be the newest, since the start; it stays true.
	CaughtUp bool
	// LogUp is false before the first read, and if the last read failed because the log was unavailable.
	LogUp bool
	// SinceLogReply is the time since the last successful read of the log, or since the start if there was none.
	SinceLogReply time.Duration
	// Reason is why the follower has not caught up, or why it can no longer read or fold records although the log is
	// available; otherwise it is empty.
	Reason string
}

// Follower folds the records of the log into the newest state and proposes records.
type Follower struct {
	log        cherrykeel.Log
	peers      Peers
	clock      cherrykeel.Clock
	onState    func(state *fold.State)
	onCaughtUp func(readStart cherrykeel.Instant)
	state      atomic.Pointer[fold.State]
	mutex      sync.Mutex
	status     Status
	// repliedAt is when the log last answered a read, or the start if it has not.
	repliedAt cherrykeel.Instant
	// recent has the newest records, for hosts that cannot read the log. chains has the chain hashes of the recent states,
	// by their Next.
	recent []cherrykeel.LogRecord
	chains map[int64]uint64
	// waiters has the channels of the proposers that wait for a verdict, by the id of their record.
	waiters map[string]chan fold.Verdict
	// verdicts has the most recent verdicts by record id, and verdictOrder their ids, oldest first.
	verdicts     map[string]fold.Verdict
	verdictOrder []string
}

// Option configures a Follower.
type Option func(*Follower)

// WithPeers sets the hosts to read from while the log is unavailable.
func WithPeers(peers Peers) Option {
	return func(follower *Follower) {
		follower.peers = peers
	}
}

// OnState sets a function that is called with each new state, in order; it must not change the state.
func OnState(notify func(state *fold.State)) Option {
	return func(follower *Follower) {
		follower.onState = notify
	}
}

// OnCaughtUp sets a function that is called after a read of the log that shows that no record is missing from the
// state. Its argument is the instant at which the read started.
func OnCaughtUp(notify func(readStart cherrykeel.Instant)) Option {
	return func(follower *Follower) {
		follower.onCaughtUp = notify
	}
}

// New returns a follower with an empty state; Run reads the log.
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
		status:     Status{Reason: "the log has not been read yet"},
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

// Status returns how current the follower's state is.
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

// Run reads the log, or other hosts while the log is unavailable, until the context ends.
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

// recordFailure records an error of reading the log or of folding its records.
func (follower *Follower) recordFailure(err error) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.status.LogUp = !errors.Is(err, cherrykeel.ErrLogUnavailable)
	if !follower.status.CaughtUp || follower.status.LogUp {
		follower.status.Reason = err.Error()
	}
}

// readOnce reads the log once and folds the new records.
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
		return errors.Errorf("the log ends at %d, but this host has read up to %d", batch.Next, state.Next)
	}
	err = follower.foldRecords(state, batch.Records)
	if err != nil {
		return err
	}
	follower.recordRead(batch.Next, readStart)
	return nil
}

// recordRead records a successful read that started at readStart and found next to be the end of the log.
func (follower *Follower) recordRead(next int64, readStart cherrykeel.Instant) {
	follower.mutex.Lock()
	follower.repliedAt = follower.clock.Now()
	follower.status.LogUp = true
	caughtUp := follower.State().Next >= next
	if caughtUp {
		follower.status.CaughtUp = true
		follower.status.Reason = ""
	}
	follower.mutex.Unlock()
	if caughtUp {
		follower.onCaughtUp(readStart)
	}
}

// foldRecords folds records into a copy of the state, skips those that the state already has, publishes the new state
// and notifies waiting proposers.
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

// recordRecent keeps a record for hosts that cannot read the log, and the chain hash after it for comparison with other
// hosts.
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

// HasDiverged reports whether another host, with this chain hash after folding all records below next, came to another
// state than this host. It is false if this host does not keep its own chain hash at next.
func (follower *Follower) HasDiverged(next int64, chain uint64) bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	own, exists := follower.chains[next]
	return exists && own != chain
}
