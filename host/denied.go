package host

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel/deny"
	"cherrykeel/events"
	"cherrykeel/fold"
	"cherrykeel/poison"
	"cherrykeel/wire"
)

const (
	// minCrashesToStore is how many ends a request stands at when the log is told of it: every host reads the log, so what it
	// holds needs no other way. An upstream's loss leaves some dozens of such requests, in one record.
	minCrashesToStore = 1
	// suspectedBatchDelay lets what stood at one end come together in one record.
	suspectedBatchDelay = 20 * time.Millisecond
	// maxSuspectedRetryDelay bounds the pauses while the log does not take a record.
	maxSuspectedRetryDelay = time.Second
)

func newDenyList(host *Host) *deny.List {
	return deny.New(deny.Settings{
		Clock: host.clock, Logger: host.logger, IsConnectionRefused: host.connPool.IsRefused,
		Announce: host.announceSuspected, Store: host.pendingSuspected.Add, MinCrashesToStore: minCrashesToStore,
	})
}

// announceSuspected tells the other hosts of a request while the log, by which they learn of it otherwise, is out.
func (host *Host) announceSuspected(record poison.Record) {
	if !host.follower.Status().LogUp {
		host.sendSuspected([]fold.SuspectedRequest{{Fingerprint: record.Fingerprint.String(), Request: record}})
	}
}

func (host *Host) sendSuspected(requests []fold.SuspectedRequest) {
	for _, name := range host.others() {
		_ = host.workers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			var reply wire.EmptyReply
			// A peer that is not reached reads the record when the log is back.
			_ = host.call(ctx, name, wire.MethodSuspectedRequests, wire.SuspectedRequests{Requests: requests}, &reply)
		})
	}
}

func (host *Host) onSuspectedRequests(_ context.Context, params json.RawMessage) (any, error) {
	var message wire.SuspectedRequests
	err := json.Unmarshal(params, &message)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for _, suspected := range message.Requests {
		fingerprint, err := poison.ParseFingerprint(suspected.Fingerprint)
		if err != nil {
			return nil, err
		}
		suspected.Request.Fingerprint = fingerprint
		host.denyList.Merge(suspected.Request)
	}
	return wire.EmptyReply{}, nil
}

// storeSuspected writes records to the log until the context ends, each until the log has it.
func (host *Host) storeSuspected(ctx context.Context) {
	for ctx.Err() == nil {
		fingerprints := host.pendingSuspected.DequeueAll(ctx)
		sleepUntil(ctx, time.Now().Add(suspectedBatchDelay))
		wait := suspectedBatchDelay
		for ctx.Err() == nil && !host.proposeSuspected(ctx, fingerprints) {
			wait = min(2*wait, maxSuspectedRetryDelay)
			sleepUntil(ctx, time.Now().Add(wait))
		}
	}
}

// proposeSuspected reports whether the log has what is known of some requests. While it is out, the other hosts are told.
func (host *Host) proposeSuspected(ctx context.Context, fingerprints []poison.Fingerprint) bool {
	record := host.coordinator.newRecord()
	for _, fingerprint := range fingerprints {
		suspected, exists := host.denyList.Find(fingerprint)
		if exists {
			record.SuspectedRequests = append(record.SuspectedRequests, fold.SuspectedRequest{Fingerprint: fingerprint.String(), Request: suspected})
		}
	}
	if len(record.SuspectedRequests) == 0 {
		return true
	}
	proposing, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := host.follower.Propose(proposing, record)
	if err != nil {
		events.Log(host.logger, events.WriteFailed, zap.Int("Requests", len(record.SuspectedRequests)), zap.Error(err))
		host.sendSuspected(record.SuspectedRequests)
	}
	return err == nil
}

// mergeSuspected takes what the log holds of requests that were at work when upstreams ended.
func (host *Host) mergeSuspected(state *fold.State) {
	if state.SuspectedVersion == host.suspectedVersion {
		return
	}
	host.suspectedVersion = state.SuspectedVersion
	for key, record := range state.SuspectedRequests {
		fingerprint, err := poison.ParseFingerprint(key)
		if err != nil {
			continue
		}
		record.Fingerprint = fingerprint
		host.denyList.Merge(record)
	}
}
