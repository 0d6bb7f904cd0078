package grants

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/spans"
)

// evidence is the reason why an upstream no longer holds a span.
type evidence string

const (
	// releaseAnswered means that the upstream has answered a release, which it does when its requests for the keys have
	// ended.
	releaseAnswered evidence = "released"
	// processEnded means that the upstream's process is known to have ended.
	processEnded evidence = "process ended"
	// leaseExpired means that the longest lease that the upstream may have been granted has expired.
	leaseExpired evidence = "hold passed"
)

// logTransfer logs the owner of a span that a proposed table transfers, the first of the upstreams that get it, and by
// which evidence the span has been free for how long. If two upstreams ever own one key at once, this entry shows on
// which evidence the transfer was based.
func (keeper *Keeper) logTransfer(service string, before spans.Owned, proposal spans.Table, at int64, now cherrykeel.Instant) {
	by, since := keeper.evidenceFor(service, before, now)
	after, _ := proposal.Find(service, before.First)
	keeper.meter.countTransfer(by)
	events.Log(keeper.logger, events.SpanTransferable,
		zap.String("Service", service), zap.Int("First", before.First), zap.Int("Last", before.Last),
		zap.String("From", before.Owner), zap.String("To", after.Owner), zap.Int64("At", at), zap.Int64("Fence", before.Fence),
		zap.String("FreeBy", string(by)), zap.Duration("FreeFor", since))
}

// evidenceFor returns the evidence by which a span is free, and for how long it has been free.
func (keeper *Keeper) evidenceFor(service string, before spans.Owned, now cherrykeel.Instant) (evidence, time.Duration) {
	for key, state := range keeper.releases {
		covers := key.Service == service && key.Owner == before.Owner && key.Fence > before.Fence && key.Span.Covers(before.Span())
		if covers && state.answered {
			return releaseAnswered, now.Sub(state.attemptEndedAt)
		}
	}
	contact := keeper.contact(before.Owner)
	if contact.processEnded {
		return processEnded, now.Sub(contact.processEndedAt)
	}
	return leaseExpired, now.Sub(contact.heldUntil())
}
