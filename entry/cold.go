package entry

import (
	"cherrykeel"
	"cherrykeel/cold"
)

// noteCold puts down until when an upstream is cold, and what this host may send it until then.
func (host *Host) setColdLimit(upstream *cherrykeel.Upstream) {
	routes, _ := host.routes.Current()
	service := routes.Services[upstream.Service]
	upstream.ColdUntil = max(upstream.ColdUntil, host.coldUntilAfterEvacuation(upstream.Zone, service))
	if service.SlowStartRate <= 0 || host.clock.Now() >= upstream.ColdUntil {
		return
	}
	bounds := host.currentBounds()
	bound := service.SlowStartRate*bounds.SlowStartFactor + bounds.SlowStartSlack
	upstream.HasColdLimit = true
	upstream.ColdQuota = cold.Quota(host.self.Name, host.hostNames(), upstream.ID, bound)
}

// coldSinceTakenBack is until when the upstreams of a zone that was taken back count as cold. Their entries say so a
// second later only, and in the meantime all callers would be sent to them.
func (host *Host) coldUntilAfterEvacuation(zone string, service cherrykeel.RoutedService) cherrykeel.Instant {
	state, ordered := host.zones.State(zone)
	if !ordered || state.Evacuated || state.FoundAtStart || service.SlowStartRate <= 0 {
		return 0
	}
	return state.Since.Add(service.SlowStart)
}

// knownHosts names the hosts that share what cold upstreams bear; none while this host does not know them.
func (host *Host) hostNames() []string {
	if !host.topics.hosts.HasRead() {
		return nil
	}
	host.mutex.Lock()
	defer host.mutex.Unlock()
	names := make([]string, 0, len(host.incarnations))
	for name := range host.incarnations {
		names = append(names, name)
	}
	return names
}

// coldUpstreams counts the upstreams that get only so many requests a second, of which this host may send a part.
func (host *Host) countColdUpstreams() int {
	now := host.clock.Now()
	count := 0
	for _, upstream := range host.usable.current() {
		if upstream.IsColdLimited(now) {
			count++
		}
	}
	return count
}
