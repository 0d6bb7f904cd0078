package watch

import (
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/permit"
)

// ReregistrationTime is how long upstreams have, after the store has become available again, to renew entries that have
// expired; the platform promises that a running one is registered again within about two seconds.
const ReregistrationTime = 2200 * time.Millisecond

// coldRestartThreshold is by how much the end of an upstream's cold phase has to move to count as a new cold phase. It
// also moves by the age of the entry, which is read twice a second.
const coldRestartThreshold = time.Second

// maxInvalidKeys bounds the keys of invalid records that are remembered in order to log each record once.
const maxInvalidKeys = 1024

// Upstreams holds the upstreams that the store lists.
type Upstreams struct {
	decode   func(id string, value []byte) (cherrykeel.Upstream, error)
	clock    cherrykeel.Clock
	logger   *zap.Logger
	onChange func()
	announce func(records []cherrykeel.KeyedRecord, before int64)

	// services returns the services of the settings in force; false while none are known.
	services func() (map[string]cherrykeel.RoutedService, bool)

	mutex   sync.Mutex
	entries map[string]*entry
	// unrouted has the entries of services that the settings lack, which are not used.
	unrouted map[string]unroutedEntry
	// list holds the upstreams that are not gone; it is up to date if listValid is set.
	list         []cherrykeel.Upstream
	listValid    bool
	availableFor func() time.Duration
	// invalidOffsets has the offsets of the invalid records that were logged, by key.
	invalidOffsets map[string]int64
	// invalidCount counts the records that describe no upstream.
	invalidCount int64
	// offset is the offset of the newest change, unannounced holds the changes to announce to the other hosts, and
	// previousOffset is the offset of the change before those.
	offset         int64
	unannounced    []cherrykeel.KeyedRecord
	previousOffset int64
}

// entry is what is known of one upstream.
type entry struct {
	upstream cherrykeel.Upstream
	// offset is the offset of the newest record.
	offset int64
	// missing means that the store lacks the entry, possibly only because the store was unavailable.
	missing bool
	gone    bool
	// ended means that another upstream has answered at the address, so that the process has ended.
	ended bool
	// leavingSince is when a host first received an answer in which this incarnation stated that it is leaving, or 0.
	leavingSince cherrykeel.Instant
	// limit is what the answers of this incarnation say of its rate limit.
	limit limitState
}

// NewUpstreams returns a view that removes an upstream with a missing entry once the store has been available for so
// long that the upstream could have registered again. It calls onChange after the list has changed, and announce with
// the records of changes that this host has found itself and the offset of the change before them; the record of a gone
// upstream has no value.
func NewUpstreams(decode func(string, []byte) (cherrykeel.Upstream, error), clock cherrykeel.Clock, logger *zap.Logger, onChange func(), announce func(records []cherrykeel.KeyedRecord, before int64)) *Upstreams {
	return &Upstreams{
		decode: decode, clock: clock, logger: logger, onChange: onChange, announce: announce, offset: -1, previousOffset: -1,
		entries: map[string]*entry{}, unrouted: map[string]unroutedEntry{}, invalidOffsets: map[string]int64{}, availableFor: func() time.Duration { return 0 },
	}
}

// SetTopicAvailability sets the function that returns how long the topic has been available.
func (upstreams *Upstreams) SetTopicAvailability(availableFor func() time.Duration) {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	upstreams.availableFor = availableFor
}

// Apply applies an update of the topic.
func (upstreams *Upstreams) Apply(update Update) {
	upstreams.mutex.Lock()
	changed := false
	listed := map[string]bool{}
	for _, record := range update.Records {
		listed[record.Key] = true
		if update.FromPeer && len(record.Value) == 0 {
			upstreams.removeUnrouted(record.Key, record.Offset)
			changed = upstreams.applyRemoval(record.Key, record.Offset) || changed
			continue
		}
		if len(record.Value) == 0 {
			upstreams.removeUnrouted(record.Key, record.Offset)
			changed = upstreams.markMissing(record.Key, record.Offset) || changed
			continue
		}
		if update.Restored && upstreams.skipCopied(record) {
			continue
		}
		changed = upstreams.applyEntry(record) || changed
	}
	if update.Snapshot {
		upstreams.removeUnlistedUnrouted(listed)
		changed = upstreams.markUnlisted(listed) || changed
	}
	if update.FromPeer {
		upstreams.unannounced = nil
	}
	upstreams.unlockAndNotify(changed)
}

// unlockAndNotify unlocks the mutex, calls onChange if there was a change, and announces what is unannounced.
func (upstreams *Upstreams) unlockAndNotify(changed bool) {
	unannounced := upstreams.unannounced
	before := upstreams.previousOffset
	upstreams.unannounced = nil
	upstreams.previousOffset = upstreams.offset
	upstreams.mutex.Unlock()
	if changed {
		upstreams.onChange()
	}
	if len(unannounced) > 0 {
		upstreams.announce(unannounced, before)
	}
}

// Offset returns the offset of the newest change, or -1.
func (upstreams *Upstreams) Offset() int64 {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	return upstreams.offset
}

// applyRemoval applies another host's report that an upstream is gone, unless this host has read a newer record.
func (upstreams *Upstreams) applyRemoval(id string, offset int64) bool {
	old, known := upstreams.entries[id]
	if !known || old.gone || old.offset > offset {
		return false
	}
	old.offset = offset
	upstreams.markGone(old, 0)
	return true
}

// markGone marks an upstream as gone and logs it; available is how long the store has been available, or 0 if that was
// not the reason.
func (upstreams *Upstreams) markGone(entry *entry, available time.Duration) {
	entry.gone = true
	upstreams.listValid = false
	upstreams.offset = max(upstreams.offset, entry.offset)
	upstreams.unannounced = append(upstreams.unannounced, cherrykeel.KeyedRecord{Key: entry.upstream.ID, Offset: entry.offset})
	events.Log(upstreams.logger, events.UpstreamGone,
		zap.String("Upstream", entry.upstream.ID), zap.String("Service", entry.upstream.Service),
		zap.Duration("StoreWell", available), zap.Int64("Offset", entry.offset))
}

// RemoveMissing removes the upstreams with missing entries that had time to register again.
func (upstreams *Upstreams) RemoveMissing() {
	upstreams.mutex.Lock()
	changed := false
	for _, entry := range upstreams.entries {
		changed = upstreams.removeIfMissing(entry) || changed
	}
	upstreams.unlockAndNotify(changed)
}

// Current returns the upstreams that are not gone, ordered by ID; callers must not modify the list. It is cached until
// an entry changes, since the keeper asks for it 40 times a second.
func (upstreams *Upstreams) Current() []cherrykeel.Upstream {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	if !upstreams.listValid {
		upstreams.list = nil
		for _, entry := range upstreams.entries {
			if !entry.gone {
				upstreams.list = append(upstreams.list, entry.upstream)
			}
		}
		sort.Slice(upstreams.list, func(i, j int) bool { return upstreams.list[i].ID < upstreams.list[j].ID })
		upstreams.listValid = true
	}
	return upstreams.list
}

// MarkEnded records that the process of an incarnation has ended, since another upstream has answered at its address. It
// does nothing if the upstream is listed elsewhere, or as another incarnation, by now: the answer says nothing of that one.
func (upstreams *Upstreams) MarkEnded(ended cherrykeel.Upstream) {
	upstreams.mutex.Lock()
	known, exists := upstreams.entries[ended.ID]
	same := exists && known.upstream.StartedAt == ended.StartedAt && known.upstream.Address == ended.Address
	changed := same && !known.ended
	if changed {
		known.ended = true
		upstreams.logEnd(known)
		if !known.gone {
			upstreams.markGone(known, 0)
		}
	}
	upstreams.unlockAndNotify(changed)
}

// RecordLeaving records that an incarnation of an upstream has stated in its answer to a request that it is leaving, and
// reports whether this host did not know that. The statement holds until the incarnation ends, whatever the store lists:
// entries lapse while the store is unavailable, and a late record may still call the upstream ready.
func (upstreams *Upstreams) RecordLeaving(upstream cherrykeel.Upstream, request string) bool {
	incarnation := permit.Incarnation{ID: upstream.ID, StartedAt: upstream.StartedAt}
	return upstreams.RecordLeavingSince(incarnation, upstreams.clock.Now(), Source{Request: request})
}

// RecordLeavingSince records that an incarnation of an upstream is leaving, as a host has known since a time, and reports
// whether this host did not know that.
func (upstreams *Upstreams) RecordLeavingSince(upstream permit.Incarnation, since cherrykeel.Instant, source Source) bool {
	upstreams.mutex.Lock()
	known, exists := upstreams.entries[upstream.ID]
	changed := exists && known.upstream.StartedAt == upstream.StartedAt && known.leavingSince == 0
	if changed {
		known.leavingSince = max(1, since)
		upstreams.logLeaving(known, source)
	}
	upstreams.unlockAndNotify(changed)
	return changed
}

// logLeaving logs that an upstream has stated that it is leaving, unless its entry in the store has said so before.
func (upstreams *Upstreams) logLeaving(entry *entry, source Source) {
	if entry.upstream.Leaving {
		return
	}
	events.Log(upstreams.logger, events.UpstreamSaidLeaving,
		zap.String("Upstream", entry.upstream.ID), zap.String("Service", entry.upstream.Service), zap.Int64("Born", entry.upstream.StartedAt),
		zap.String("Request", source.Request), zap.String("Host", source.Host), zap.Int64("Offset", entry.offset))
}

// LeavingSince returns since when this host has known, from an answer, that an incarnation of an upstream is leaving; 0
// if it has not stated that.
func (upstreams *Upstreams) LeavingSince(id string, startedAt int64) cherrykeel.Instant {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	known, exists := upstreams.entries[id]
	if !exists || known.upstream.StartedAt != startedAt {
		return 0
	}
	return known.leavingSince
}

// IsLeaving reports whether an incarnation of an upstream has announced that it is leaving, in its entry or in an
// answer, also after its end.
func (upstreams *Upstreams) IsLeaving(id string, startedAt int64) bool {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	known, exists := upstreams.entries[id]
	return exists && known.upstream.StartedAt == startedAt && (known.upstream.Leaving || known.leavingSince != 0)
}

// InvalidCount returns how many records described no upstream.
func (upstreams *Upstreams) InvalidCount() int64 {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	return upstreams.invalidCount
}

// logEnd logs by which evidence an upstream's process counts as ended.
func (upstreams *Upstreams) logEnd(entry *entry) {
	events.Log(upstreams.logger, events.UpstreamEnded,
		zap.String("Upstream", entry.upstream.ID), zap.String("Service", entry.upstream.Service), zap.String("Address", entry.upstream.Address),
		zap.Int64("Born", entry.upstream.StartedAt), zap.String("EndedBy", "answer"))
}

// HasEnded reports whether the process of an upstream at an address is known to have ended, since another upstream has
// answered there.
//
// An entry does not show that, whatever it says: other programs write entries too. One with the address of a running
// upstream would end its leases, and its keys would be granted to others while it still works on them.
func (upstreams *Upstreams) HasEnded(id, address string) bool {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	known, exists := upstreams.entries[id]
	return exists && known.ended && known.upstream.Address == address
}

// HasOther reports whether the store lists another upstream with the address of the given one. That is a reason to ask
// who answers there, and shows nothing by itself.
func (upstreams *Upstreams) HasOther(id, address string) bool {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	for other, entry := range upstreams.entries {
		if other != id && !entry.gone && entry.upstream.Address == address {
			return true
		}
	}
	for other, held := range upstreams.unrouted {
		if other != id && held.upstream.Address == address {
			return true
		}
	}
	return false
}
