package watch

import (
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// Other programs write entries too, also for services that the settings lack. Such an entry names no upstream to use, and
// changes none that is known. But the settings and the entries are read apart, so that a service may become known after its
// upstreams: the entry is held back until then. It is announced to the other hosts as any other.

// unroutedEntry is an entry that is held back.
type unroutedEntry struct {
	record   cherrykeel.KeyedRecord
	upstream cherrykeel.Upstream
}

// SetServices sets the function that returns the services of the settings in force, or false while none are known. Without
// it each service counts as known.
func (upstreams *Upstreams) SetServices(services func() (map[string]cherrykeel.RoutedService, bool)) {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	upstreams.services = services
}

// ApplySettings applies the entries whose services the settings have by now.
func (upstreams *Upstreams) ApplySettings() {
	upstreams.mutex.Lock()
	changed := false
	for id, held := range upstreams.unrouted {
		if upstreams.isUnrouted(held.upstream) {
			continue
		}
		delete(upstreams.unrouted, id)
		changed = upstreams.applyUpstream(held.record, held.upstream) || changed
	}
	// The other hosts have received these records.
	upstreams.unannounced = nil
	upstreams.unlockAndNotify(changed)
}

// isUnrouted reports whether the settings lack an upstream's service. An upstream that is known stays one when its service is
// taken out of the settings: it may hold keys, and the service may come back.
func (upstreams *Upstreams) isUnrouted(upstream cherrykeel.Upstream) bool {
	if upstreams.services == nil {
		return false
	}
	services, _ := upstreams.services()
	_, routed := services[upstream.Service]
	known, exists := upstreams.entries[upstream.ID]
	return !routed && !(exists && known.upstream.Service == upstream.Service)
}

// holdBack keeps an entry until the settings have its service.
func (upstreams *Upstreams) holdBack(record cherrykeel.KeyedRecord, upstream cherrykeel.Upstream) {
	old, known := upstreams.unrouted[record.Key]
	if known && record.Offset <= old.record.Offset {
		return
	}
	upstreams.unrouted[record.Key] = unroutedEntry{record: record, upstream: upstream}
	if known && isUnchangedForHosts(old.upstream, upstream) {
		return
	}
	upstreams.offset = max(upstreams.offset, record.Offset)
	upstreams.unannounced = append(upstreams.unannounced, record)
	_, settingsKnown := upstreams.services()
	if settingsKnown {
		events.Log(upstreams.logger, events.EntryHeldBack,
			zap.String("Key", record.Key), zap.String("Service", upstream.Service), zap.String("Address", upstream.Address), zap.Int64("Offset", record.Offset))
	}
}

// removeUnrouted removes an entry that is held back, unless a newer record of it is known.
func (upstreams *Upstreams) removeUnrouted(id string, offset int64) {
	held, known := upstreams.unrouted[id]
	if !known || offset > 0 && offset < held.record.Offset {
		return
	}
	delete(upstreams.unrouted, id)
	offset = max(offset, held.record.Offset)
	upstreams.offset = max(upstreams.offset, offset)
	upstreams.unannounced = append(upstreams.unannounced, cherrykeel.KeyedRecord{Key: id, Offset: offset})
}

// removeUnlistedUnrouted removes the entries that are held back and that a snapshot lacks.
func (upstreams *Upstreams) removeUnlistedUnrouted(listed map[string]bool) {
	for id := range upstreams.unrouted {
		if !listed[id] {
			upstreams.removeUnrouted(id, 0)
		}
	}
}
