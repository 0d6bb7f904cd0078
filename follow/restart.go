package follow

import (
	"context"

	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/fold"
)

// restartFromCheckpoint starts over from the newest checkpoint that the log still holds.
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
		// An older state than one that was in force must never be, even for a moment.
		return errors.Wrapf(ErrLogTruncated, "the newest checkpoint is of %d, this host has read up to %d", state.Next, follower.State().Next)
	}
	follower.replaceState(state)
	return follower.foldRecords(state, records)
}

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

// replaceState takes a state as it is, without the records that led to it.
func (follower *Follower) replaceState(state *fold.State) {
	follower.mutex.Lock()
	follower.recent = nil
	follower.chains = map[int64]uint64{state.Next: state.Chain}
	follower.mutex.Unlock()
	follower.state.Store(state)
	follower.onState(state)
}

// readFromPeers gets records relayed while the log is out of reach, for this host or for all.
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

func (follower *Follower) recordPeerFailure(err error) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if !follower.status.CaughtUp {
		follower.status.Reason = "the log is out of reach, and peers: " + err.Error()
	}
}

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

// RecordsFrom returns, for a peer that is cut off, what it lacks from an offset on.
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
