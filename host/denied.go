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
		Clock: host.clock, Logger: host.logger, Probe: host.conns.Refused,
		Tell: host.tellDenied, Keep: host.kept.Add, KeptEnds: keptEnds,
	})
}

// tellDenied tells the other hosts of a request while the log, by which they learn of it otherwise, is out.
func (host *Host) tellDenied(record poison.Record) {
	if !host.follower.Status().LogUp {
		host.tellPeers([]fold.Denial{{Identity: record.Identity.String(), Request: record}})
	}
}

func (host *Host) tellPeers(denials []fold.Denial) {
	for _, name := range host.others() {
		_ = host.workers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			var done wire.Done
			// A peer that is not reached reads the record when the log is back.
			_ = host.call(ctx, name, wire.MethodDenied, wire.Denied{Denials: denials}, &done)
		})
	}
}

func (host *Host) onDenied(_ context.Context, params json.RawMessage) (any, error) {
	var denied wire.Denied
	err := json.Unmarshal(params, &denied)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for _, denial := range denied.Denials {
		identity, err := poison.ParseIdentity(denial.Identity)
		if err != nil {
			return nil, err
		}
		denial.Request.Identity = identity
		host.denied.Merge(denial.Request)
	}
	return wire.Done{}, nil
}

// keepDenied writes records to the log until the context ends, each until the log has it.
func (host *Host) keepDenied(ctx context.Context) {
	for ctx.Err() == nil {
		identities := host.kept.Take(ctx)
		pauseUntil(ctx, time.Now().Add(denialPause))
		wait := denialPause
		for ctx.Err() == nil && !host.propose(ctx, identities) {
			wait = min(2*wait, longestDenialPause)
			pauseUntil(ctx, time.Now().Add(wait))
		}
	}
}

// propose reports whether the log has what is known of some requests. While it is out, the other hosts are told.
func (host *Host) propose(ctx context.Context, identities []poison.Identity) bool {
	record := host.duty.record()
	for _, identity := range identities {
		known, exists := host.denied.Find(identity)
		if exists {
			record.Denials = append(record.Denials, fold.Denial{Identity: identity.String(), Request: known})
		}
	}
	if len(record.Denials) == 0 {
		return true
	}
	proposing, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := host.follower.Propose(proposing, record)
	if err != nil {
		events.Log(host.logger, events.WriteFailed, zap.Int("Requests", len(record.Denials)), zap.Error(err))
		host.tellPeers(record.Denials)
	}
	return err == nil
}

// learnDenied takes what the log holds of requests that were at work when upstreams ended.
func (host *Host) learnDenied(state *fold.State) {
	if state.DeniedAt == host.deniedAt {
		return
	}
	host.deniedAt = state.DeniedAt
	for key, record := range state.Denied {
		identity, err := poison.ParseIdentity(key)
		if err != nil {
			continue
		}
		record.Identity = identity
		host.denied.Merge(record)
	}
}
