package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/share"
	"cherrykeel/watch"
)

const (
	// announceInterval is how often a host checks that the list of hosts has its record.
	announceInterval = 300 * time.Millisecond
	// maxAnnounceInterval bounds the interval while the store does not accept the announcement: refused calls have a
	// cost too, and the others lack this host for no longer than that after the store's return.
	maxAnnounceInterval = 1200 * time.Millisecond
	// peersInterval bounds how often a changed list of hosts is applied. When all hosts start at once, each receives
	// the announcements of all others one by one; applying 195 lists took 107 ms of a core, two thirds of a second on a
	// small host, which was not ready meanwhile. Loads and reports are sent at intervals of 80 ms or more, so none of
	// them is delayed by it.
	peersInterval = 50 * time.Millisecond
)

// announceSelf writes this host's record to the store and sends it to the other hosts, again whenever the record is
// missing.
func (host *Host) announceSelf(ctx context.Context) {
	value, err := watch.EncodePeer(host.self)
	if err != nil {
		events.Log(host.logger, events.WriteFailed, zap.Error(err))
		return
	}
	interval := announceInterval
	written := int64(-1)
	mustRepeat := false
	for ctx.Err() == nil {
		if mustRepeat {
			// When the record was written, this host may not have read yet which other hosts there are.
			mustRepeat = false
			host.sendOwnRecord(value, written)
		}
		incarnation, _ := host.peers.Incarnation(host.self.Name)
		isMissing := host.mustAnnounce.Swap(false) || incarnation != host.self.Incarnation
		if isMissing && !host.stopping.Load() {
			offset, err := host.platform.Hosts.Put(ctx, host.self.Name, value)
			if err != nil {
				events.Log(host.logger, events.WriteFailed, zap.String("Key", host.self.Name), zap.Error(err))
				interval = min(2*interval, maxAnnounceInterval)
				host.mustAnnounce.Store(true)
			} else {
				interval = announceInterval
				written = offset
				mustRepeat = true
				host.topics.hosts.ApplyReceived([]cherrykeel.KeyedRecord{{Key: host.self.Name, Value: value, Offset: offset}})
				host.sendOwnRecord(value, offset)
			}
		}
		host.readEarlierHosts(written)
		sleepContext(ctx, interval)
	}
}

// sendOwnRecord sends this host's record to the other hosts.
func (host *Host) sendOwnRecord(value []byte, offset int64) {
	record := cherrykeel.KeyedRecord{Key: host.self.Name, Value: value, Offset: offset}
	host.mesh.Announce(topicHosts, []cherrykeel.KeyedRecord{record}, share.NoPreviousChange)
}

// readEarlierHosts triggers a read of the hosts' topic if it has records before this host's own that this host lacks.
// Hosts that start at the same moment have read the topic before any of them had written its own record, and there may
// be no other host to announce the records.
func (host *Host) readEarlierHosts(written int64) {
	if host.isReadDue(ownRecord, host.topics.hosts.NextOffset()-1, written, host.clock.Now()) {
		host.topics.hosts.TriggerRead()
	}
}

// sleepContext waits until the time has passed or the context has ended.
func sleepContext(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// applyPeers puts the current list of hosts in force. Calls are serialized, so that the last one has all changes.
func (host *Host) applyPeers() {
	host.peersMutex.Lock()
	defer host.peersMutex.Unlock()
	peers := host.peers.Current()
	newcomers := host.recordIncarnations(peers)
	host.mesh.SetPeers(peers)
	host.dialer.SetPeers(peers)
	if host.countColdUpstreams() > 0 {
		host.applyUpstreams()
	}
	if newcomers {
		host.newcomersThrottle.trigger()
	}
}

// recordIncarnations records the hosts' incarnations and reports whether there are new ones among them.
func (host *Host) recordIncarnations(peers []cherrykeel.Peer) bool {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	before := host.incarnations
	newcomers := false
	host.incarnations = map[string]string{}
	for _, peer := range peers {
		host.incarnations[peer.Name] = peer.Incarnation
		newcomers = newcomers || before[peer.Name] != peer.Incarnation
	}
	return newcomers
}
