package spans_test

import (
	"time"

	"pgregory.net/rapid"

	"cherrykeel"
	"cherrykeel/spans"
)

func (model *model) drawFate(limit time.Duration) modelFate {
	fate := modelFate{travels: model.draw("travels", limit)}
	switch rapid.IntRange(0, 4).Draw(model.t, "fate") {
	case 0:
		fate.answered = true
		fate.returns = model.draw("returns", limit-fate.travels)
	case 1, 2:
		fate.late = model.draw("late", longestDelay)
	case 3:
		fate.lost = true
	case 4:
		fate.unsent = true
	}
	return fate
}

// grant sends a grant as the keeper's renewOne and send do.
func (model *model) grant(keeper *modelKeeper, owned spans.Owned) {
	grant := modelGrant{modelOrder: modelOrder{owner: owned.Owner, span: owned.Span(), fence: owned.Fence}}
	givenOn := keeper.writing && owned.Span() == keeper.given.Span()
	if owned.Moving || givenOn || keeper.pending[grant.modelOrder] || model.now >= keeper.stopsAt {
		return
	}
	if keeper.ledger.FreeAt(service, grant.owner, grant.span) > model.now {
		return
	}
	grant.hold = rapid.SampledFrom([]time.Duration{shortestHold, longestHold}).Draw(model.t, "hold")
	grant.call = keeper.ledger.RecordSent(grant.held(), spans.LatestLeaseEnd(model.now.Add(grantLimit), grant.hold))
	keeper.pending[grant.modelOrder] = true
	fate := model.drawFate(grantLimit)
	model.log("%s for %s is sent: %+v", grant, grant.hold, fate)
	model.carryGrant(keeper, grant, fate)
}

func (model *model) carryGrant(keeper *modelKeeper, grant modelGrant, fate modelFate) {
	model.after(grantLimit, func() { delete(keeper.pending, grant.modelOrder) })
	if fate.unsent {
		model.after(fate.travels, func() { keeper.ledger.RecordAnswer(grant.call) })
	}
	if fate.unsent || fate.lost {
		return
	}
	model.after(fate.travels, func() {
		upstream := model.upstream(grant.owner)
		if upstream.dead {
			return
		}
		born, arrived := upstream.born, model.now
		model.after(fate.late, func() {
			if upstream.born == born {
				model.applyGrant(keeper, upstream, grant, arrived, fate)
			}
		})
	})
}

func (model *model) applyGrant(keeper *modelKeeper, upstream *modelUpstream, grant modelGrant, arrived cherrykeel.Instant, fate modelFate) {
	taken := !upstream.fenced(grant.modelOrder)
	model.log("%s arrives, taken: %t", grant, taken)
	if taken {
		model.noteGrant(upstream, grant, arrived)
		upstream.grant(grant, arrived)
		model.checkFences(upstream, grant.modelOrder)
	} else {
		model.reached[reachedRefusal]++
	}
	if fate.answered {
		model.after(fate.returns, func() { model.grantAnswered(keeper, grant, taken) })
	}
}

func (model *model) noteGrant(upstream *modelUpstream, grant modelGrant, arrived cherrykeel.Instant) {
	until := arrived.Add(grant.hold)
	if arrived < model.now && until > model.now {
		model.reached[reachedLate]++
	}
	if upstream.until[grant.span.First] > spans.LatestLeaseEnd(arrived, grant.hold) {
		model.reached[reachedShorter]++
	}
}

// grantAnswered counts as the keeper's granted does.
func (model *model) grantAnswered(keeper *modelKeeper, grant modelGrant, taken bool) {
	model.log("%s is answered", grant)
	delete(keeper.pending, grant.modelOrder)
	for release := range keeper.released {
		if release.overlaps(grant.modelOrder) && release.fence > grant.fence {
			model.reached[reachedAfter]++
		}
	}
	keeper.ledger.RecordAnswer(grant.call)
	if taken {
		keeper.ledger.RecordLease(grant.held(), spans.LatestLeaseEnd(model.now, grant.hold))
	}
}

// release sends a release as the keeper's releaseOne does.
func (model *model) release(owned spans.Owned) {
	keeper := model.keeper
	order := releaseOf(owned)
	if !owned.Moving || keeper.pending[order] || keeper.released[order] {
		return
	}
	limit := rapid.SampledFrom([]time.Duration{shortestHold, longestHold}).Draw(model.t, "releaseHold") + releaseMargin
	fate := model.drawFate(limit)
	model.log("%s is sent: %+v", order, fate)
	model.noteRelease(keeper, order)
	keeper.pending[order] = true
	ends := model.now.Add(limit)
	model.after(limit, func() { delete(keeper.pending, order) })
	if !fate.unsent && !fate.lost {
		model.after(fate.travels, func() { model.carryRelease(keeper, order, fate, ends) })
	}
}

func (model *model) noteRelease(keeper *modelKeeper, release modelOrder) {
	for order := range keeper.pending {
		if !order.release && order.overlaps(release) && order.span != release.span {
			model.reached[reachedWhole]++
		}
	}
}

func (model *model) carryRelease(keeper *modelKeeper, order modelOrder, fate modelFate, ends cherrykeel.Instant) {
	upstream := model.upstream(order.owner)
	if upstream.dead {
		return
	}
	born := upstream.born
	ended := upstream.release(order, model.now)
	model.log("%s arrives, and work ends in %s", order, ended.Sub(model.now))
	if ended > model.now {
		model.reached[reachedWork]++
	}
	model.after(ended.Sub(model.now), func() {
		if upstream.born == born && fate.answered && model.now <= ends {
			delay := min(fate.returns, ends.Sub(model.now))
			model.after(delay, func() { model.releaseAnswered(keeper, order) })
		}
	})
}

// releaseAnswered counts as the keeper's released does.
func (model *model) releaseAnswered(keeper *modelKeeper, order modelOrder) {
	model.log("%s is answered", order)
	keeper.released[order] = true
	if !keeper.awaits(order) {
		model.reached[reachedStale]++
	}
	keeper.ledger.RecordRelease(order.held())
	if keeper == model.keeper && rapid.Bool().Draw(model.t, "atOnce") {
		model.give()
	}
}
