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
	// maxEvidenceAge is how old a host's word may be to count. A keeper that is cut off, or slept, stops
	// granting this long after more than half of the hosts have learned of another term.
	maxEvidenceAge = time.Second
	// writeTimeout bounds one write of the table.
	writeTimeout = time.Second
	// maxReportDelay is how much later than it was sent a host may date another's report: it looks for a standstill of its
	// own each 500 ms at the least.
	maxReportDelay = 500 * time.Millisecond
	// firstClaimDelay is how long a host waits after its start to hear from the others.
	firstClaimDelay = 400 * time.Millisecond
	// storelessClaimDelay is how long a keeper may be without the store while others have it.
	storelessClaimDelay = time.Second
	// maxAnnounceDelay is within what a host's announcement arrives that a table of its has overtaken.
	maxAnnounceDelay = 500 * time.Millisecond
	// writeRetryDelay is waited after a write that the store did not take.
	writeRetryDelay = 500 * time.Millisecond
)

// considerClaim claims the duty if nobody has it or its holder cannot do it.
func (keeper *Keeper) considerClaim(ctx context.Context, table spans.Table, next int64, now cherrykeel.Instant) {
	if keeper.writing || now < keeper.writeAfter || !keeper.canKeep(now) {
		keeper.vacant = false
		return
	}
	reason := keeper.vacancyReason(table, now)
	if reason == "" {
		keeper.vacant = false
		return
	}
	if !keeper.vacant {
		keeper.vacant = true
		keeper.vacantSince = now
	}
	stagger := time.Duration(keeper.environment.Rank()) * claimStagger
	if now.Sub(keeper.vacantSince) < stagger {
		return
	}
	keeper.claim(ctx, table, next, reason)
}

// canKeep reports whether this host could do the duty.
func (keeper *Keeper) canKeep(now cherrykeel.Instant) bool {
	if keeper.resigned || keeper.environment.StoreAvailableFor() == 0 || now.Sub(keeper.startedAt) < firstClaimDelay {
		return false
	}
	return len(keeper.environment.KeyedServices()) > 0 && len(keeper.environment.Upstreams()) > 0 && keeper.hasMajority()
}

// vacancyReason returns why another host should have the duty, or nothing.
func (keeper *Keeper) vacancyReason(table spans.Table, now cherrykeel.Instant) string {
	if table.Incarnation == "" {
		return "nobody has it"
	}
	if keeper.hasKeeperRestarted(table, now) {
		return "its holder started anew"
	}
	if keeper.isKeeperStoreless(table.Keeper, now) {
		if now.Sub(keeper.keeperStorelessSince) < storelessClaimDelay {
			return ""
		}
		return "the store does not serve its holder"
	}
	silence, heard := keeper.mesh.TimeSinceReport(table.Keeper)
	if !heard {
		silence = min(now.Sub(keeper.startedAt)-firstClaimDelay, now.Sub(keeper.seenAt))
	}
	if silence < maxKeeperSilence {
		return ""
	}
	return "its holder is silent"
}

// hasKeeperRestarted reports whether the holder's process is another one than the table names. A table that is
// newer than what the host last announced names the newer process, whose announcement is on its way.
func (keeper *Keeper) hasKeeperRestarted(table spans.Table, now cherrykeel.Instant) bool {
	life, age, known := keeper.environment.PeerIncarnation(table.Keeper)
	if !known || life == table.Incarnation {
		return false
	}
	tableAge := now.Sub(keeper.seenAt)
	return age <= tableAge || tableAge > maxAnnounceDelay
}

// isKeeperStoreless reports whether the holder says that the store does not serve it, while it serves this host.
// Such a keeper renews what there is and cannot move a key from a server that leaves or dies.
func (keeper *Keeper) isKeeperStoreless(holder string, now cherrykeel.Instant) bool {
	for _, heard := range keeper.mesh.Reports(maxEvidenceAge) {
		if heard.Report.Host != holder || heard.Report.StoreAvailable {
			continue
		}
		if !keeper.keeperStoreless {
			keeper.keeperStoreless = true
			keeper.keeperStorelessSince = now
		}
		return true
	}
	keeper.keeperStoreless = false
	return false
}

// hasMajority reports whether this host hears more than half of the hosts: one that does not would win
// the duty in the store and could not use it.
func (keeper *Keeper) hasMajority() bool {
	heard := 1 + len(keeper.mesh.Reports(maxEvidenceAge))
	return 2*heard > keeper.mesh.HostCount()
}

func (keeper *Keeper) claim(ctx context.Context, table spans.Table, next int64, reason string) {
	claimed := table.ClaimedBy(keeper.self.Name, keeper.self.Incarnation, next)
	keeper.lastClaim = claimAttempt{offset: next, replacedTerm: table.Term}
	events.Log(keeper.logger, events.KeeperClaimed,
		zap.String("Reason", reason), zap.String("Before", table.Keeper), zap.Int64("OldTerm", table.Term), zap.Int64("At", next))
	keeper.writeTable(ctx, claimed, next)
}

// writeTable proposes a table; what came of it is seen when the table is read.
func (keeper *Keeper) writeTable(ctx context.Context, table spans.Table, at int64) {
	value, err := table.Encode()
	if err != nil {
		events.Log(keeper.logger, events.WriteFailed, zap.Error(err))
		return
	}
	keeper.writing = true
	keeper.workers.writes.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		err := keeper.log.PutAt(ctx, keeper.key, value, at)
		keeper.results <- func(now cherrykeel.Instant) {
			keeper.writing = false
			keeper.needsTick = true
			if err == nil {
				keeper.table.ApplyOwnWrite(value, at)
				return
			}
			if !errors.Is(err, cherrykeel.ErrConflict) {
				keeper.writeAfter = now.Add(writeRetryDelay)
				events.Log(keeper.logger, events.WriteFailed, zap.Int64("At", at), zap.Error(err))
			}
			// Whether it was written, and what was written instead, is in the store.
			keeper.environment.RereadTable()
		}
	})
}

// writeResignation writes that nobody keeps, so that the next host need not wait for this one's silence.
func (keeper *Keeper) writeResignation(ctx context.Context) {
	keeper.resigned = true
	table, next, known := keeper.table.Current()
	if !known || keeper.term < 0 || table.Keeper != keeper.self.Name {
		return
	}
	left := table.Clone()
	left.Incarnation = ""
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
	keeper.table.ApplyOwnWrite(value, next)
}

// isConfirmed reports whether more than half of the hosts confirm that they know no newer term. It is asked
// before each grant: without it a keeper that was cut off or asleep would go on beside its successor.
func (keeper *Keeper) isConfirmed(term int64, now cherrykeel.Instant) bool {
	confirming, knowing := 1, 1
	for _, heard := range keeper.mesh.Reports(maxEvidenceAge) {
		if heard.Report.Term > term {
			return keeper.recordConfirmation(false, confirming)
		}
		if heard.Report.Term >= 0 {
			confirming++
		}
		if heard.Report.Term == term {
			knowing++
		}
	}
	known := keeper.mesh.HostCount()
	if 2*knowing > known && !keeper.majorityKnows {
		keeper.majorityKnows = true
		keeper.majorityKnowsSince = now
	}
	return keeper.recordConfirmation(2*confirming > known, confirming)
}

func (keeper *Keeper) recordConfirmation(sure bool, confirming int) bool {
	if !sure && !keeper.unconfirmed {
		events.Log(keeper.logger, events.KeeperUnsure, zap.Int64("Term", keeper.term), zap.Int("Confirming", confirming), zap.Int("Hosts", keeper.mesh.HostCount()))
	}
	keeper.unconfirmed = !sure
	return sure
}

// boundEarlierLeases lowers what the keeper before may have granted to what it can have: it stopped when its
// evidence had aged, and its last grant ends after the longest hold.
func (keeper *Keeper) boundEarlierLeases(now cherrykeel.Instant) {
	if !keeper.majorityKnows {
		return
	}
	lastArrival := keeper.majorityKnowsSince.Add(maxEvidenceAge + maxReportDelay + maxArrivalDelay)
	until := spans.LatestLeaseEnd(lastArrival, keeper.bounds().MaxLeaseDuration)
	for _, owner := range keeper.ledger.BoundUnknownLeases(until) {
		keeper.contact(owner).recordLease(until)
	}
}
