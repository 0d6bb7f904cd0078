package cherrykeel

import (
	"context"

	"github.com/pkg/errors"
)

// ErrLogUnavailable means that the platform's log did not answer; an append may still have taken effect.
var ErrLogUnavailable = errors.New("the platform's log is unavailable")

// LogRecord is one record as the platform's log keeps it.
type LogRecord struct {
	Offset int64
	Data   []byte
}

// LogBatch is what one read of the log returns.
type LogBatch struct {
	// First is the oldest offset that the log still keeps.
	First int64
	// Next is the offset that the next append will get.
	Next    int64
	Records []LogRecord
}

// Log is the platform's append-only log; its offsets are the only order that all hosts share.
type Log interface {
	// Append asks for a record to be added and returns its offset; ErrLogUnavailable leaves the outcome open.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns records from an offset on, and waits a moment when there are none yet.
	Read(ctx context.Context, from int64) (LogBatch, error)
}
