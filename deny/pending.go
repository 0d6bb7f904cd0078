package deny

import (
	"context"
	"sync"

	"cherrykeel/poison"
)

// PendingRecords is a set of requests whose records have not been stored yet. It is safe for concurrent use.
type PendingRecords struct {
	mutex        sync.Mutex
	fingerprints map[poison.Fingerprint]bool
	added        chan struct{}
}

// NewPendingRecords returns an empty set.
func NewPendingRecords() *PendingRecords {
	return &PendingRecords{fingerprints: map[poison.Fingerprint]bool{}, added: make(chan struct{}, 1)}
}

// Add adds a record's request. Only its fingerprint is kept, so that the record stored later is the latest one.
func (pendingRecords *PendingRecords) Add(record poison.Record) {
	pendingRecords.mutex.Lock()
	pendingRecords.fingerprints[record.Fingerprint] = true
	pendingRecords.mutex.Unlock()
	select {
	case pendingRecords.added <- struct{}{}:
	default:
	}
}

// DequeueAll waits until there are requests, removes all of them and returns their fingerprints. It returns nil if the
// context has ended.
func (pendingRecords *PendingRecords) DequeueAll(ctx context.Context) []poison.Fingerprint {
	for ctx.Err() == nil {
		removed := pendingRecords.removeAll()
		if len(removed) > 0 {
			return removed
		}
		select {
		case <-pendingRecords.added:
		case <-ctx.Done():
		}
	}
	return nil
}

func (pendingRecords *PendingRecords) removeAll() []poison.Fingerprint {
	pendingRecords.mutex.Lock()
	defer pendingRecords.mutex.Unlock()
	removed := make([]poison.Fingerprint, 0, len(pendingRecords.fingerprints))
	for fingerprint := range pendingRecords.fingerprints {
		removed = append(removed, fingerprint)
	}
	clear(pendingRecords.fingerprints)
	return removed
}
