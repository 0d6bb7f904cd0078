package entry

import (
	"cherrykeel"
	"cherrykeel/cold"
)

// setColdLimit sets until when an upstream is cold, and how much this host may send it until then.
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

// coldUntilAfterEvacuation returns until when the upstreams of a zone count as cold after its evacuation has ended.
// Their entries show that they are cold only a second later; until then they would get the requests of all callers.
func (host *Host) coldUntilAfterEvacuation(zone string, service cherrykeel.RoutedService) cherrykeel.Instant {
	state, ordered := host.zones.State(zone)
	if !ordered || state.Evacuated || state.FoundAtStart || service.SlowStartRate <= 0 {
		return 0
	}
	return state.Since.Add(service.SlowStart)
}

// hostNames returns the hosts that share the rate limits of cold upstreams; none until this host has read their list.
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

// countColdUpstreams returns how many upstreams are cold and have a rate limit, of which this host has a quota.
func (host *Host) countColdUpstreams() int {
	now := host.clock.Now()
	count := 0
	for _, upstream := range host.appliedUpstreams.current() {
		if upstream.IsColdLimited(now) {
			count++
		}
	}
	return count
}
