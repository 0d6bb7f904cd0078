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
	announceInterval = 300 * time.Millisecond
	// longestAnnouncePause bounds the pauses while the store does not take the announcement: refused calls
	// have their price too, and the others miss this host for no longer than that after its return.
	maxAnnounceInterval = 1200 * time.Millisecond
	// peersPace bounds how often a changed list of hosts is put in force. When all hosts start at once each hears of all
	// others one by one, and 195 lists put in force took 107 ms of a core, two thirds of a second of a small host's, in
	// which it was not ready. Loads and reports are sent each 80 ms at the soonest, so that none waits for it.
	peersInterval = 50 * time.Millisecond
)

// announce tells the other hosts of this one, again if its record is dropped.
func (host *Host) announceSelf(ctx context.Context) {
	value, err := watch.EncodePeer(host.self)
	if err != nil {
		events.Log(host.logger, events.WriteFailed, zap.Error(err))
		return
	}
	interval := announceInterval
	written := int64(-1)
	for ctx.Err() == nil {
		incarnation, _ := host.peers.Incarnation(host.self.Name)
		if incarnation != host.self.Incarnation && !host.stopping.Load() {
			offset, err := host.platform.Hosts.Put(ctx, host.self.Name, value)
			if err != nil {
				events.Log(host.logger, events.WriteFailed, zap.String("Key", host.self.Name), zap.Error(err))
				interval = min(2*interval, maxAnnounceInterval)
			} else {
				interval = announceInterval
				written = offset
				host.topics.hosts.ApplyReceived([]cherrykeel.KeyedRecord{{Key: host.self.Name, Value: value, Offset: offset}})
				host.mesh.Announce(topicHosts, []cherrykeel.KeyedRecord{{Key: host.self.Name, Value: value, Offset: offset}}, share.NoPreviousChange)
			}
		}
		host.readEarlierHosts(written)
		sleepContext(ctx, interval)
	}
}

// readBefore reads the hosts' records if there are any before this host's own that it does not know. Hosts that start at
// the same moment have read them before any had written its own, and nobody else may be there to tell them.
func (host *Host) readEarlierHosts(written int64) {
	if host.isReadDue(ownRecord, host.topics.hosts.NextOffset()-1, written, host.clock.Now()) {
		host.topics.hosts.TriggerRead()
	}
}

func sleepContext(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// putPeersInForce passes on the hosts there are. Calls follow each other, so that the last one knows all changes.
func (host *Host) applyPeers() {
	host.peersMutex.Lock()
	defer host.peersMutex.Unlock()
	peers := host.peers.Current()
	newcomers := host.recordIncarnations(peers)
	host.mesh.SetPeers(peers)
	if host.countColdUpstreams() > 0 {
		host.applyUpstreams()
	}
	if newcomers {
		host.newcomersThrottle.trigger()
	}
}

// takeLives notes the hosts' lives, and reports whether there are new ones among them.
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
