package cherrykeel

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrStoreUnavailable means that the store did not serve the call; a write may still take effect.
	ErrStoreUnavailable = errors.New("the store did not serve the call")
	// ErrRecordsExpired means that the records asked for are no longer kept.
	ErrRecordsExpired = errors.New("the store no longer keeps these records")
	// ErrConflict means that another writer came first.
	ErrConflict = errors.New("another writer came first")
)

// KeyedRecord is one record of a KeyedLog; an empty value drops its key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// KeyedBatch is what one call to a KeyedLog returns.
type KeyedBatch struct {
	Records []KeyedRecord
	// Next is the offset that the next record will get.
	Next int64
	// Unreadable has the offsets of records that are none of a keyed log; other writers may have put them there.
	Unreadable []int64
}

// KeyedLog is a log that keeps the newest record of each key for ever.
type KeyedLog interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (KeyedBatch, error)
	// Read returns the records from an offset on, and waits up to wait while there are none; ErrForgotten asks for Newest.
	Read(ctx context.Context, from int64, wait time.Duration) (KeyedBatch, error)
	// Put adds a record and returns its offset.
	Put(ctx context.Context, key string, value []byte) (int64, error)
	// PutAt adds a record only if it gets the offset at; ErrReplaced says that it did not.
	PutAt(ctx context.Context, key string, value []byte, at int64) error
}

// Peer is another host of the system as it announced itself.
type Peer struct {
	Name string
	// Incarnation differs with each start of the host's process.
	Incarnation string `json:"Life"`
	// InternalAddress takes the messages of other hosts, as IP and port.
	InternalAddress string `json:"Inner"`
	Zone            string
	// Capacity is what the host can carry, in cores; duties go to those with most.
	Capacity float64
}
