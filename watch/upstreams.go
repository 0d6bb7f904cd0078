package watch

import (
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// returnTime is how long upstreams have, after the store is back, to renew entries that lapsed
// meanwhile; the platform promises that a live one is back within about two seconds.
const reregistrationTime = 2200 * time.Millisecond

// coldAgain is by how much the end of an upstream's cold time has to move for it to have turned cold again. It moves by
// the age of its entry too, which is read twice a second.
const coldRestartThreshold = time.Second

// maxInvalid bounds the keys of unreadable records that are remembered, so as to log each record once.
const maxInvalidKeys = 1024

// Upstreams keeps the upstreams that the store lists.
type Upstreams struct {
	decode   func(id string, value []byte) (cherrykeel.Upstream, error)
	clock    cherrykeel.Clock
	logger   *zap.Logger
	onChange func()
	announce func(records []cherrykeel.KeyedRecord, before int64)

	mutex   sync.Mutex
	entries map[string]*entry
	// list has the upstreams that are not gone, if listed.
	list         []cherrykeel.Upstream
	listValid    bool
	availableFor func() time.Duration
	// invalid has the offsets of the records that were logged as unreadable, by key.
	invalidOffsets map[string]int64
	// refused counts the records that name no upstream.
	invalidCount int64
	// offset is where the newest change stands, and untold what the other hosts are to be told.
	offset         int64
	unannounced    []cherrykeel.KeyedRecord
	previousOffset int64
}

type entry struct {
	upstream cherrykeel.Upstream
	// offset is of its newest record, since of the first that was read of this life: it tells which of two
	// upstreams at one address is the later one, since the earlier one's entry may lapse long after the next one
	// has registered.
	offset      int64
	firstOffset int64
	// latest says that since is the newest record of this life and its first one may lie before it: it was found among
	// the newest records of all keys.
	fromSnapshot bool
	// missing says that the entry is gone from the store while that may be the store's own trouble.
	missing bool
	gone    bool
	// ended says that its process is known to have ended.
	ended bool
}

// NewUpstreams returns a view that believes a missing entry when the store has been well for long enough
// that the upstream had time to come back. Change is called when it changed, and
// tell with the records of changes that this host found itself and the offset of the change before them; a
// gone upstream's record has no value.
func NewUpstreams(decode func(string, []byte) (cherrykeel.Upstream, error), clock cherrykeel.Clock, logger *zap.Logger, onChange func(), announce func(records []cherrykeel.KeyedRecord, before int64)) *Upstreams {
	return &Upstreams{
		decode: decode, clock: clock, logger: logger, onChange: onChange, announce: announce, offset: -1, previousOffset: -1,
		entries: map[string]*entry{}, invalidOffsets: map[string]int64{}, availableFor: func() time.Duration { return 0 },
	}
}

// SetTopicAvailability tells where the topic's health is read.
func (upstreams *Upstreams) SetTopicAvailability(availableFor func() time.Duration) {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	upstreams.availableFor = availableFor
}

// Apply takes what the topic brought.
func (upstreams *Upstreams) Apply(update Update) {
	upstreams.mutex.Lock()
	changed := false
	listed := map[string]bool{}
	for _, record := range update.Records {
		listed[record.Key] = true
		if update.FromPeer && len(record.Value) == 0 {
			changed = upstreams.applyRemoval(record.Key, record.Offset) || changed
			continue
		}
		if len(record.Value) == 0 {
			changed = upstreams.markMissing(record.Key, record.Offset) || changed
			continue
		}
		changed = upstreams.applyEntry(record, update.Snapshot) || changed
	}
	if update.Snapshot {
		changed = upstreams.markUnlisted(listed) || changed
	}
	if update.FromPeer {
		upstreams.unannounced = nil
	}
	upstreams.unlockAndNotify(changed)
}

// changed unlocks and tells of a change.
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

// Offset returns where the newest change stands, or -1.
func (upstreams *Upstreams) Offset() int64 {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	return upstreams.offset
}

// end takes another host's word that an upstream is gone, unless this host has read of it since.
func (upstreams *Upstreams) applyRemoval(id string, offset int64) bool {
	old, known := upstreams.entries[id]
	if !known || old.gone || old.offset > offset {
		return false
	}
	old.offset = offset
	upstreams.markGone(old, 0)
	return true
}

func (upstreams *Upstreams) markGone(entry *entry, available time.Duration) {
	entry.gone = true
	upstreams.listValid = false
	upstreams.offset = max(upstreams.offset, entry.offset)
	upstreams.unannounced = append(upstreams.unannounced, cherrykeel.KeyedRecord{Key: entry.upstream.ID, Offset: entry.offset})
	events.Log(upstreams.logger, events.UpstreamGone,
		zap.String("Upstream", entry.upstream.ID), zap.String("Service", entry.upstream.Service),
		zap.Duration("StoreWell", available), zap.Int64("Offset", entry.offset))
}

// RemoveMissing lets missing entries go whose upstreams had time to come back.
func (upstreams *Upstreams) RemoveMissing() {
	upstreams.mutex.Lock()
	changed := false
	for _, entry := range upstreams.entries {
		changed = upstreams.removeIfMissing(entry) || changed
	}
	upstreams.unlockAndNotify(changed)
}

// Current returns the upstreams that are not gone, in order of their IDs; the list is not to be changed. The keeper
// asks for it 40 times a second, so it is kept until an entry changes.
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

// MarkEnded takes it that an upstream's process has ended: another one has answered at its address.
func (upstreams *Upstreams) MarkEnded(id string) {
	upstreams.mutex.Lock()
	old, known := upstreams.entries[id]
	changed := known && !old.ended
	if changed {
		old.ended = true
		if !old.gone {
			upstreams.markGone(old, 0)
		}
	}
	upstreams.unlockAndNotify(changed)
}

// IsLeaving reports whether a life of an upstream has said that it leaves, also after its end.
func (upstreams *Upstreams) IsLeaving(id string, startedAt int64) bool {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	known, exists := upstreams.entries[id]
	return exists && known.upstream.StartedAt == startedAt && known.upstream.Leaving
}

// InvalidCount returns how many entries named no upstream.
func (upstreams *Upstreams) InvalidCount() int64 {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	return upstreams.invalidCount
}

// IsReplaced reports whether another upstream has registered at the address after the given one, or has answered there: its
// process has therefore ended.
func (upstreams *Upstreams) IsReplaced(id, address string) bool {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	this, known := upstreams.entries[id]
	if known && this.ended {
		return true
	}
	for other, entry := range upstreams.entries {
		if known && other != id && entry.upstream.Address == address && entry.isSuccessorOf(this) {
			return true
		}
	}
	return false
}

// follows reports whether this entry's upstream surely came after the other's at their address. A host that reads the
// newest records of all keys does not know where this one's first stands, and the last heartbeat of an upstream may be
// carried out after the next one has registered; births have to agree then. They do not decide alone, since clocks differ.
func (entry *entry) isSuccessorOf(other *entry) bool {
	if entry.firstOffset <= other.firstOffset {
		return false
	}
	bothKnown := entry.upstream.StartedAt > 0 && other.upstream.StartedAt > 0
	return !entry.fromSnapshot || !bothKnown || entry.upstream.StartedAt > other.upstream.StartedAt
}
