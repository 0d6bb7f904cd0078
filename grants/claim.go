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
	// maxEvidenceAge is the maximum age of another host's report that counts. A keeper that is isolated, or was
	// suspended, stops granting this long after more than half of the hosts have learned of another term.
	maxEvidenceAge = time.Second
	// writeTimeout bounds one write of the table.
	writeTimeout = time.Second
	// maxReportDelay bounds by how much later than it was sent a host may date a received report. A host checks at
	// least every 500 ms whether it was itself suspended.
	maxReportDelay = 500 * time.Millisecond
	// firstClaimDelay is how long a host waits after its start for reports of the other hosts before it may claim.
	firstClaimDelay = 400 * time.Millisecond
	// storelessClaimDelay is how long the store may be unavailable to the keeper, while other hosts can use it, before
	// one of them claims.
	storelessClaimDelay = time.Second
	// maxAnnounceDelay bounds how much later than its table a host's announcement may arrive.
	maxAnnounceDelay = 500 * time.Millisecond
	// eraClaimDelay is how long the keeper has to claim a new term after the store has come back from a copy, before another
	// host does: it lists the table within half a second.
	eraClaimDelay = 1500 * time.Millisecond
	// betterKnowledgeDelay is for how long a host leaves the claim to another one that knows a later table.
	betterKnowledgeDelay = 3 * time.Second
	// maxVersionAge is the maximum age of another host's report that counts for which tables there have been.
	maxVersionAge = 10 * time.Second
	// conflictDelay is the pause after a write that another one came before; a read that shows that one takes longer.
	conflictDelay = 10 * time.Millisecond
	// minReclaimPause is the pause after a claim for a refused grant; it doubles with each further one, up to
	// maxReclaimPause, and starts again when there was none for forgetReclaims.
	minReclaimPause = 50 * time.Millisecond
	maxReclaimPause = 2 * time.Second
	forgetReclaims  = 10 * time.Second
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 500 * time.Millisecond
)

// reasonRestored is the reason of a claim in a new era.
const reasonRestored = "the store has come back from a copy"

// isEraUnclaimed reports whether the keeper's role has not been claimed since the store came back from a copy; next is the
// offset that the next table will get.
func isEraUnclaimed(table spans.Table, next int64) bool {
	return cherrykeel.EraOf(next) > cherrykeel.EraOf(table.Term)
}

// considerClaim claims the keeper's role if no host has it or its holder cannot fulfil it.
func (keeper *Keeper) considerClaim(ctx context.Context, table spans.Table, next int64, now cherrykeel.Instant) {
	if keeper.writing || now < keeper.writeAfter || !keeper.canKeep(now) {
		keeper.vacant = false
		return
	}
	reason := keeper.vacancyReason(table, now)
	if isEraUnclaimed(table, next) {
		reason = keeper.eraVacancyReason(table, reason, now)
	} else {
		keeper.eraUnclaimedSince = 0
	}
	if reason == "" {
		keeper.vacant = false
		return
	}
	if !keeper.vacant {
		keeper.vacant = true
		keeper.vacantSince = now
	}
	delay := time.Duration(keeper.environment.Rank()) * claimStagger
	if now.Sub(keeper.vacantSince) < delay {
		return
	}
	keeper.claim(ctx, table, next, reason)
}

// canKeep reports whether this host could fulfil the keeper's role.
func (keeper *Keeper) canKeep(now cherrykeel.Instant) bool {
	if keeper.resigned || keeper.environment.StoreAvailableFor() == 0 || now.Sub(keeper.startedAt) < firstClaimDelay {
		return false
	}
	return len(keeper.environment.KeyedServices()) > 0 && len(keeper.environment.Upstreams()) > 0 && keeper.hasMajority()
}

// vacancyReason returns why another host should take over the keeper's role, or "" if it should not.
func (keeper *Keeper) vacancyReason(table spans.Table, now cherrykeel.Instant) string {
	if table.Incarnation == "" {
		return "there is no keeper"
	}
	if keeper.hasKeeperRestarted(table, now) {
		return "the keeper has restarted"
	}
	if keeper.isKeeperStoreless(table.Keeper, now) {
		if now.Sub(keeper.keeperStorelessSince) < storelessClaimDelay {
			return ""
		}
		return "the store is unavailable to the keeper"
	}
	silence, received := keeper.mesh.TimeSinceReport(table.Keeper)
	if !received {
		silence = min(now.Sub(keeper.startedAt)-firstClaimDelay, now.Sub(keeper.seenAt))
	}
	if silence < maxKeeperSilence {
		return ""
	}
	return "the keeper sends no reports"
}

// eraVacancyReason is vacancyReason while the role has not been claimed in the store's era. A host that knows the table
// from the copy alone waits until all upstreams and hosts have had time to write their records again, and one that knows
// of a later table leaves the claim to the host that has it.
func (keeper *Keeper) eraVacancyReason(table spans.Table, reason string, now cherrykeel.Instant) string {
	if keeper.eraUnclaimedSince == 0 {
		keeper.eraUnclaimedSince = now
	}
	unclaimed := now.Sub(keeper.eraUnclaimedSince)
	if reason == "" && unclaimed >= eraClaimDelay {
		reason = reasonRestored
	}
	isUnsettled := keeper.table.IsFromCopy() && keeper.environment.StoreAvailableFor() < keeper.environment.ReregistrationTime()
	leavesClaim := keeper.lacksTable(table) && unclaimed < betterKnowledgeDelay
	if isUnsettled || leavesClaim {
		return ""
	}
	return reason
}

// lacksTable reports whether another host has reported a later table than the one known here.
func (keeper *Keeper) lacksTable(table spans.Table) bool {
	for _, received := range keeper.mesh.Reports(maxVersionAge) {
		if received.Report.TableVersion() > table.Version {
			return true
		}
	}
	return false
}

// mayLackOwners reports whether upstreams may hold keys of which the table names other owners.
func (keeper *Keeper) mayLackOwners(table spans.Table, next int64) bool {
	return table.Uncertain || isEraUnclaimed(table, next) && (keeper.table.IsFromCopy() || keeper.lacksTable(table))
}

// hasKeeperRestarted reports whether the keeper's process is another incarnation than the table names. A table that is
// newer than the host's last announcement names the newer process, whose announcement is on its way.
func (keeper *Keeper) hasKeeperRestarted(table spans.Table, now cherrykeel.Instant) bool {
	incarnation, age, known := keeper.environment.PeerIncarnation(table.Keeper)
	if !known || incarnation == table.Incarnation {
		return false
	}
	tableAge := now.Sub(keeper.seenAt)
	return age <= tableAge || tableAge > maxAnnounceDelay
}

// isKeeperStoreless reports whether the keeper reports that the store is unavailable to it, while this host can use it.
// Such a keeper renews the existing grants, but cannot transfer a key from an upstream that leaves or crashes.
func (keeper *Keeper) isKeeperStoreless(holder string, now cherrykeel.Instant) bool {
	for _, received := range keeper.mesh.Reports(maxEvidenceAge) {
		if received.Report.Host != holder || received.Report.StoreAvailable {
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

// hasMajority reports whether this host receives reports from enough hosts to form a majority with them. Without one it
// would win the claim in the store, but could not grant anything.
func (keeper *Keeper) hasMajority() bool {
	received := 1 + len(keeper.mesh.Reports(maxEvidenceAge))
	return 2*received > keeper.mesh.HostCount()
}

func (keeper *Keeper) claim(ctx context.Context, table spans.Table, next int64, reason string) {
	claimed := table.ClaimedBy(keeper.self.Name, keeper.self.Incarnation, next)
	claimed.Uncertain = keeper.mayLackOwners(table, next)
	keeper.lastClaim = claimAttempt{offset: next, replacedTerm: table.Term}
	events.Log(keeper.logger, events.KeeperClaimed,
		zap.String("Reason", reason), zap.String("Before", table.Keeper), zap.Int64("OldTerm", table.Term), zap.Int64("At", next), zap.Int64("Version", table.Version), zap.Bool("Uncertain", claimed.Uncertain))
	keeper.writeTable(ctx, claimed, next)
}

// writeTable proposes a table at an offset; if the outcome is unknown, the next read of the table shows it.
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
			keeper.writeAfter = now.Add(conflictDelay)
			if !errors.Is(err, cherrykeel.ErrConflict) {
				keeper.writeAfter = now.Add(writeRetryDelay)
				events.Log(keeper.logger, events.WriteFailed, zap.Int64("At", at), zap.Error(err))
			}
			// A read shows whether the table was written, or which one was written instead.
			keeper.environment.RereadTable()
		}
	})
}

// writeResignation writes a table without a keeper, so that another host need not wait for maxKeeperSilence before it
// claims.
func (keeper *Keeper) writeResignation(ctx context.Context) {
	keeper.resigned = true
	table, next, known := keeper.table.Current()
	if !known || keeper.term < 0 || table.Keeper != keeper.self.Name {
		return
	}
	resigned := table.Clone()
	resigned.Incarnation = ""
	value, err := resigned.Encode()
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

// isConfirmed reports whether more than half of the hosts confirm that they know no newer term. It is checked before
// each grant: without it a keeper that was isolated or suspended would go on granting beside its successor.
func (keeper *Keeper) isConfirmed(term int64, now cherrykeel.Instant) bool {
	confirming, knowing := 1, 1
	for _, received := range keeper.mesh.Reports(maxEvidenceAge) {
		if received.Report.Term > term {
			return keeper.recordConfirmation(false, confirming)
		}
		if received.Report.Term >= 0 {
			confirming++
		}
		if received.Report.Term == term {
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

func (keeper *Keeper) recordConfirmation(confirmed bool, confirming int) bool {
	if !confirmed && !keeper.unconfirmed {
		events.Log(keeper.logger, events.KeeperUnconfirmed, zap.Int64("Term", keeper.term), zap.Int("Confirming", confirming), zap.Int("Hosts", keeper.mesh.HostCount()))
	}
	keeper.unconfirmed = !confirmed
	return confirmed
}

// boundEarlierLeases replaces the unknown ends of leases from earlier terms by an upper bound: the previous keeper
// stopped granting when its evidence had become too old, and its last grant ends after the longest lease.
func (keeper *Keeper) boundEarlierLeases(now cherrykeel.Instant) {
	if !keeper.majorityKnows {
		return
	}
	lastArrival := keeper.majorityKnowsSince.Add(maxEvidenceAge + maxReportDelay + maxArrivalDelay)
	until := spans.LatestLeaseEnd(lastArrival, keeper.bounds().MaxLeaseDuration)
	if keeper.unknownOwners != nil {
		keeper.unknownOwners.until = until
	}
	keeper.ledger.BoundUnknownLeases(until)
	for _, contact := range keeper.contacts {
		contact.boundUnknownLeases(until)
	}
}
