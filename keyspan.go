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

// ErrNotSent is an ErrNoAnswer of an order that has not left this host and will not: it was surely not carried out.
var ErrNotSent = errors.WithMessage(ErrNoAnswer, "it was not sent")

// ErrUpstreamReplaced means that another upstream answers at the address, so the one asked has ended.
var ErrUpstreamReplaced = errors.New("another upstream has the address")

// KeySpan is a run of keys, both ends included.
type KeySpan struct {
	First int
	Last  int
}

// Contains reports whether the key lies in the span.
func (span KeySpan) Contains(key int) bool {
	return key >= span.First && key <= span.Last
}

// Overlaps reports whether a key lies in both spans.
func (span KeySpan) Overlaps(other KeySpan) bool {
	return span.First <= other.Last && span.Last >= other.First
}

// Covers reports whether all keys of the other span lie in this one.
func (span KeySpan) Covers(other KeySpan) bool {
	return span.First <= other.First && span.Last >= other.Last
}

// SpanGrant makes an upstream the owner of a span until its hold has passed.
type SpanGrant struct {
	Span KeySpan
	// Fence orders grants: an upstream refuses a lower one than it has seen.
	Fence int64
	// LeaseDuration counts from the grant's arrival, on the upstream's clock.
	LeaseDuration time.Duration
	// Handover is what the last owner's release returned, or empty.
	Handover string
	// SendBy is when the grant is too old to be sent, on the clock of the host that decided on it; 0 is never.
	SendBy Instant
}

// SpanGranter gives spans to upstreams and takes them back.
type SpanGranter interface {
	// Grant returns nil when it was taken, ErrFenced when refused, ErrNotSent when no byte of it was sent by its time, and
	// ErrNoAnswer when it is unknown whether it was taken.
	Grant(ctx context.Context, upstream Upstream, grant SpanGrant) error
	// Release stops new work on the span, waits for running work, and returns the handover.
	Release(ctx context.Context, upstream Upstream, span KeySpan, fence int64) (string, error)
	// IsLeaving asks an upstream itself whether it leaves, by its service's health path; ErrNoAnswer when it
	// does not say.
	IsLeaving(ctx context.Context, upstream Upstream, healthPath string) (bool, error)
}
