package host

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/keeper"
	"cherrykeel/member"
)

const (
	listInterval     = 500 * time.Millisecond
	announceInterval = 2 * time.Second
	listTimeout      = 2 * time.Second
)

// roster makes a member.Roster safe for concurrent use.
type roster struct {
	mutex           sync.Mutex
	members         *member.Roster
	listUnavailable bool
	// cachedPeers is the result of the last call of peers, or nil if the membership has changed since.
	cachedPeers []member.Peer
}

func (roster *roster) replaceSelf(self cherrykeel.Member) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.members = member.NewRoster(self)
	roster.cachedPeers = nil
}

func (roster *roster) setLeaving() {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.members.SetLeaving()
	roster.cachedPeers = nil
}

func (roster *roster) hasLeft(upstream string) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.members.HasLeft(upstream)
}

func (roster *roster) recordReport(report member.PeerReport, now cherrykeel.Instant) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.members.RecordReport(report, now)
	roster.cachedPeers = nil
}

// peers returns the entry hosts, sorted by name. The caller must not change the slice.
func (roster *roster) peers() []member.Peer {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if roster.cachedPeers == nil {
		roster.cachedPeers = roster.members.Peers()
	}
	return roster.cachedPeers
}

func (roster *roster) removedHosts() map[string]bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.members.RemovedHosts()
}

func (roster *roster) isDown(service, upstream string, now cherrykeel.Instant) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.members.IsDown(service, upstream, now)
}

func (roster *roster) isRefusing(service, upstream string, now cherrykeel.Instant) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.members.IsRefusing(service, upstream, now)
}

// hostCount returns the number of entry hosts that share the upstreams' slots, at least 1.
func (roster *roster) hostCount() int {
	return max(1, len(roster.peers()))
}

func (roster *roster) keeperHosts() []keeper.Host {
	var hosts []keeper.Host
	for _, peer := range roster.peers() {
		hosts = append(hosts, keeper.Host{Name: peer.Name, Zone: peer.Zone, Leaving: peer.Leaving})
	}
	return hosts
}

// internalAddress returns a peer's address for the protocol between hosts, or an empty string.
func (roster *roster) internalAddress(name string) string {
	for _, peer := range roster.peers() {
		if peer.Name == name {
			return peer.InternalAddress
		}
	}
	return ""
}

func (host *Host) refreshList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	members, err := host.hostList.Members(ctx)
	host.recordListResult(err)
	if err != nil {
		return
	}
	before := host.roster.hostCount()
	host.roster.mutex.Lock()
	host.roster.members.ApplyList(members, host.clock.Now())
	host.roster.cachedPeers = nil
	host.roster.mutex.Unlock()
	if host.roster.hostCount() != before {
		host.updateFleet()
	}
	host.updateSlotAllocatorHosts()
}

func (host *Host) recordListResult(err error) {
	host.roster.mutex.Lock()
	defer host.roster.mutex.Unlock()
	if err != nil && !host.roster.listUnavailable {
		events.Log(host.logger, events.HostListUnavailable, zap.Error(err))
	}
	host.roster.listUnavailable = err != nil
}

// announce puts this host on the platform's list. Its errors are ignored: refreshList logs that the list is unavailable.
func (host *Host) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	_ = host.hostList.Announce(ctx, host.listEntry())
}

// hasSuccessor reports whether another host that is reachable and not leaving could take over this host's roles.
func (host *Host) hasSuccessor() bool {
	for _, peer := range host.roster.peers() {
		recent := host.clock.Now().Sub(peer.ReceivedAt) < peerFreshFor
		if peer.Name != host.config.Name && !peer.Leaving && peer.ReceivedAt != 0 && recent {
			return true
		}
	}
	return false
}
