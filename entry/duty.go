package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/share"
	"cherrykeel/topo"
	"cherrykeel/watch"
)

// One host reads the store frequently and announces the changes to the others; each report of a host has the ages of
// its own last reads. The other hosts read rarely. In addition, they read when another host reports a change whose
// announcement they have not received, and when no host has read for a certain share of the bound within which a change
// has to be known. When each host read for itself, a quiet day cost 39 calls a second for 8 hosts, and this way 14.
// With a fixed second reader instead of the ages, each lost reader cost its whole timeout, one after the other; after
// two were lost at once, eleven hosts sent requests to an upstream for over 2 s after it had left.
const (
	// settingsWaitShare bounds a waiting read of the settings, as a share of the time in which they have to be in
	// force: a change is received at once, and the end of the read shows the other hosts that the reads go on.
	settingsWaitShare = 0.3
	// upstreamsIntervalShare is the interval between reads of the upstreams' entries, which change with each heartbeat,
	// as a share of the time in which a leaving upstream may still get requests.
	upstreamsIntervalShare = 0.2
	// fallbackInterval is the interval, with up to fewHosts hosts, between reads of a topic whose changes other hosts
	// announce and whose newest offset they report; these reads matter only if all of their messages are lost. With
	// more hosts, each reads less often: any of them reports what it finds, and with one interval for all, 195 hosts
	// made 26 calls a second that found nothing.
	fallbackInterval = 30 * time.Second
	fewHosts         = topo.MaxFullMeshHosts
	// maxBackoffFactor multiplies the waits of hosts far down the order while the store is unavailable: 195 hosts made
	// 800 failing calls a second. They wait up to 2 s, and receive announcements of the hosts that retry each 0.5 s.
	maxBackoffFactor = 4
	// keeperInterval is the interval between the keeper's reads of its table, whose changes it announces to all others
	// itself. A keeper that the store no longer serves transfers no keys, and another host takes over a second after
	// the keeper has reported that.
	keeperInterval = 2 * time.Second
	// keeperRecheckInterval is how soon a host that has become the keeper adopts that interval; it has just written the
	// table.
	keeperRecheckInterval = 500 * time.Millisecond
	// removeAfter is when the record of an unreachable host is removed; there are network cuts and suspensions of up to
	// 12 s, but a host that is back announces itself again at once.
	removeAfter = 8 * time.Second
	// isolatedRemoveAfter is the same for a host that receives no reports at all, which is more likely cut off itself.
	isolatedRemoveAfter = 20 * time.Second
	// removeInterval is how often records that are too old and idle connections are removed.
	removeInterval = time.Second
	// firstReportsTime is the time within which a host that has started receives reports of the others, which send one
	// each 500 ms.
	firstReportsTime = time.Second
)

// rank returns this host's place among those for which the store is available. A host that receives no reports is
// first, but not if it has just started: it has read all topics then, and each of 195 hosts made the calls of the first
// host.
func (host *Host) rank() int {
	if host.clock.Now().Sub(host.started) < firstReportsTime && len(host.mesh.FreshReports()) == 0 {
		return 1
	}
	return host.mesh.Rank(func(report share.Report) bool { return report.StoreAvailable })
}

// backoffFactor returns how much longer than the first hosts this one waits between attempts to reach an unavailable
// store. Hubs do not wait longer, nor do the first hosts of the order, from which hubs come after a loss, nor does the
// keeper: a host that reaches the store earlier would claim its role.
func (host *Host) backoffFactor() int {
	if host.isKeeper() || host.mesh.HubDuration() > 0 || host.mesh.Position() < fewHosts {
		return 1
	}
	return maxBackoffFactor
}

// isKeeper reports whether this host is the keeper.
func (host *Host) isKeeper() bool {
	table, _, known := host.spans.Current()
	return known && table.Keeper == host.self.Name && table.Incarnation == host.self.Incarnation
}

func (host *Host) settingsSchedule() watch.Schedule {
	bound := host.currentBounds().MaxSettingsDelay
	return host.schedule(host.topics.operator, topicSettings, bound, watch.Schedule{Wait: shareOf(bound, settingsWaitShare)})
}

func (host *Host) upstreamsSchedule() watch.Schedule {
	bound := host.currentBounds().Drain
	return host.schedule(host.topics.upstreams, topicUpstreams, bound, watch.Schedule{Interval: shareOf(bound, upstreamsIntervalShare)})
}

// schedule returns the schedule named first if this host is the first one. Any other host reads rarely, or at once when
// its state of the topic is too old for the bound.
func (host *Host) schedule(topic *watch.Follower, name string, bound time.Duration, first watch.Schedule) watch.Schedule {
	rank := host.rank()
	schedule := watch.Schedule{Interval: fallbackIntervalOf(host.mesh.HostCount())}
	switch {
	case rank == 0:
		schedule = first
	case watch.IsReadOverdue(bound, rank, host.stateAge(topic, name)):
		schedule.Interval = 0
	}
	schedule.BackoffFactor = host.backoffFactor()
	return schedule
}

// fallbackIntervalOf returns the interval between the fallback reads of each host, given the number of hosts.
func fallbackIntervalOf(hosts int) time.Duration {
	return fallbackInterval * time.Duration(max(hosts, fewHosts)) / fewHosts
}

// stateAge returns the age of the newest state of a topic that this host has: from a read of its own, or of another
// host that reports no newer change. A host that reports one makes this host read soon (checkReports).
func (host *Host) stateAge(topic *watch.Follower, name string) time.Duration {
	youngest, known := topic.Age()
	if !known {
		return fallbackInterval
	}
	own := host.completeOffsets()[name]
	era, _ := topic.Era()
	for _, received := range host.mesh.FreshReports() {
		age, isReported := received.Report.Ages[name]
		// A host that has not read the store since it came back from a copy reports ages of what has been replaced.
		reported := received.Report.Offsets[name]
		if isReported && reported <= own && cherrykeel.EraOf(reported) == era {
			youngest = min(youngest, age+host.clock.Now().Sub(received.ReceivedAt))
		}
	}
	return youngest
}

// shareOf returns a share of a bound.
func shareOf(bound time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(bound))
}

// tableSchedule returns the schedule of the topics of spans and hosts. Its interval is shorter on the keeper, since no
// other host could notice that the keeper's calls to the store hang.
func (host *Host) tableSchedule() watch.Schedule {
	if host.isKeeper() {
		return watch.Schedule{Interval: keeperInterval, RecheckInterval: keeperRecheckInterval}
	}
	return watch.Schedule{Interval: fallbackIntervalOf(host.mesh.HostCount()), RecheckInterval: keeperRecheckInterval, BackoffFactor: host.backoffFactor()}
}

// removeUnreachable removes the records of hosts that have been unreachable for long; one host does so for all. More
// than half of the hosts may be lost for good, and no keeper would be confirmed again otherwise.
func (host *Host) removeUnreachable(ctx context.Context, uptime time.Duration) {
	if host.rank() > 0 || host.topics.upstreams.AvailableFor() < removeAfter/2 || host.stopping.Load() {
		return
	}
	threshold := removeAfter
	if len(host.mesh.FreshReports()) == 0 {
		threshold = isolatedRemoveAfter
	}
	for _, peer := range host.peers.Current() {
		silence, hasReported := host.mesh.TimeSinceReport(peer.Name)
		if !hasReported {
			silence = min(uptime, host.peers.RecordAge(peer.Name))
		}
		// Before this host became a hub, it did not receive the reports of all hosts.
		silence = min(silence, host.mesh.HubDuration())
		if peer.Name == host.self.Name || silence < threshold {
			continue
		}
		_, err := host.platform.Hosts.Put(ctx, peer.Name, nil)
		events.Log(host.logger, events.PeerDropped, zap.String("Host", peer.Name), zap.Duration("Silence", silence), zap.Error(err))
	}
}
