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
	// minCrashesToStore is how many crashes a request needs before it is written to the log. One is enough: every host
	// reads the log, so records need no other way to the hosts, and a crash adds only some dozens of requests, in one
	// record.
	minCrashesToStore = 1
	// suspectedBatchDelay is how long requests are collected, so that those of one crash share a record.
	suspectedBatchDelay = 20 * time.Millisecond
	// maxSuspectedRetryDelay is the longest wait between two attempts to append a record.
	maxSuspectedRetryDelay = time.Second
)

func newDenyList(host *Host) *deny.List {
	return deny.New(deny.Settings{
		Clock: host.clock, Logger: host.logger, IsConnectionRefused: host.connPool.IsRefused,
		Announce: host.announceSuspected, Store: host.pendingSuspected.Add, MinCrashesToStore: minCrashesToStore,
	})
}

// announceSuspected sends the record of a suspected request to the other hosts while the log, where they would read it,
// is unavailable.
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
			// A peer that cannot be reached reads the record once the log is available again.
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

// storeSuspected appends the pending records of suspected requests to the log until the context ends. It retries each
// batch until it succeeds.
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

// proposeSuspected appends the records of some suspected requests to the log and reports whether that succeeded. If it
// failed, it sends them to the other hosts.
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

// mergeSuspected merges the state's records of suspected requests into the deny list.
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
