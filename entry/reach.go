package entry

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/reach"
	"cherrykeel/share"
	"cherrykeel/tunnel"
)

const (
	// tunnelShare is the share of the descriptors that connections for other hosts may take.
	tunnelShare = 0.25
	// tunnelDescriptors is how many descriptors a connection for another host takes.
	tunnelDescriptors = 2
	// minTunnels is how many connections for other hosts are possible at least.
	minTunnels = 16
)

// newTunnels creates what opens connections to upstreams, for this host and for others.
func (host *Host) newTunnels() {
	host.dialer = tunnel.NewDialer(tunnel.Settings{
		Self: host.self, Clock: host.clock, Logger: host.logger, Scope: host.scope, Dial: host.dial, UserTimeout: userTimeout,
		FindUpstream: host.appliedUpstreams.findAddress, ShortName: share.ShortName, FindOthers: host.appliedUpstreams.findOthers,
		OnLost: host.handleLostLink, OnRestored: host.handleRestoredLink,
	})
	descriptors := tunnelShare * float64(host.settings.MaxDescriptors)
	host.tunnels = tunnel.NewServer(host.dialer, max(minTunnels, int(descriptors)/tunnelDescriptors))
}

// handleLostLink makes the pool let go of what a lost link explains.
func (host *Host) handleLostLink(address string, silent bool) {
	host.conns.ForgetLosses()
	if silent {
		host.conns.BreakSilent(address)
	}
}

// handleRestoredLink makes orders use new connections, which are direct again.
func (host *Host) handleRestoredLink() {
	idle, ok := host.granter.(interface{ CloseIdleConnections() })
	if ok {
		idle.CloseIdleConnections()
	}
}

// listenForTunnels opens the socket for connections of other hosts to upstreams, beside that for their messages.
func (host *Host) listenForTunnels() error {
	listener, err := net.Listen("tcp", host.self.InternalAddress)
	if err != nil {
		return errors.WithStack(err)
	}
	go host.tunnels.Serve(listener)
	return nil
}

// fillReach reports which upstreams this host does not reach itself, and whether it stops.
func (host *Host) fillReach(report *share.Report) {
	report.Unreached, report.UnreachedCount = host.dialer.Unreached()
	report.Stopping = host.stopping.Load()
}

// updateStatuses passes on what the other hosts have reported of their links. While this host receives the reports of
// all hosts, one that no longer reports counts as silent.
func (host *Host) updateStatuses() {
	statuses := map[string]reach.Status{}
	receivesAll := host.mesh.HubDuration() > 0
	for _, peer := range host.peers.Current() {
		_, reported := host.mesh.TimeSinceReport(peer.Name)
		if receivesAll && reported {
			statuses[peer.Name] = reach.Status{Silent: true}
		}
	}
	for _, received := range host.mesh.FreshReports() {
		report := received.Report
		statuses[report.Host] = reach.Status{
			Stopping: report.Stopping || report.Stopped, Unreached: report.Unreached, Overflow: report.UnreachedCount > len(report.Unreached),
		}
	}
	host.dialer.SetStatuses(statuses)
}

// updateReachGauges shows how many upstreams this host does not reach itself, and the connections to upstreams that go
// through each other host, or through this one for each.
func (host *Host) updateReachGauges() {
	_, unreached := host.dialer.Unreached()
	host.scope.Gauge("unreached_upstreams").Update(float64(unreached))
	host.updateTunnelGauges("tunnels_through", host.dialer.Tunnels())
	host.updateTunnelGauges("tunnels_for", host.tunnels.Tunnels())
}

// updateTunnelGauges shows a count for each other host, 0 for those that have none any more.
func (host *Host) updateTunnelGauges(name string, counts map[string]int) {
	for _, peer := range host.peers.Current() {
		count := counts[peer.Name]
		if count == 0 && !host.shownTunnels[name+peer.Name] {
			continue
		}
		host.shownTunnels[name+peer.Name] = true
		host.scope.Tagged(map[string]string{"host": peer.Name}).Gauge(name).Update(float64(count))
	}
}

// findAddress returns the upstream with an address.
func (upstreamList *upstreamList) findAddress(address string) (cherrykeel.Upstream, bool) {
	index := upstreamList.byAddress.Load()
	if index == nil {
		return cherrykeel.Upstream{}, false
	}
	upstream, listed := (*index)[address]
	return upstream, listed
}

// findOthers returns the addresses of selected upstreams, up to a number of them. They begin at a random place of the
// list, so that many checks spread.
func (upstreamList *upstreamList) findOthers(limit int, isSelected func(upstream cherrykeel.Upstream) bool) []string {
	list := upstreamList.current()
	var addresses []string
	if len(list) == 0 {
		return addresses
	}
	begin := rand.IntN(len(list))
	for i := range list {
		other := list[(begin+i)%len(list)]
		if len(addresses) < limit && isSelected(other) {
			addresses = append(addresses, other.Address)
		}
	}
	return addresses
}

// store replaces the list. Of several upstreams with one address, the one that was listed with it before keeps it: an entry
// of another writer must not stand for the upstream that runs there.
func (upstreamList *upstreamList) store(list []cherrykeel.Upstream) {
	byAddress := make(map[string]cherrykeel.Upstream, len(list))
	for _, upstream := range list {
		known, _ := upstreamList.findAddress(upstream.Address)
		_, taken := byAddress[upstream.Address]
		if !taken || known.ID == upstream.ID {
			byAddress[upstream.Address] = upstream
		}
	}
	upstreamList.list.Store(&list)
	upstreamList.byAddress.Store(&byAddress)
}

// awaitTunnels returns when no connection of another host goes through this one any more, or the channel is closed.
func (host *Host) awaitTunnels(end <-chan struct{}) {
	for host.tunnels.Total() > 0 {
		select {
		case <-end:
			events.Log(host.logger, events.TunnelsLeft, zap.Int("Tunnels", host.tunnels.Total()))
			return
		default:
			time.Sleep(stopPollInterval)
		}
	}
}
