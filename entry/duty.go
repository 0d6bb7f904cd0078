package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cherrykeel/events"
	"cherrykeel/share"
	"cherrykeel/topo"
	"cherrykeel/watch"
)

// One host reads the store closely and tells the others; each report of a host says how long ago it has
// read itself. The others read seldom, at once when another host reports a change that they have not been
// told of, and for themselves when nobody has read for a part of the bound within which a change has to be
// known. With each host reading for itself a quiet day cost 39 calls a second for 8 hosts, in this way 14.
// With a fixed second reader in place of the ages each reader that was lost cost its whole patience, one
// after the other, and two at once left eleven hosts sending work to an upstream for over 2 s after its leave.
const (
	// settingsWait bounds a waiting read of the settings, as a part of the time in which they have to be in
	// force: a change is known at once, and the read's end shows the others that it goes on.
	settingsWaitShare = 0.3
	// upstreamsPace is the pace of reads of the upstreams' entries, which change with each heartbeat, as a
	// part of the time in which a leaving upstream may still get work.
	upstreamsIntervalShare = 0.2
	// seldomPace is the pace of what others tell, and report the newest offset of, among up to fewHosts hosts; it counts
	// only when all their messages are lost. Among more each reads the more seldom: what one of them finds it reports,
	// and at one pace for all 195 hosts made 26 calls a second in which nothing was found.
	fallbackInterval = 30 * time.Second
	fewHosts         = topo.MaxFullMeshHosts
	// mostPatience is by how much the waits of hosts far down the order are longer while the store is away: 195 hosts
	// made 800 calls a second that failed. They wait up to 2 s then, and are told by those who try each 0.5 s.
	maxBackoffFactor = 4
	// keeperPace is the pace of the keeper's reads of its table, of which it tells all others itself. One that
	// the store no longer serves moves no keys, and another one takes over a second after it has said so.
	keeperInterval = 2 * time.Second
	// keeperLook is how soon a host that has become the keeper reads its table at that pace. It has just written it.
	keeperRecheckInterval = 500 * time.Millisecond
	// goneAfter is when the record of a silent host is dropped; cuts and freezes of up to 12 s are known,
	// but a host that is back announces itself again at once.
	removeAfter = 8 * time.Second
	// aloneAfter is the same for a host that hears nobody, which is more likely cut off itself.
	isolatedRemoveAfter = 20 * time.Second
	removeInterval      = time.Second
	// hearingTime is within what a host that has started hears from others, which report each 500 ms.
	firstReportsTime = time.Second
)

// rank is the host's place among those whom the store serves. A host that hears nobody is first, but not while it
// has just started: it has read all topics then, and each of 195 hosts made the first host's calls.
func (host *Host) rank() int {
	if host.clock.Now().Sub(host.started) < firstReportsTime && len(host.mesh.FreshReports()) == 0 {
		return 1
	}
	return host.mesh.Rank(func(report share.Report) bool { return report.StoreAvailable })
}

// patience is how much more seldom than the first hosts this one tries to reach a store that is away. Those that hear
// from all are quick, whichever they are after a loss, and so is the keeper: a host that is back sooner would claim its duty.
func (host *Host) backoffFactor() int {
	if host.isKeeper() || host.mesh.HubDuration() > 0 || host.mesh.Position() < fewHosts {
		return 1
	}
	return maxBackoffFactor
}

// keeps reports whether this host is the keeper.
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

// schedule returns the first host's schedule to that one, and lets the others read when what they know is
// too old for the bound.
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

// seldom is the pace at which a host of so many looks whether it has missed what others tell.
func fallbackIntervalOf(hosts int) time.Duration {
	return fallbackInterval * time.Duration(max(hosts, fewHosts)) / fewHosts
}

// age returns how old the youngest state of a topic is that this host knows: from a read of its own, or of
// another host that knows of no newer change. One that does makes this host read at once (heard).
func (host *Host) stateAge(topic *watch.Follower, name string) time.Duration {
	youngest, known := topic.Age()
	if !known {
		return fallbackInterval
	}
	own := host.completeOffsets()[name]
	for _, received := range host.mesh.FreshReports() {
		age, isReported := received.Report.Ages[name]
		if isReported && received.Report.Offsets[name] <= own {
			youngest = min(youngest, age+host.clock.Now().Sub(received.ReceivedAt))
		}
	}
	return youngest
}

func shareOf(bound time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(bound))
}

// tableSchedule is closer at the keeper, for whom no other host could notice that its store calls hang.
func (host *Host) tableSchedule() watch.Schedule {
	if host.isKeeper() {
		return watch.Schedule{Interval: keeperInterval, RecheckInterval: keeperRecheckInterval}
	}
	return watch.Schedule{Interval: fallbackIntervalOf(host.mesh.HostCount()), RecheckInterval: keeperRecheckInterval, BackoffFactor: host.backoffFactor()}
}

// dropSilent takes away the records of hosts that have been silent for long; one host does so for all.
// More than half of the hosts may be lost for good, and without this no keeper would be confirmed again.
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
		// Before this host became one that hears from all, silence said nothing.
		silence = min(silence, host.mesh.HubDuration())
		if peer.Name == host.self.Name || silence < threshold {
			continue
		}
		_, err := host.platform.Hosts.Put(ctx, peer.Name, nil)
		events.Log(host.logger, events.PeerDropped, zap.String("Host", peer.Name), zap.Duration("Silence", silence), zap.Error(err))
	}
}
