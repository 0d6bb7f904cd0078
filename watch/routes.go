package watch

import (
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// Routes holds the newest routes; it never goes back to a lower version.
type Routes struct {
	key      string
	decode   func(value []byte) (cherrykeel.RouteSet, error)
	logger   *zap.Logger
	onChange func(routes cherrykeel.RouteSet)

	changeTracker
	routes cherrykeel.RouteSet
	known  bool
	// record is the record of the routes; lost means that the store came back from a copy that lacks it.
	record cherrykeel.KeyedRecord
	lost   bool
}

// NewRoutes returns a view of the routes that are stored under key. It calls onChange with each newer version, and
// announce with the record of one that this host has read itself.
func NewRoutes(key string, decode func([]byte) (cherrykeel.RouteSet, error), logger *zap.Logger, onChange func(cherrykeel.RouteSet), announce func(cherrykeel.KeyedRecord)) *Routes {
	return &Routes{key: key, decode: decode, logger: logger, onChange: onChange, changeTracker: newChangeTracker(announce)}
}

// Apply applies an update of the topic.
func (routes *Routes) Apply(update Update) {
	if update.Restored {
		routes.setLost(true)
	}
	for _, record := range update.Records {
		if record.Key != routes.key || len(record.Value) == 0 {
			continue
		}
		decoded, err := routes.decode(record.Value)
		if err != nil {
			events.Log(routes.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Int64("Offset", record.Offset), zap.Error(err))
			continue
		}
		if !update.FromPeer && routes.isStored(decoded) {
			routes.setLost(false)
		}
		if routes.applyRoutes(decoded, record) {
			routes.announceRead(update, record)
		}
	}
}

// setLost records whether the store lacks the routes in force.
func (routes *Routes) setLost(lost bool) {
	routes.mutex.Lock()
	defer routes.mutex.Unlock()
	routes.lost = lost && routes.known
}

// isStored reports whether routes that were read from the store are at least as new as those in force.
func (routes *Routes) isStored(decoded cherrykeel.RouteSet) bool {
	routes.mutex.Lock()
	defer routes.mutex.Unlock()
	return decoded.Version >= routes.routes.Version
}

// Lost returns the record of the routes in force if the store came back from a copy that lacks them and the operator has
// not written them again; false otherwise. Hosts that have started since lack them.
func (routes *Routes) Lost() (cherrykeel.KeyedRecord, bool) {
	routes.mutex.Lock()
	defer routes.mutex.Unlock()
	return routes.record, routes.lost
}

func (routes *Routes) applyRoutes(decoded cherrykeel.RouteSet, record cherrykeel.KeyedRecord) bool {
	offset := record.Offset
	routes.mutex.Lock()
	newer := !routes.known || decoded.Version > routes.routes.Version
	if newer {
		routes.routes = decoded
		routes.known = true
		routes.record = record
	}
	routes.advance(offset)
	routes.mutex.Unlock()
	if !newer {
		return false
	}
	routes.onChange(decoded)
	events.Log(routes.logger, events.RoutesInForce,
		zap.Int64("Version", decoded.Version), zap.Int64("Offset", offset), zap.Int("Routes", len(decoded.Routes)))
	return true
}

// Current returns the routes in force; false while none are known.
func (routes *Routes) Current() (cherrykeel.RouteSet, bool) {
	routes.mutex.Lock()
	defer routes.mutex.Unlock()
	return routes.routes, routes.known
}
