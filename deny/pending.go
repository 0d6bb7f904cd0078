package deny

import (
	"context"
	"sync"

	"cherrykeel/poison"
)

// PendingRecords are requests whose records are still to be written where hosts find them that start later.
type PendingRecords struct {
	mutex        sync.Mutex
	fingerprints map[poison.Fingerprint]bool
	added        chan struct{}
}

// NewPendingRecords returns an empty set.
func NewPendingRecords() *PendingRecords {
	return &PendingRecords{fingerprints: map[poison.Fingerprint]bool{}, added: make(chan struct{}, 1)}
}

// Add adds a request; what is written of it is the newest record when its turn comes.
func (pending *PendingRecords) Add(record poison.Record) {
	pending.mutex.Lock()
	pending.fingerprints[record.Fingerprint] = true
	pending.mutex.Unlock()
	select {
	case pending.added <- struct{}{}:
	default:
	}
}

// DequeueAll waits until there are requests and takes them all; nil says that the context has ended.
func (pending *PendingRecords) DequeueAll(ctx context.Context) []poison.Fingerprint {
	for ctx.Err() == nil {
		taken := pending.removeAll()
		if len(taken) > 0 {
			return taken
		}
		select {
		case <-pending.added:
		case <-ctx.Done():
		}
	}
	return nil
}

func (pending *PendingRecords) removeAll() []poison.Fingerprint {
	pending.mutex.Lock()
	defer pending.mutex.Unlock()
	taken := make([]poison.Fingerprint, 0, len(pending.fingerprints))
	for identity := range pending.fingerprints {
		taken = append(taken, identity)
	}
	clear(pending.fingerprints)
	return taken
}
