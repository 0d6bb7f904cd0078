package grants

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/spans"
)

const (
	// evidenceAge is how old a host's word may be to count. A keeper that is cut off, or slept, stops
	// granting this long after more than half of the hosts have learned of another term.
	evidenceAge = time.Second
	// callTimeout bounds one grant; it is also how long after sending a grant may arrive.
	callTimeout = 600 * time.Millisecond
	// writeTimeout bounds one write of the table.
	writeTimeout = time.Second
	// firstClaim is how long a host waits after its start to hear from the others.
	firstClaim = 400 * time.Millisecond
)

// consider claims the duty if nobody has it or its holder is silent.
func (keeper *Keeper) consider(ctx context.Context, table spans.Table, next int64, now cherrykeel.Instant) {
	if keeper.resigned || keeper.writing || keeper.world.StoreWell() == 0 || len(keeper.world.Keyed()) == 0 {
		return
	}
	uptime := now.Sub(keeper.started)
	if uptime < firstClaim || len(keeper.world.Upstreams()) == 0 {
		return
	}
	stagger := time.Duration(keeper.world.Rank()) * claimStep
	silence, reason := keeper.silence(table, uptime, now)
	if silence < stagger {
		return
	}
	if !keeper.hearsMost() {
		return
	}
	keeper.claim(ctx, table, next, reason)
}

// silence returns how long the duty has been open beyond doubt, negative while it is not.
func (keeper *Keeper) silence(table spans.Table, uptime time.Duration, now cherrykeel.Instant) (time.Duration, string) {
	open := min(uptime-firstClaim, now.Sub(keeper.seenAt))
	if table.Life == "" {
		return open, "nobody has it"
	}
	life, known := keeper.world.PeerLife(table.Keeper)
	if known && life != table.Life {
		return open, "its holder started anew"
	}
	silence, heard := keeper.mesh.Silence(table.Keeper)
	if !heard {
		silence = min(uptime-firstClaim, now.Sub(keeper.seenAt))
	}
	return silence - silentKeeper, "its holder is silent"
}

// hearsMost reports whether this host hears more than half of the hosts: one that does not would win
// the duty in the store and could not use it.
func (keeper *Keeper) hearsMost() bool {
	heard := 1 + len(keeper.mesh.Reports(evidenceAge))
	return 2*heard > keeper.mesh.Known()
}

func (keeper *Keeper) claim(ctx context.Context, table spans.Table, next int64, reason string) {
	claimed := table.Claimed(keeper.self.Name, keeper.self.Life, next)
	events.Log(keeper.logger, events.KeeperClaimed,
		zap.String("Reason", reason), zap.String("Before", table.Keeper), zap.Int64("OldTerm", table.Term), zap.Int64("At", next))
	keeper.write(ctx, claimed, next)
}

// write proposes a table; what came of it is seen when the table is read.
func (keeper *Keeper) write(ctx context.Context, table spans.Table, at int64) {
	value, err := table.Encode()
	if err != nil {
		events.Log(keeper.logger, events.WriteFailed, zap.Error(err))
		return
	}
	keeper.writing = true
	keeper.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		err := keeper.log.PutAt(ctx, keeper.key, value, at)
		keeper.results <- func(cherrykeel.Instant) {
			keeper.writing = false
			if err == nil {
				keeper.table.Wrote(value, at)
				return
			}
			if !errors.Is(err, cherrykeel.ErrReplaced) {
				events.Log(keeper.logger, events.WriteFailed, zap.Int64("At", at), zap.Error(err))
			}
			// Whether it was written, and what was written instead, is in the store.
			keeper.world.Reread()
		}
	})
}

// giveUp writes that nobody keeps, so that the next host need not wait for this one's silence.
func (keeper *Keeper) giveUp(ctx context.Context) {
	keeper.resigned = true
	table, next, known := keeper.table.Current()
	if !known || keeper.term < 0 || table.Keeper != keeper.self.Name {
		return
	}
	left := table.Clone()
	left.Life = ""
	value, err := left.Encode()
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		err = keeper.log.PutAt(ctx, keeper.key, value, next)
	}
	if err != nil {
		events.Log(keeper.logger, events.WriteFailed, zap.Int64("At", next), zap.Error(err))
		return
	}
	keeper.table.Wrote(value, next)
}

// sure reports whether more than half of the hosts confirm that they know no newer term. It is asked
// before each grant: without it a keeper that was cut off or asleep would go on beside its successor.
func (keeper *Keeper) sure(term int64, now cherrykeel.Instant) bool {
	confirming, knowing := 1, 1
	for _, heard := range keeper.mesh.Reports(evidenceAge) {
		if heard.Report.Term > term {
			return keeper.noteSure(false, confirming)
		}
		if heard.Report.Term >= 0 {
			confirming++
		}
		if heard.Report.Term == term {
			knowing++
		}
	}
	known := keeper.mesh.Known()
	if 2*knowing > known && !keeper.told {
		keeper.told = true
		keeper.toldAt = now
	}
	return keeper.noteSure(2*confirming > known, confirming)
}

func (keeper *Keeper) noteSure(sure bool, confirming int) bool {
	if !sure && !keeper.unsure {
		events.Log(keeper.logger, events.KeeperUnsure, zap.Int64("Term", keeper.term), zap.Int("Confirming", confirming), zap.Int("Hosts", keeper.mesh.Known()))
	}
	keeper.unsure = !sure
	return sure
}

// bound lowers what the keeper before may have granted to what it can have: it stopped when its
// evidence had aged, and its last grant ends after the longest hold.
func (keeper *Keeper) bound(now cherrykeel.Instant) {
	if !keeper.told {
		return
	}
	lastArrival := keeper.toldAt.Add(evidenceAge + callTimeout)
	keeper.ledger.Bound(spans.End(lastArrival, keeper.bounds().MaxHold))
}
