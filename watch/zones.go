package watch

import (
	"strings"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// Zones keeps which availability zones the operator has evacuated: the key of a zone's record is a prefix and the
// zone's name, and the zone is taken back when the record is dropped.
type Zones struct {
	prefix   string
	clock    cherrykeel.Clock
	logger   *zap.Logger
	onChange func()

	changeTracker
	zones   map[string]ZoneState
	hasRead bool
}

// ZoneState is what the operator last ordered for an availability zone.
type ZoneState struct {
	Evacuated bool
	// Offset is where the order stands in the operator's topic.
	Offset int64
	// Since is when this host learned of the order; AtStart says that it may have been given long before.
	Since        cherrykeel.Instant
	FoundAtStart bool
}

// NewZones returns a view that knows nothing; change is called when a zone was evacuated or taken back, and when the
// topic has been read for the first time, and tell with each order that this host has read itself.
func NewZones(prefix string, clock cherrykeel.Clock, logger *zap.Logger, onChange func(), announce func(cherrykeel.KeyedRecord)) *Zones {
	return &Zones{prefix: prefix, clock: clock, logger: logger, onChange: onChange, changeTracker: newChangeTracker(announce), zones: map[string]ZoneState{}}
}

// HasRead reports whether this host has read the topic itself: until then a zone may be evacuated without its knowledge.
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

// Apply takes what the topic brought.
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

// orders returns the records about zones. The newest records of all keys lack those that were dropped, also when what
// dropped them is no longer kept; such a zone was taken back by the end of what was read.
func (zones *Zones) orders(update Update) []cherrykeel.KeyedRecord {
	var orders []cherrykeel.KeyedRecord
	listed := map[string]bool{}
	for _, record := range update.Records {
		zone, isOrder := strings.CutPrefix(record.Key, zones.prefix)
		if isOrder {
			orders = append(orders, record)
			listed[zone] = true
		}
	}
	if !update.Snapshot {
		return orders
	}
	for zone := range zones.zones {
		if !listed[zone] {
			orders = append(orders, cherrykeel.KeyedRecord{Key: zones.prefix + zone, Offset: update.Next - 1})
		}
	}
	return orders
}

// take puts an order in force unless a later one for the zone is known, and reports whether it changes anything. A
// take-back is remembered also by a host that missed the evacuation, which may still be told to it.
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
	event := events.ZoneTakenBack
	if evacuated {
		event = events.ZoneEvacuated
	}
	events.Log(zones.logger, event, zap.String("Zone", zone), zap.Int64("Offset", order.Offset), zap.Bool("Told", update.FromPeer))
	return true
}
