package deny

import (
	"context"
	"sync"

	"cherrykeel/poison"
)

// Pending are requests whose records are still to be written where hosts find them that start later.
type Pending struct {
	mutex sync.Mutex
	all   map[poison.Identity]bool
	woken chan struct{}
}

// NewPending returns an empty set.
func NewPending() *Pending {
	return &Pending{all: map[poison.Identity]bool{}, woken: make(chan struct{}, 1)}
}

// Add adds a request; what is written of it is the newest record when its turn comes.
func (pending *Pending) Add(record poison.Record) {
	pending.mutex.Lock()
	pending.all[record.Identity] = true
	pending.mutex.Unlock()
	select {
	case pending.woken <- struct{}{}:
	default:
	}
}

// Take waits until there are requests and takes them all; nil says that the context has ended.
func (pending *Pending) Take(ctx context.Context) []poison.Identity {
	for ctx.Err() == nil {
		taken := pending.take()
		if len(taken) > 0 {
			return taken
		}
		select {
		case <-pending.woken:
		case <-ctx.Done():
		}
	}
	return nil
}

func (pending *Pending) take() []poison.Identity {
	pending.mutex.Lock()
	defer pending.mutex.Unlock()
	taken := make([]poison.Identity, 0, len(pending.all))
	for identity := range pending.all {
		taken = append(taken, identity)
	}
	clear(pending.all)
	return taken
}
