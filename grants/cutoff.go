package grants

import (
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/spans"
)

// cutOffAfter is the time without an accepted grant, of which each owner gets one every renewInterval, after which the
// keeper counts as cut off from all owners.
const cutOffAfter = 2 * renewInterval

// logCutOff logs when this keeper reaches no owner any more, and when it reaches one again. It keeps its role: it asks other
// hosts for connections, and a successor that has to learn what owners may hold could transfer nothing for longer.
func (keeper *Keeper) logCutOff(table spans.Table, now cherrykeel.Instant) {
	silence := now.Sub(keeper.acceptedAt)
	isCutOff := silence > cutOffAfter && hasOwner(table)
	if isCutOff == keeper.cutOff {
		return
	}
	keeper.cutOff = isCutOff
	if !isCutOff {
		events.Log(keeper.logger, events.KeeperReaches, zap.Int64("Term", keeper.term), zap.Duration("After", now.Sub(keeper.cutOffAt)))
		return
	}
	keeper.cutOffAt = now.Add(-silence)
	uncertain, lost := 0, 0
	for _, upstream := range keeper.environment.Upstreams() {
		switch {
		case keeper.environment.IsLinkUncertain(upstream.Address):
			uncertain++
		case keeper.environment.LinkLostFor(upstream.Address) > 0:
			lost++
		}
	}
	events.Log(keeper.logger, events.KeeperCutOff,
		zap.Int64("Term", keeper.term), zap.Duration("Silence", silence), zap.Int("Uncertain", uncertain), zap.Int("ThroughOthers", lost))
}

// hasOwner reports whether any span has an owner that is to be granted it.
func hasOwner(table spans.Table) bool {
	for _, list := range table.Services {
		for _, owned := range list {
			if owned.Owner != "" && !owned.InTransfer {
				return true
			}
		}
	}
	return false
}
