package follow

import (
	"context"

	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/fold"
)

// restartFromCheckpoint continues from the newest checkpoint in the log, since the log no longer holds the first record
// that this host has not read.
func (follower *Follower) restartFromCheckpoint(ctx context.Context, batch cherrykeel.LogBatch) error {
	records, err := follower.readToEnd(ctx, batch)
	if err != nil {
		return err
	}
	state, err := newestCheckpoint(records, batch.First)
	if err != nil {
		return err
	}
	if state.Next < follower.State().Next {
		// A state older than one that was in force must never come into force again, even for a moment.
		return errors.Wrapf(ErrLogTruncated, "the newest checkpoint covers records up to %d, this host has read up to %d", state.Next, follower.State().Next)
	}
	follower.replaceState(state)
	return follower.foldRecords(state, records)
}

// readToEnd returns a batch's records together with all later ones up to the batch's Next.
func (follower *Follower) readToEnd(ctx context.Context, batch cherrykeel.LogBatch) ([]cherrykeel.LogRecord, error) {
	records := batch.Records
	for len(records) > 0 && records[len(records)-1].Offset+1 < batch.Next {
		more, err := follower.log.Read(ctx, records[len(records)-1].Offset+1)
		if err != nil {
			return nil, err
		}
		if len(more.Records) == 0 {
			break
		}
		records = append(records, more.Records...)
	}
	return records, nil
}

// newestCheckpoint returns the state of the newest valid checkpoint that the log's records from first on can continue.
func newestCheckpoint(records []cherrykeel.LogRecord, first int64) (*fold.State, error) {
	for i := len(records) - 1; i >= 0; i-- {
		record, err := fold.Decode(records[i].Data)
		if err != nil || record.Checkpoint == nil {
			continue
		}
		state, err := fold.Restore(*record.Checkpoint)
		if err != nil || state.Next < first {
			continue
		}
		return state, nil
	}
	return nil, errors.Wrapf(ErrLogTruncated, "the log begins at %d", first)
}

// replaceState publishes a state without folding the records that led to it.
func (follower *Follower) replaceState(state *fold.State) {
	follower.mutex.Lock()
	follower.recent = nil
	follower.chains = map[int64]uint64{state.Next: state.Chain}
	follower.mutex.Unlock()
	follower.state.Store(state)
	follower.onState(state)
}

// readFromPeers reads records from other hosts while the log is unavailable to this host or to all.
func (follower *Follower) readFromPeers(ctx context.Context) {
	status := follower.Status()
	if follower.peers == nil || status.LogUp || status.SinceLogReply < outageAfter {
		return
	}
	missing, err := follower.peers.Fetch(ctx, status.Next, !status.CaughtUp)
	if err != nil {
		follower.recordPeerFailure(err)
		return
	}
	err = follower.applyMissing(missing)
	if err != nil {
		follower.recordPeerFailure(err)
		return
	}
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if !follower.status.CaughtUp && follower.State().Next >= missing.Next {
		follower.status.CaughtUp = true
		follower.status.Reason = ""
	}
}

// recordPeerFailure records an error of reading from other hosts.
func (follower *Follower) recordPeerFailure(err error) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if !follower.status.CaughtUp {
		follower.status.Reason = "the log is unavailable, and reading from other hosts failed: " + err.Error()
	}
}

// applyMissing applies the checkpoint, if there is one, and the records that another host has sent.
func (follower *Follower) applyMissing(missing MissingRecords) error {
	state := follower.State()
	if missing.Checkpoint != nil {
		restored, err := fold.Restore(*missing.Checkpoint)
		if err != nil {
			return err
		}
		if restored.Next <= state.Next {
			return nil
		}
		follower.replaceState(restored)
		state = restored
	}
	return follower.foldRecords(state, missing.Records)
}

// RecordsFrom returns the records from an offset on, for a host that cannot read the log, or a checkpoint if this host
// no longer keeps all of them.
func (follower *Follower) RecordsFrom(from int64) (MissingRecords, error) {
	state := follower.State()
	follower.mutex.Lock()
	recent := follower.recent
	follower.mutex.Unlock()
	missing := MissingRecords{Next: state.Next}
	if from >= state.Next {
		return missing, nil
	}
	if len(recent) == 0 || recent[0].Offset > from {
		checkpoint, err := state.Snapshot()
		missing.Checkpoint = &checkpoint
		return missing, err
	}
	for _, record := range recent {
		if record.Offset >= from && record.Offset < state.Next {
			missing.Records = append(missing.Records, record)
		}
	}
	return missing, nil
}
