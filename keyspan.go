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

// ErrFenced means that an upstream has refused an order because it has seen a higher fence for one of the keys.
var ErrFenced = errors.New("a higher fence was seen")

// ErrNoAnswer means that an order's outcome is unknown: it may have been carried out, or may be later.
var ErrNoAnswer = errors.New("the order was not answered")

// ErrNotSent wraps ErrNoAnswer for an order that has not left this host and never will: it was not carried out.
var ErrNotSent = errors.WithMessage(ErrNoAnswer, "it was not sent")

// ErrUpstreamReplaced means that another upstream answers at the address, so the addressed one has ended.
var ErrUpstreamReplaced = errors.New("another upstream has the address")

// KeySpan is a contiguous range of keys, both ends included.
type KeySpan struct {
	First int
	Last  int
}

// Contains reports whether the span includes the key.
func (span KeySpan) Contains(key int) bool {
	return key >= span.First && key <= span.Last
}

// Overlaps reports whether the two spans have a key in common.
func (span KeySpan) Overlaps(other KeySpan) bool {
	return span.First <= other.Last && span.Last >= other.First
}

// Covers reports whether the span includes all keys of the other one.
func (span KeySpan) Covers(other KeySpan) bool {
	return span.First <= other.First && span.Last >= other.Last
}

// SpanGrant makes an upstream the owner of a span for the duration of a lease.
type SpanGrant struct {
	Span KeySpan
	// Fence orders grants: an upstream refuses any that is lower than one it has seen.
	Fence int64
	// LeaseDuration counts from the grant's arrival, on the upstream's clock.
	LeaseDuration time.Duration
	// Handover is the token that the release by the previous owner returned, or empty.
	Handover string
	// SendBy is the time after which the grant must not be sent, on the sending host's clock; 0 means no limit.
	SendBy Instant
}

// SpanGranter sends grants and releases of spans to upstreams.
type SpanGranter interface {
	// Grant returns nil if the upstream accepted the grant, ErrFenced if it refused it, ErrUpstreamReplaced if another
	// upstream has the address, ErrNotSent if no byte was sent by the grant's SendBy, and ErrNoAnswer if the outcome is
	// unknown.
	Grant(ctx context.Context, upstream Upstream, grant SpanGrant) error
	// Release makes the upstream accept no new requests for the span, waits for the running ones, and returns the
	// handover token for the next owner.
	Release(ctx context.Context, upstream Upstream, span KeySpan, fence int64) (string, error)
	// IsLeaving queries the upstream's health path for whether it is leaving; ErrNoAnswer if no answer shows it, and a
	// RestError, which wraps ErrNoAnswer, if the upstream turned the query away and wants no more for a time. It may state
	// together with that that it is leaving.
	IsLeaving(ctx context.Context, upstream Upstream, healthPath string) (bool, error)
	// Identify asks, at an upstream's address and on a connection of its own, who answers there. It returns nil if the
	// upstream does, ErrUpstreamReplaced if another one does, and ErrNoAnswer if no answer shows it.
	Identify(ctx context.Context, upstream Upstream, healthPath string) error
}
