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
	// keptEnds is how many ends a request stands at when the log is told of it: every host reads the log, so what it
	// holds needs no other way. An upstream's loss leaves some dozens of such requests, in one record.
	keptEnds = 1
	// denialPause lets what stood at one end come together in one record.
	denialPause = 20 * time.Millisecond
	// longestDenialPause bounds the pauses while the log does not take a record.
	longestDenialPause = time.Second
)

func newDenied(host *Host) *deny.List {
	return deny.New(deny.Settings{
		Clock: host.clock, Logger: host.logger, IsConnectionRefused: host.conns.IsRefused,
		Announce: host.tellDenied, Store: host.kept.Add, MinCrashesToStore: keptEnds,
	})
}

// tellDenied tells the other hosts of a request while the log, by which they learn of it otherwise, is out.
func (host *Host) tellDenied(record poison.Record) {
	if !host.follower.Status().LogUp {
		host.tellPeers([]fold.SuspectedRequest{{Fingerprint: record.Fingerprint.String(), Request: record}})
	}
}

func (host *Host) tellPeers(denials []fold.SuspectedRequest) {
	for _, name := range host.others() {
		_ = host.workers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			var done wire.EmptyReply
			// A peer that is not reached reads the record when the log is back.
			_ = host.call(ctx, name, wire.MethodSuspectedRequests, wire.SuspectedRequests{Requests: denials}, &done)
		})
	}
}

func (host *Host) onDenied(_ context.Context, params json.RawMessage) (any, error) {
	var denied wire.SuspectedRequests
	err := json.Unmarshal(params, &denied)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for _, denial := range denied.Requests {
		identity, err := poison.ParseFingerprint(denial.Fingerprint)
		if err != nil {
			return nil, err
		}
		denial.Request.Fingerprint = identity
		host.denied.Merge(denial.Request)
	}
	return wire.EmptyReply{}, nil
}

// keepDenied writes records to the log until the context ends, each until the log has it.
func (host *Host) keepDenied(ctx context.Context) {
	for ctx.Err() == nil {
		identities := host.kept.DequeueAll(ctx)
		pauseUntil(ctx, time.Now().Add(denialPause))
		wait := denialPause
		for ctx.Err() == nil && !host.propose(ctx, identities) {
			wait = min(2*wait, longestDenialPause)
			pauseUntil(ctx, time.Now().Add(wait))
		}
	}
}

// propose reports whether the log has what is known of some requests. While it is out, the other hosts are told.
func (host *Host) propose(ctx context.Context, identities []poison.Fingerprint) bool {
	record := host.duty.record()
	for _, identity := range identities {
		known, exists := host.denied.Find(identity)
		if exists {
			record.SuspectedRequests = append(record.SuspectedRequests, fold.SuspectedRequest{Fingerprint: identity.String(), Request: known})
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
		host.tellPeers(record.SuspectedRequests)
	}
	return err == nil
}

// learnDenied takes what the log holds of requests that were at work when upstreams ended.
func (host *Host) learnDenied(state *fold.State) {
	if state.SuspectedVersion == host.deniedAt {
		return
	}
	host.deniedAt = state.SuspectedVersion
	for key, record := range state.SuspectedRequests {
		identity, err := poison.ParseFingerprint(key)
		if err != nil {
			continue
		}
		record.Fingerprint = identity
		host.denied.Merge(record)
	}
}
