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
}

// NewRoutes returns a view of the routes that are stored under key. It calls onChange with each newer version, and
// announce with the record of one that this host has read itself.
func NewRoutes(key string, decode func([]byte) (cherrykeel.RouteSet, error), logger *zap.Logger, onChange func(cherrykeel.RouteSet), announce func(cherrykeel.KeyedRecord)) *Routes {
	return &Routes{key: key, decode: decode, logger: logger, onChange: onChange, changeTracker: newChangeTracker(announce)}
}

// Apply applies an update of the topic.
func (routes *Routes) Apply(update Update) {
	for _, record := range update.Records {
		if record.Key != routes.key || len(record.Value) == 0 {
			continue
		}
		decoded, err := routes.decode(record.Value)
		if err != nil {
			events.Log(routes.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Int64("Offset", record.Offset), zap.Error(err))
			continue
		}
		if routes.applyRoutes(decoded, record.Offset) {
			routes.announceRead(update, record)
		}
	}
}

func (routes *Routes) applyRoutes(decoded cherrykeel.RouteSet, offset int64) bool {
	routes.mutex.Lock()
	newer := !routes.known || decoded.Version > routes.routes.Version
	if newer {
		routes.routes = decoded
		routes.known = true
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
