package cherrykeel

import (
	"context"

	"github.com/pkg/errors"
)

// ErrLogUnavailable means that the platform's log did not answer; an append may have taken effect nevertheless.
var ErrLogUnavailable = errors.New("the platform's log is unavailable")

// LogRecord is one record of the platform's log.
type LogRecord struct {
	Offset int64
	Data   []byte
}

// LogBatch is the result of one read of the log.
type LogBatch struct {
	// First is the oldest offset that the log still keeps.
	First int64
	// Next is the offset that the next append will get.
	Next    int64
	Records []LogRecord
}

// Log is the platform's append-only log; its offsets are the only order on which all hosts agree.
type Log interface {
	// Append adds a record and returns its offset; after ErrLogUnavailable the outcome is unknown.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns records from an offset on, and waits for a short time if there are none yet.
	Read(ctx context.Context, from int64) (LogBatch, error)
}
