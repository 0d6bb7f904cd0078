package spans_test

import (
	"time"

	"pgregory.net/rapid"

	"cherrykeel"
	"cherrykeel/spans"
)

func (model *model) drawDelivery(limit time.Duration) modelDelivery {
	delivery := modelDelivery{requestDelay: model.drawDuration("requestDelay", limit)}
	switch rapid.IntRange(0, 4).Draw(model.t, "delivery") {
	case 0:
		delivery.answered = true
		delivery.replyDelay = model.drawDuration("replyDelay", limit-delivery.requestDelay)
	case 1, 2:
		delivery.applyDelay = model.drawDuration("applyDelay", maxApplyDelay)
	case 3:
		delivery.lost = true
	case 4:
		delivery.unsent = true
	}
	return delivery
}

// grant sends a grant, as renewOne and send of the grants package do.
func (model *model) grant(keeper *modelKeeper, owned spans.Owned) {
	grant := modelGrant{modelOrder: modelOrder{owner: owned.Owner, span: owned.Span(), fence: owned.Fence}}
	isChanging := keeper.writing && owned.Span() == keeper.changed.Span()
	if owned.InTransfer || isChanging || keeper.pending[grant.modelOrder] || model.now >= keeper.stopsAt {
		return
	}
	if keeper.ledger.FreeAt(service, grant.owner, grant.span) > model.now {
		return
	}
	grant.lease = rapid.SampledFrom([]time.Duration{shortLease, longLease}).Draw(model.t, "lease")
	grant.call = keeper.ledger.RecordSent(grant.granted(), spans.LatestLeaseEnd(model.now.Add(grantLimit), grant.lease))
	keeper.pending[grant.modelOrder] = true
	delivery := model.drawDelivery(grantLimit)
	model.log("%s for %s is sent: %+v", grant, grant.lease, delivery)
	model.deliverGrant(keeper, grant, delivery)
}

func (model *model) deliverGrant(keeper *modelKeeper, grant modelGrant, delivery modelDelivery) {
	model.after(grantLimit, func() { delete(keeper.pending, grant.modelOrder) })
	if delivery.unsent {
		model.after(delivery.requestDelay, func() { keeper.ledger.RecordAnswer(grant.call) })
	}
	if delivery.unsent || delivery.lost {
		return
	}
	model.after(delivery.requestDelay, func() {
		upstream := model.upstream(grant.owner)
		if upstream.dead {
			return
		}
		incarnation, arrived := upstream.incarnation, model.now
		model.after(delivery.applyDelay, func() {
			if upstream.incarnation == incarnation {
				model.applyGrant(keeper, upstream, grant, arrived, delivery)
			}
		})
	})
}

func (model *model) applyGrant(keeper *modelKeeper, upstream *modelUpstream, grant modelGrant, arrived cherrykeel.Instant, delivery modelDelivery) {
	applied := !upstream.hasHigherFence(grant.modelOrder)
	model.log("%s arrives, applied: %t", grant, applied)
	if applied {
		model.countGrant(upstream, grant, arrived)
		upstream.grant(grant, arrived)
		model.checkFences(upstream, grant.modelOrder)
	} else {
		model.reached[reachedRefusal]++
	}
	if delivery.answered {
		model.after(delivery.replyDelay, func() { model.onGrantAnswer(keeper, grant, applied) })
	}
}

func (model *model) countGrant(upstream *modelUpstream, grant modelGrant, arrived cherrykeel.Instant) {
	until := arrived.Add(grant.lease)
	if arrived < model.now && until > model.now {
		model.reached[reachedLateGrant]++
	}
	if upstream.until[grant.span.First] > spans.LatestLeaseEnd(arrived, grant.lease) {
		model.reached[reachedShorterGrant]++
	}
}

// onGrantAnswer records an answer, as the grants package does.
func (model *model) onGrantAnswer(keeper *modelKeeper, grant modelGrant, applied bool) {
	model.log("%s is answered", grant)
	delete(keeper.pending, grant.modelOrder)
	for release := range keeper.released {
		if release.overlaps(grant.modelOrder) && release.fence > grant.fence {
			model.reached[reachedLateAnswer]++
		}
	}
	keeper.ledger.RecordAnswer(grant.call)
	if applied {
		keeper.ledger.RecordLease(grant.granted(), spans.LatestLeaseEnd(model.now, grant.lease))
	}
}

// release sends a release, as the grants package does.
func (model *model) release(owned spans.Owned) {
	keeper := model.keeper
	order := releaseOf(owned)
	if !owned.InTransfer || keeper.pending[order] || keeper.released[order] {
		return
	}
	limit := rapid.SampledFrom([]time.Duration{shortLease, longLease}).Draw(model.t, "releaseLimit") + releaseMargin
	delivery := model.drawDelivery(limit)
	model.log("%s is sent: %+v", order, delivery)
	model.countRelease(keeper, order)
	keeper.pending[order] = true
	ends := model.now.Add(limit)
	model.after(limit, func() { delete(keeper.pending, order) })
	if !delivery.unsent && !delivery.lost {
		model.after(delivery.requestDelay, func() { model.deliverRelease(keeper, order, delivery, ends) })
	}
}

func (model *model) countRelease(keeper *modelKeeper, release modelOrder) {
	for order := range keeper.pending {
		if !order.release && order.overlaps(release) && order.span != release.span {
			model.reached[reachedPartRelease]++
		}
	}
}

func (model *model) deliverRelease(keeper *modelKeeper, order modelOrder, delivery modelDelivery, ends cherrykeel.Instant) {
	upstream := model.upstream(order.owner)
	if upstream.dead {
		return
	}
	incarnation := upstream.incarnation
	ended := upstream.release(order, model.now)
	model.log("%s arrives, and work ends in %s", order, ended.Sub(model.now))
	if ended > model.now {
		model.reached[reachedReleaseWait]++
	}
	model.after(ended.Sub(model.now), func() {
		if upstream.incarnation == incarnation && delivery.answered && model.now <= ends {
			delay := min(delivery.replyDelay, ends.Sub(model.now))
			model.after(delay, func() { model.onReleaseAnswer(keeper, order) })
		}
	})
}

// onReleaseAnswer records an answer, as the grants package does.
func (model *model) onReleaseAnswer(keeper *modelKeeper, order modelOrder) {
	model.log("%s is answered", order)
	keeper.released[order] = true
	if !keeper.isWaitingFor(order) {
		model.reached[reachedStaleAnswer]++
	}
	keeper.ledger.RecordRelease(order.granted())
	if keeper == model.keeper && rapid.Bool().Draw(model.t, "atOnce") {
		model.transferFree()
	}
}
