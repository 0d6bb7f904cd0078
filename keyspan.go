package cherrykeel

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxKey is the highest numeric key of a keyed service.
const MaxKey = 65535

// NoKey is the key of requests to services without keys.
const NoKey = -1

// ErrFenced means that an upstream has seen a higher fence for one of the keys.
var ErrFenced = errors.New("a higher fence was seen")

// ErrNoAnswer means that an order may or may not have been carried out, now or later.
var ErrNoAnswer = errors.New("the order was not answered")

// KeySpan is a run of keys, both ends included.
type KeySpan struct {
	First int
	Last  int
}

// Contains reports whether the key lies in the span.
func (span KeySpan) Contains(key int) bool {
	return key >= span.First && key <= span.Last
}

// SpanGrant makes an upstream the owner of a span until its hold has passed.
type SpanGrant struct {
	Span KeySpan
	// Fence orders grants: an upstream refuses a lower one than it has seen.
	Fence int64
	// Hold counts from the grant's arrival, on the upstream's clock.
	Hold time.Duration
	// Handover is what the last owner's release returned, or empty.
	Handover string
}

// SpanGranter gives spans to upstreams and takes them back.
type SpanGranter interface {
	// Grant returns nil when it was taken, ErrFenced when refused, and ErrNoAnswer when that is unknown.
	Grant(ctx context.Context, upstream Upstream, grant SpanGrant) error
	// Release stops new work on the span, waits for running work, and returns the handover.
	Release(ctx context.Context, upstream Upstream, span KeySpan, fence int64) (string, error)
}

// Register is a small record that many hosts read and one at a time replaces.
type Register interface {
	// Read returns the newest value and its version, and waits up to wait while it is the one known.
	Read(ctx context.Context, known int64, wait time.Duration) (RegisterValue, error)
	// Replace stores a value if the version is still the one given; ErrReplaced says that it is not.
	Replace(ctx context.Context, version int64, value []byte) (int64, error)
}

// RegisterValue is what a Register holds.
type RegisterValue struct {
	// Version is what the next Replace has to name.
	Version int64
	Value   []byte
	// Changed is false when nothing newer than the known version came.
	Changed bool
}

// ErrReplaced means that another writer came first.
var ErrReplaced = errors.New("another writer came first")

// Peer is another host of the system as it announced itself.
type Peer struct {
	// Name is the host's; Life differs with each start of its process.
	Name  string
	Life  string
	Inner string
	Zone  string
}
