package watch

import (
	"sync"

	"cherrykeel"
)

// newest keeps where the newest change of a view stands, and tells the changes that this host has read itself.
type changeTracker struct {
	// mutex guards the offset, and the state of the view that has it.
	mutex    sync.Mutex
	offset   int64
	announce func(record cherrykeel.KeyedRecord)
}

func newChangeTracker(announce func(record cherrykeel.KeyedRecord)) changeTracker {
	return changeTracker{offset: -1, announce: announce}
}

// Offset returns where the newest change stands, or -1.
func (changeTracker *changeTracker) Offset() int64 {
	changeTracker.mutex.Lock()
	defer changeTracker.mutex.Unlock()
	return changeTracker.offset
}

// pass is called with newest.mutex held.
func (changeTracker *changeTracker) advance(offset int64) {
	changeTracker.offset = max(changeTracker.offset, offset)
}

// tellRead tells records, unless they were told to this host.
func (changeTracker *changeTracker) announceRead(update Update, records ...cherrykeel.KeyedRecord) {
	if update.FromPeer {
		return
	}
	for _, record := range records {
		changeTracker.announce(record)
	}
}
