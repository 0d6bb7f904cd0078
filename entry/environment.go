package entry

import (
	"time"

	"cherrykeel"
	"cherrykeel/share"
	"cherrykeel/spans"
	"cherrykeel/watch"
)

// reregistrationHeartbeats is how many heartbeats after the store's return each running upstream has written its entry.
const reregistrationHeartbeats = 2

// environment gives the keeper access to the state of its host.
type environment struct {
	host *Host
}

// KeyedServices implements grants.Environment.
func (environment *environment) KeyedServices() []cherrykeel.RoutedService {
	routes, known := environment.host.routes.Current()
	if !known {
		return nil
	}
	var keyed []cherrykeel.RoutedService
	for _, service := range routes.Services {
		if service.Keyed {
			keyed = append(keyed, service)
		}
	}
	return keyed
}

// Upstreams implements grants.Environment.
func (environment *environment) Upstreams() []cherrykeel.Upstream {
	return environment.host.appliedUpstreams.current()
}

// HasEnded implements grants.Environment.
func (environment *environment) HasEnded(id, address string) bool {
	return environment.host.upstreams.HasEnded(id, address)
}

// HasOther implements grants.Environment.
func (environment *environment) HasOther(id, address string) bool {
	return environment.host.upstreams.HasOther(id, address)
}

// NotifyEnded implements grants.Environment.
func (environment *environment) NotifyEnded(upstream cherrykeel.Upstream) {
	environment.host.upstreams.MarkEnded(upstream)
}

// RereadTable implements grants.Environment.
func (environment *environment) RereadTable() {
	environment.host.topics.spans.TriggerRead()
}

// StoreAvailableFor implements grants.Environment.
func (environment *environment) StoreAvailableFor() time.Duration {
	if !environment.host.topics.spans.HasRead() {
		return 0
	}
	return environment.host.storeAvailableFor()
}

// ReregistrationTime implements grants.Environment.
func (environment *environment) ReregistrationTime() time.Duration {
	heartbeat := environment.host.settings.Heartbeat
	if heartbeat <= 0 {
		return watch.ReregistrationTime
	}
	return min(watch.ReregistrationTime, reregistrationHeartbeats*heartbeat)
}

// IsResting implements grants.Environment.
func (environment *environment) IsResting(id string) bool {
	upstream, known := environment.findUpstream(id)
	return known && environment.host.relay.IsResting(upstream)
}

// RecordRest implements grants.Environment.
func (environment *environment) RecordRest(id string, duration time.Duration) {
	upstream, known := environment.findUpstream(id)
	if known {
		environment.host.relay.RecordRest(upstream, duration)
	}
}

// LinkLostFor implements grants.Environment.
func (environment *environment) LinkLostFor(address string) time.Duration {
	return environment.host.dialer.LostFor(address)
}

// IsLinkUncertain implements grants.Environment.
func (environment *environment) IsLinkUncertain(address string) bool {
	return environment.host.dialer.IsUntold(address)
}

// findUpstream returns the present incarnation of an upstream.
func (environment *environment) findUpstream(id string) (cherrykeel.Upstream, bool) {
	for _, upstream := range environment.Upstreams() {
		if upstream.ID == id {
			return upstream, true
		}
	}
	return cherrykeel.Upstream{}, false
}

// PeerIncarnation implements grants.Environment.
func (environment *environment) PeerIncarnation(name string) (string, time.Duration, bool) {
	incarnation, known := environment.host.peers.Incarnation(name)
	return incarnation, environment.host.peers.RecordAge(name), known
}

// Rank implements grants.Environment.
func (environment *environment) Rank() int {
	return environment.host.mesh.Rank(func(share.Report) bool { return true })
}

// ownTable is the keeper's view of the table; what the keeper writes counts as read and is announced.
type ownTable struct {
	host *Host
}

// Current implements grants.Table.
func (table *ownTable) Current() (spans.Table, int64, bool) {
	return table.host.spans.Current()
}

// IsCorrupt implements grants.Table.
func (table *ownTable) IsCorrupt() bool {
	return table.host.spans.IsCorrupt()
}

// IsFromCopy implements grants.Table.
func (table *ownTable) IsFromCopy() bool {
	return table.host.spans.IsFromCopy()
}

// ApplyOwnWrite implements grants.Table.
func (table *ownTable) ApplyOwnWrite(value []byte, offset int64) {
	record := cherrykeel.KeyedRecord{Key: watch.SpansKey, Value: value, Offset: offset}
	before, _, _ := table.host.spans.Current()
	table.host.topics.spans.ApplyReceived([]cherrykeel.KeyedRecord{record})
	after, _, _ := table.host.spans.Current()
	if after.Version == offset {
		table.host.announceSpans(after.Diff(before), before.Version)
	}
}
