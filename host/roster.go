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
	listPause     = 500 * time.Millisecond
	announcePause = 2 * time.Second
	listTimeout   = 2 * time.Second
)

// roster guards the membership with a lock.
type roster struct {
	mutex sync.Mutex
	view  *member.Roster
	lost  bool
	// cached is the last answer of peers, until the view changes.
	cached []member.Peer
}

func (roster *roster) replaceSelf(self cherrykeel.Member) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.view = member.NewRoster(self)
	roster.cached = nil
}

func (roster *roster) setLeaving() {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.view.SetLeaving()
	roster.cached = nil
}

func (roster *roster) left(upstream string) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.view.HasLeft(upstream)
}

func (roster *roster) hear(word member.PeerReport, now cherrykeel.Instant) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.view.RecordReport(word, now)
	roster.cached = nil
}

// peers returns the entry hosts, by name; the slice must not be changed.
func (roster *roster) peers() []member.Peer {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if roster.cached == nil {
		roster.cached = roster.view.Peers()
	}
	return roster.cached
}

func (roster *roster) gone() map[string]bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.view.Gone()
}

func (roster *roster) down(service, upstream string, now cherrykeel.Instant) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.view.IsDown(service, upstream, now)
}

func (roster *roster) refusing(service, upstream string, now cherrykeel.Instant) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.view.IsRefusing(service, upstream, now)
}

// activeHosts counts the entry hosts among which upstreams' slots are shared.
func (roster *roster) activeHosts() int {
	return max(1, len(roster.peers()))
}

func (roster *roster) hosts() []keeper.Host {
	var hosts []keeper.Host
	for _, peer := range roster.peers() {
		hosts = append(hosts, keeper.Host{Name: peer.Name, Zone: peer.Zone, Leaving: peer.Leaving})
	}
	return hosts
}

// inner returns a peer's address for the inner protocol, or an empty string.
func (roster *roster) inner(name string) string {
	for _, peer := range roster.peers() {
		if peer.Name == name {
			return peer.Inner
		}
	}
	return ""
}

func (host *Host) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	members, err := host.list.Members(ctx)
	host.noteList(err)
	if err != nil {
		return
	}
	before := host.roster.activeHosts()
	host.roster.mutex.Lock()
	host.roster.view.ApplyList(members, host.clock.Now())
	host.roster.cached = nil
	host.roster.mutex.Unlock()
	if host.roster.activeHosts() != before {
		host.updateFleet()
	}
	host.rankStewards()
}

func (host *Host) noteList(err error) {
	host.roster.mutex.Lock()
	defer host.roster.mutex.Unlock()
	if err != nil && !host.roster.lost {
		events.Log(host.logger, events.HostListUnavailable, zap.Error(err))
	}
	host.roster.lost = err != nil
}

// announce puts this host on the platform's list; a failure shows in readList already.
func (host *Host) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	_ = host.list.Announce(ctx, host.member())
}

// hasSuccessor reports whether another host could take over this host's roles.
func (host *Host) hasSuccessor() bool {
	for _, peer := range host.roster.peers() {
		recent := host.clock.Now().Sub(peer.ReceivedAt) < peerAge
		if peer.Name != host.config.Name && !peer.Leaving && peer.ReceivedAt != 0 && recent {
			return true
		}
	}
	return false
}
