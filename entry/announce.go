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
	announcePause = 300 * time.Millisecond
	// longestAnnouncePause bounds the pauses while the store does not take the announcement: refused calls
	// have their price too, and the others miss this host for no longer than that after its return.
	longestAnnouncePause = 1200 * time.Millisecond
)

// announce tells the other hosts of this one, again if its record is dropped.
func (host *Host) announce(ctx context.Context) {
	value, err := watch.EncodePeer(host.self)
	if err != nil {
		events.Log(host.logger, events.WriteFailed, zap.Error(err))
		return
	}
	wait := announcePause
	written := int64(-1)
	for ctx.Err() == nil {
		life, _ := host.peerLife(host.self.Name)
		if life != host.self.Life && !host.stopping.Load() {
			offset, err := host.platform.Hosts.Put(ctx, host.self.Name, value)
			if err != nil {
				events.Log(host.logger, events.WriteFailed, zap.String("Key", host.self.Name), zap.Error(err))
				wait = min(2*wait, longestAnnouncePause)
			} else {
				wait = announcePause
				written = offset
				host.topics.hosts.Told([]cherrykeel.KeyedRecord{{Key: host.self.Name, Value: value, Offset: offset}})
				host.mesh.Tell(topicHosts, []cherrykeel.KeyedRecord{{Key: host.self.Name, Value: value, Offset: offset}}, share.NoChange)
			}
		}
		host.readBefore(written)
		pause(ctx, wait)
	}
}

// readBefore reads the hosts' records if there are any before this host's own that it does not know. Hosts that start at
// the same moment have read them before any had written its own, and nobody else may be there to tell them.
func (host *Host) readBefore(written int64) {
	if host.overdue(ownRecord, host.topics.hosts.Next()-1, written, host.clock.Now()) {
		host.topics.hosts.Nudge()
	}
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (host *Host) takePeers(peers []cherrykeel.Peer) {
	host.mutex.Lock()
	before := host.lives
	newcomers := false
	host.lives = map[string]string{}
	for _, peer := range peers {
		host.lives[peer.Name] = peer.Life
		newcomers = newcomers || before[peer.Name] != peer.Life
	}
	host.mutex.Unlock()
	host.mesh.SetPeers(peers)
	if host.coldUpstreams() > 0 {
		host.putUpstreamsInForce()
	}
	if newcomers {
		host.joined.ask()
	}
}

func (host *Host) peerLife(name string) (string, bool) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	life, known := host.lives[name]
	return life, known
}
