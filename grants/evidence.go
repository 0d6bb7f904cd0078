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
	// answeredRelease is the upstream's answer to a release, which comes when its work on the keys has ended.
	answeredRelease evidence = "released"
	// endedProcess is that the upstream's process is known to be gone.
	endedProcess evidence = "process ended"
	// passedHold is that the longest hold that it may have been granted has passed.
	passedHold evidence = "hold passed"
)

// logTransfer tells who had a span that a proposed table gives on, the first of the upstreams that get it, and by what
// evidence it has been free for how long. Two owners of one key are traced from here: the evidence is named.
func (keeper *Keeper) logTransfer(service string, before spans.Owned, proposal spans.Table, at int64, now cherrykeel.Instant) {
	by, since := keeper.freedBy(service, before, now)
	after, _ := proposal.Find(service, before.First)
	keeper.meter.gave(by)
	events.Log(keeper.logger, events.SpanTransferable,
		zap.String("Service", service), zap.Int("First", before.First), zap.Int("Last", before.Last),
		zap.String("From", before.Owner), zap.String("To", after.Owner), zap.Int64("At", at), zap.Int64("Fence", before.Fence),
		zap.String("FreeBy", string(by)), zap.Duration("FreeFor", since))
}

// freedBy returns the evidence by which a span is free, and for how long it has been.
func (keeper *Keeper) freedBy(service string, before spans.Owned, now cherrykeel.Instant) (evidence, time.Duration) {
	for key, state := range keeper.releases {
		covers := key.Service == service && key.Owner == before.Owner && key.Fence > before.Fence && key.Span.Covers(before.Span())
		if covers && state.done {
			return answeredRelease, now.Sub(state.endedAt)
		}
	}
	contact := keeper.contact(before.Owner)
	if contact.ended {
		return endedProcess, now.Sub(contact.endedAt)
	}
	return passedHold, now.Sub(contact.heldUntil)
}
