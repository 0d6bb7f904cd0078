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

// Keyed implements grants.World.
func (world *world) Keyed() []cherrykeel.RoutedService {
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

// Replaced implements grants.World.
func (world *world) Replaced(id, address string) bool {
	return world.host.upstreams.Replaced(id, address)
}

// Ended implements grants.World.
func (world *world) Ended(id string) {
	world.host.upstreams.End(id)
}

// Reread implements grants.World.
func (world *world) Reread() {
	world.host.topics.spans.Nudge()
}

// StoreWell implements grants.World.
func (world *world) StoreWell() time.Duration {
	if !world.host.topics.spans.Known() {
		return 0
	}
	return world.host.storeWell()
}

// PeerLife implements grants.World.
func (world *world) PeerLife(name string) (string, time.Duration, bool) {
	life, known := world.host.peers.Life(name)
	return life, world.host.peers.Age(name), known
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

// Garbled implements grants.Table.
func (table *ownTable) Garbled() bool {
	return table.host.spans.Garbled()
}

// Wrote implements grants.Table.
func (table *ownTable) Wrote(value []byte, offset int64) {
	record := cherrykeel.KeyedRecord{Key: watch.SpansKey, Value: value, Offset: offset}
	before, _, _ := table.host.spans.Current()
	table.host.topics.spans.Told([]cherrykeel.KeyedRecord{record})
	after, _, _ := table.host.spans.Current()
	if after.Version == offset {
		table.host.tellSpans(after.Change(before), before.Version)
	}
}
