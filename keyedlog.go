package cherrykeel

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrStoreUnavailable means that the store did not serve the call; a write may take effect nevertheless.
	ErrStoreUnavailable = errors.New("the store did not serve the call")
	// ErrRecordsExpired means that the store no longer keeps the requested records.
	ErrRecordsExpired = errors.New("the store no longer keeps these records")
	// ErrConflict means that another writer's record already has the requested offset.
	ErrConflict = errors.New("another writer came first")
)

// KeyedRecord is one record of a KeyedLog; an empty value removes its key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// KeyedBatch is the result of one read of a KeyedLog.
type KeyedBatch struct {
	Records []KeyedRecord
	// Next is the offset that the next record will get.
	Next int64
	// Unreadable lists the offsets of records that cannot be decoded, for instance of foreign writers.
	Unreadable []int64
}

// KeyedLog is a log that keeps at least the newest record of each key, without a time limit.
type KeyedLog interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (KeyedBatch, error)
	// Read returns the records from an offset on, and waits up to wait while there are none. After ErrRecordsExpired
	// the caller has to use Newest.
	Read(ctx context.Context, from int64, wait time.Duration) (KeyedBatch, error)
	// Put adds a record and returns its offset.
	Put(ctx context.Context, key string, value []byte) (int64, error)
	// PutAt appends a record only if its offset will be at, and returns ErrConflict otherwise.
	PutAt(ctx context.Context, key string, value []byte, at int64) error
}

// Peer is a host's own announcement of itself to the other hosts.
type Peer struct {
	Name string
	// Incarnation differs with each start of the host's process.
	Incarnation string `json:"Life"`
	// InternalAddress receives the messages of other hosts, as IP and port.
	InternalAddress string `json:"Inner"`
	Zone            string
	// Capacity is the host's processing capacity in cores; hosts with most get the additional roles.
	Capacity float64
}
