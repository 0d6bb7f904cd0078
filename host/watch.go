package host

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/keeper"
)

const (
	maintainInterval   = time.Second
	checkpointInterval = 2 * time.Second
	// staleAfter is how long a host stays ready while it can reach neither the log nor any peer.
	staleAfter = 5 * time.Second
)

// demandsForKeeper returns the demands of the services whose keeper is the given host.
func (coordinator *coordinator) demandsForKeeper(peer string, demands map[string]cherrykeel.Demand) map[string]cherrykeel.Demand {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	selected := map[string]cherrykeel.Demand{}
	for service, demand := range demands {
		if coordinator.state.Ownership[service].Keeper == peer {
			selected[service] = demand
		}
	}
	return selected
}

func (coordinator *coordinator) keeperOf(service string) string {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	return coordinator.state.Ownership[service].Keeper
}

// UnreadyReason returns why the host should get no requests from callers, or an empty string if it is ready.
func (host *Host) UnreadyReason() string {
	if host.stopping.Load() {
		return "the host is stopping"
	}
	if settingsError := host.settingsError.Load(); settingsError != nil {
		return "the settings in the log cannot be used: " + *settingsError
	}
	status := host.follower.Status()
	if !status.CaughtUp {
		return "not caught up with the log: " + status.Reason
	}
	if host.isCutOff(status.SinceLogReply) {
		return "neither the log nor any peer is reachable, so the settings may be stale"
	}
	return ""
}

// isCutOff reports whether the host may miss new settings: neither the log nor any peer has been reachable for
// staleAfter. A log that is unavailable to all hosts is no reason, since no new settings can be in force
// anywhere then.
func (host *Host) isCutOff(silence time.Duration) bool {
	if silence < staleAfter {
		return false
	}
	others := 0
	now := host.clock.Now()
	for _, peer := range host.roster.peers() {
		if peer.Name == host.config.Name {
			continue
		}
		others++
		if peer.ReceivedAt != 0 && now.Sub(peer.ReceivedAt) < staleAfter {
			return false
		}
	}
	return others > 0
}

// maintain closes expired connections, removes expired denials, updates metrics, and logs changes of the host's
// readiness and of the log's availability.
func (host *Host) maintain(context.Context) {
	host.connPool.CloseExpired()
	_ = host.denyList.RemoveExpired()
	host.denyList.UpdateMetrics(host.scope)
	host.logReadiness(host.UnreadyReason())
	host.logLogAvailability(host.follower.Status().LogUp)
	host.scope.Gauge("requests_in_flight").Update(float64(host.requests.count.Load()))
	host.scope.Gauge("log_next_offset").Update(float64(host.follower.Status().Next))
}

func (host *Host) logReadiness(reason string) {
	last := host.lastUnreadyReason.Swap(&reason)
	if last != nil && *last == reason {
		return
	}
	if reason == "" {
		events.Log(host.logger, events.HostReady)
		return
	}
	events.Log(host.logger, events.HostUnready, zap.String("Reason", reason))
}

func (host *Host) logLogAvailability(up bool) {
	if host.logWasAvailable.Swap(up) == up {
		return
	}
	event := events.LogUnavailable
	if up {
		event = events.LogAvailable
	}
	events.Log(host.logger, event)
}

// checkpoint appends a snapshot of the fold to the log, before the log's retention drops the records that it was folded
// from. Hosts further down in rank wait for more records, so usually only the first one writes.
func (host *Host) checkpoint(ctx context.Context) {
	state := host.follower.State()
	status := host.follower.Status()
	recordsSince := state.Next - max(state.CheckpointAt, 0)
	rank := host.checkpointRank()
	if !status.CaughtUp || !status.LogUp || recordsSince < int64(host.config.CheckpointRecords)*int64(2+rank)/2 {
		return
	}
	snapshot, err := state.Snapshot()
	if err == nil {
		record := host.coordinator.newRecord()
		record.Checkpoint = &snapshot
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		_, err = host.follower.Propose(ctx, record)
	}
	if err != nil {
		events.Log(host.logger, events.CheckpointFailed, zap.Error(err))
		return
	}
	events.Log(host.logger, events.CheckpointAppended, zap.Int64("Next", state.Next))
}

func (host *Host) checkpointRank() int {
	names := append(host.others(), host.config.Name)
	for rank, name := range keeper.RankByHash("checkpoint", names) {
		if name == host.config.Name {
			return rank
		}
	}
	return 0
}
