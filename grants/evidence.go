package grants

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/spans"
)

// evidence is what tells the keeper that an upstream holds a span no longer.
type evidence string

const (
	// releaseAnswered is the upstream's answer to a release, which comes when its work on the keys has ended.
	releaseAnswered evidence = "released"
	// processEnded is that the upstream's process is known to be gone.
	processEnded evidence = "process ended"
	// leaseExpired is that the longest hold that it may have been granted has passed.
	leaseExpired evidence = "hold passed"
)

// logTransfer tells who had a span that a proposed table gives on, the first of the upstreams that get it, and by what
// evidence it has been free for how long. Two owners of one key are traced from here: the evidence is named.
func (keeper *Keeper) logTransfer(service string, before spans.Owned, proposal spans.Table, at int64, now cherrykeel.Instant) {
	by, since := keeper.evidenceFor(service, before, now)
	after, _ := proposal.Find(service, before.First)
	keeper.meter.countTransfer(by)
	events.Log(keeper.logger, events.SpanGivenOn,
		zap.String("Service", service), zap.Int("First", before.First), zap.Int("Last", before.Last),
		zap.String("From", before.Owner), zap.String("To", after.Owner), zap.Int64("At", at), zap.Int64("Fence", before.Fence),
		zap.String("FreeBy", string(by)), zap.Duration("FreeFor", since))
}

// evidenceFor returns the evidence by which a span is free, and for how long it has been.
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
	return leaseExpired, now.Sub(contact.heldUntil)
}
