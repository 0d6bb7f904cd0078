package watch

import (
	"strings"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// Zones holds which availability zones the operator has evacuated. The key of a zone's record is a prefix and the
// zone's name; the evacuation ends when the record is deleted.
type Zones struct {
	prefix   string
	clock    cherrykeel.Clock
	logger   *zap.Logger
	onChange func()

	changeTracker
	zones   map[string]ZoneState
	hasRead bool
}

// ZoneState is the operator's last order for an availability zone.
type ZoneState struct {
	// Evacuated reports whether the zone is evacuated; otherwise the evacuation has ended.
	Evacuated bool
	// Offset is the offset of the order in the operator's topic.
	Offset int64
	// Since is when this host learned of the order; FoundAtStart means that it may have been given long before.
	Since        cherrykeel.Instant
	FoundAtStart bool
}

// NewZones returns an empty view. It calls onChange when an evacuation begins or ends, and when the topic has been read
// for the first time, and announce with each order that this host has read itself.
func NewZones(prefix string, clock cherrykeel.Clock, logger *zap.Logger, onChange func(), announce func(cherrykeel.KeyedRecord)) *Zones {
	return &Zones{prefix: prefix, clock: clock, logger: logger, onChange: onChange, changeTracker: newChangeTracker(announce), zones: map[string]ZoneState{}}
}

// HasRead reports whether this host has read the topic itself; until then a zone may be evacuated without its
// knowledge.
func (zones *Zones) HasRead() bool {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	return zones.hasRead
}

// State returns the last order for a zone; false if none is known.
func (zones *Zones) State(zone string) (ZoneState, bool) {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	state, known := zones.zones[zone]
	return state, known
}

// Evacuated returns the zones that are evacuated.
func (zones *Zones) Evacuated() map[string]ZoneState {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	evacuated := map[string]ZoneState{}
	for zone, state := range zones.zones {
		if state.Evacuated {
			evacuated[zone] = state
		}
	}
	return evacuated
}

// Apply applies an update of the topic.
func (zones *Zones) Apply(update Update) {
	zones.mutex.Lock()
	orders := zones.orders(update)
	var changed []cherrykeel.KeyedRecord
	for _, order := range orders {
		if zones.applyOrder(order, update) {
			changed = append(changed, order)
		}
	}
	first := !zones.hasRead && !update.FromPeer
	zones.hasRead = zones.hasRead || !update.FromPeer
	zones.mutex.Unlock()
	if first || len(changed) > 0 {
		zones.onChange()
	}
	zones.announceRead(update, changed...)
}

// orders returns the records about zones. A snapshot lacks deleted records, and the record that deleted one may no
// longer be kept; for a zone that the snapshot lacks, the evacuation has ended by the end of the snapshot. If the store has
// come back from a copy, an order at no higher offset than the known one may be outdated; the next snapshot shows what
// holds.
func (zones *Zones) orders(update Update) []cherrykeel.KeyedRecord {
	var orders []cherrykeel.KeyedRecord
	listed := map[string]bool{}
	for _, record := range update.Records {
		zone, isOrder := strings.CutPrefix(record.Key, zones.prefix)
		known, exists := zones.zones[zone]
		isOutdated := update.Restored && exists && cherrykeel.OffsetOf(record.Offset) <= cherrykeel.OffsetOf(known.Offset)
		if isOrder && !isOutdated {
			orders = append(orders, record)
			listed[zone] = true
		}
	}
	if !update.Snapshot || update.Restored {
		return orders
	}
	for zone := range zones.zones {
		if !listed[zone] {
			orders = append(orders, cherrykeel.KeyedRecord{Key: zones.prefix + zone, Offset: update.Next - 1})
		}
	}
	return orders
}

// applyOrder applies an order unless a later one for the zone is known, and reports whether it changes anything. The
// end of an evacuation is kept also by a host that missed its beginning, which another host may still send.
func (zones *Zones) applyOrder(order cherrykeel.KeyedRecord, update Update) bool {
	zone := strings.TrimPrefix(order.Key, zones.prefix)
	before, known := zones.zones[zone]
	evacuated := len(order.Value) > 0
	if known && order.Offset <= before.Offset {
		return false
	}
	zones.advance(order.Offset)
	if known && before.Evacuated == evacuated {
		before.Offset = order.Offset
		zones.zones[zone] = before
		return false
	}
	zones.zones[zone] = ZoneState{
		Evacuated: evacuated, Offset: order.Offset, Since: zones.clock.Now(), FoundAtStart: !zones.hasRead && !update.FromPeer,
	}
	event := events.ZoneRestored
	if evacuated {
		event = events.ZoneEvacuated
	}
	events.Log(zones.logger, event, zap.String("Zone", zone), zap.Int64("Offset", order.Offset), zap.Bool("Told", update.FromPeer))
	return true
}
