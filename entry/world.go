package entry

import (
	"time"

	"cherrykeel"
	"cherrykeel/share"
	"cherrykeel/spans"
	"cherrykeel/watch"
)

// world shows the keeper what its host knows.
type world struct {
	host *Host
}

// KeyedServices implements grants.World.
func (world *world) KeyedServices() []cherrykeel.RoutedService {
	routes, known := world.host.routes.Current()
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

// Upstreams implements grants.World.
func (world *world) Upstreams() []cherrykeel.Upstream {
	return world.host.usable.current()
}

// IsReplaced implements grants.World.
func (world *world) IsReplaced(id, address string) bool {
	return world.host.upstreams.IsReplaced(id, address)
}

// NotifyEnded implements grants.World.
func (world *world) NotifyEnded(id string) {
	world.host.upstreams.MarkEnded(id)
}

// RereadTable implements grants.World.
func (world *world) RereadTable() {
	world.host.topics.spans.TriggerRead()
}

// StoreAvailableFor implements grants.World.
func (world *world) StoreAvailableFor() time.Duration {
	if !world.host.topics.spans.HasRead() {
		return 0
	}
	return world.host.storeWell()
}

// PeerIncarnation implements grants.World.
func (world *world) PeerIncarnation(name string) (string, time.Duration, bool) {
	life, known := world.host.peers.Incarnation(name)
	return life, world.host.peers.RecordAge(name), known
}

// Rank implements grants.World.
func (world *world) Rank() int {
	return world.host.mesh.Rank(func(share.Report) bool { return true })
}

// ownTable is the keeper's view of the table; what it writes counts as read and is told.
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

// ApplyOwnWrite implements grants.Table.
func (table *ownTable) ApplyOwnWrite(value []byte, offset int64) {
	record := cherrykeel.KeyedRecord{Key: watch.SpansKey, Value: value, Offset: offset}
	before, _, _ := table.host.spans.Current()
	table.host.topics.spans.ApplyReceived([]cherrykeel.KeyedRecord{record})
	after, _, _ := table.host.spans.Current()
	if after.Version == offset {
		table.host.tellSpans(after.Diff(before), before.Version)
	}
}
