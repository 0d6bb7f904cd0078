package watch

import (
	"sync"

	"cherrykeel"
)

// changeTracker holds the offset of a view's newest change and announces the changes that this host has read itself.
type changeTracker struct {
	// mutex guards the offset and the state of the view that embeds the tracker.
	mutex    sync.Mutex
	offset   int64
	announce func(record cherrykeel.KeyedRecord)
}

func newChangeTracker(announce func(record cherrykeel.KeyedRecord)) changeTracker {
	return changeTracker{offset: -1, announce: announce}
}

// Offset returns the offset of the newest change, or -1.
func (changeTracker *changeTracker) Offset() int64 {
	changeTracker.mutex.Lock()
	defer changeTracker.mutex.Unlock()
	return changeTracker.offset
}

// advance must be called with the mutex held.
func (changeTracker *changeTracker) advance(offset int64) {
	changeTracker.offset = max(changeTracker.offset, offset)
}

// announceRead announces records, unless they were received from another host.
func (changeTracker *changeTracker) announceRead(update Update, records ...cherrykeel.KeyedRecord) {
	if update.FromPeer {
		return
	}
	for _, record := range records {
		changeTracker.announce(record)
	}
}
