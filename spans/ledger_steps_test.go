package spans_test

import (
	"flag"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cherrykeel/spans"
)

func (model *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"wait":      func(*rapid.T) { model.advance(model.now.Add(model.draw("wait", longestWait))) },
		"pause":     func(*rapid.T) { model.advance(model.now.Add(grantLimit)) },
		"renew":     func(*rapid.T) { model.renew(model.keeper) },
		"renew all": func(*rapid.T) { model.renewAll() },
		"renew old": func(*rapid.T) { model.renewOld() },
		"move":      func(*rapid.T) { model.move() },
		"release":   func(*rapid.T) { model.releaseAgain() },
		"give":      func(*rapid.T) { model.give() },
		"outwait":   func(*rapid.T) { model.outwait() },
		"merge":     func(*rapid.T) { model.merge() },
		"work":      func(*rapid.T) { model.work() },
		"claim":     func(*rapid.T) { model.claim() },
		"end":       func(*rapid.T) { model.end() },
		"restart":   func(*rapid.T) { model.restart() },
		"notice":    func(*rapid.T) { model.notice() },
		"":          func(*rapid.T) { model.check() },
	}
}

func (model *model) renew(keeper *modelKeeper) {
	owned, found := model.drawOwned(keeper.table, stays)
	if found {
		model.grant(keeper, owned)
	}
}

func (model *model) renewAll() {
	for _, owned := range model.keeper.table.Services[service] {
		model.grant(model.keeper, owned)
	}
}

// renewOld lets a keeper that has a successor grant by its own table until its evidence has aged.
func (model *model) renewOld() {
	if model.before == nil || model.now >= model.before.stopsAt {
		return
	}
	model.reached[reachedBeside]++
	model.renew(model.before)
}

func (model *model) releaseAgain() {
	owned, found := model.drawOwned(model.keeper.table, moves)
	if found {
		model.release(owned)
	}
}

// move asks an owner for a part of its span, or all of it.
func (model *model) move() {
	owned, found := model.drawOwned(model.keeper.table, stays)
	if !found || model.keeper.writing {
		return
	}
	first := rapid.IntRange(owned.First, owned.Last).Draw(model.t, "first")
	part := span(first, rapid.IntRange(first, owned.Last).Draw(model.t, "last"))
	model.keeper.table.Split(service, part)
	model.next()
	owned.First, owned.Last, owned.Moving = part.First, part.Last, true
	replace(model.keeper.table, owned)
	model.release(owned)
}

// give gives on a span that is free by the ledger.
func (model *model) give() {
	owned, found := model.drawOwned(model.keeper.table, model.free)
	if found {
		model.giveOn(owned)
	}
}

// giveOn gives a free span to an upstream, as spans.Table.Next does: one that moves, or one whose owner is not to
// have it any more.
func (model *model) giveOn(owned spans.Owned) {
	if model.keeper.writing {
		return
	}
	taker := model.drawUpstream("taker")
	if rapid.Bool().Draw(model.t, "back") {
		taker = model.upstream(owned.Owner)
	}
	if taker.dead {
		return
	}
	if owned.Owner == taker.id {
		model.reached[reachedReturn]++
	}
	model.log("%d-%d of %s is to be of %s", owned.First, owned.Last, owned.Owner, taker.id)
	owned.Owner, owned.StartedAt, owned.Moving, owned.Fence = taker.id, taker.born, false, model.next()
	model.write(owned)
}

// write gives a span its place in the store's table, unless another keeper writes before, and then in the keeper's.
func (model *model) write(given spans.Owned) {
	keeper := model.keeper
	keeper.writing, keeper.written, keeper.given = true, false, given
	var stored, read time.Duration
	if rapid.Bool().Draw(model.t, "slowWrite") {
		stored = model.draw("write", longestWrite)
		read = stored + model.draw("read", longestWrite-stored)
	}
	model.after(stored, func() { keeper.written = model.keeper == keeper })
	model.after(read, func() {
		keeper.writing = false
		if !keeper.written {
			return
		}
		replace(keeper.table, given)
		model.log("%d-%d is of %s under %d", given.First, given.Last, given.Owner, given.Fence)
		model.grant(keeper, given)
	})
}

// outwait lets time pass until a span is free by the ledger, and gives it on.
func (model *model) outwait() {
	owned, found := model.drawOwned(model.keeper.table, model.ends)
	if !found {
		return
	}
	model.reached[reachedOutwait]++
	model.advance(model.keeper.ledger.FreeAt(service, "", owned.Span()))
	owned, found = model.keeper.table.Find(service, owned.First)
	if found && model.free(owned) {
		model.giveOn(owned)
	}
}

// merge joins neighbours of one owner, under a new fence if theirs differ, as spans.Table.Next does.
func (model *model) merge() {
	list := model.keeper.table.Services[service]
	i := rapid.IntRange(0, len(list)-1).Draw(model.t, "left")
	if i == len(list)-1 || model.keeper.writing {
		return
	}
	left, right := &list[i], &list[i+1]
	if left.Owner != right.Owner || left.StartedAt != right.StartedAt || left.Moving || right.Moving {
		return
	}
	if left.Fence != right.Fence {
		left.Fence = model.next()
		right.Fence = left.Fence
	}
	model.keeper.table.Merge(service)
	model.reached[reachedMerge]++
}

// work begins a request on a key that an upstream holds. It ends at the latest with the hold that was in force then.
func (model *model) work() {
	key := rapid.IntRange(0, modelKeys-1).Draw(model.t, "key")
	for _, upstream := range model.upstreams {
		if upstream.until[key] > model.now {
			until := min(model.now.Add(model.draw("work", longestWork)), upstream.until[key])
			upstream.work = append(upstream.work, modelWork{key: key, until: until})
			model.log("%s works on %d for %s", upstream.id, key, until.Sub(model.now))
		}
	}
}

// claim makes a successor. It is told when the holds of each owner end by a keeper that ended in good order, and
// else counts from when the other hosts know its term.
func (model *model) claim() {
	if model.passedOver() {
		return
	}
	before := model.keeper
	for order := range before.pending {
		if order.release {
			model.reached[reachedClaim]++
		}
	}
	orderly := rapid.Bool().Draw(model.t, "orderly")
	known := model.now.Add(model.draw("known", evidenceAge))
	before.stopsAt = known.Add(evidenceAge)
	if orderly {
		before.stopsAt = model.now
	}
	table := before.table.Clone()
	if before.writing && before.written {
		replace(table, before.given)
	}
	model.before = before
	model.keeper = newModelKeeper(table.ClaimedBy("host", "life", model.next()))
	model.keeper.boundAt = known
	model.keeper.bound = spans.LatestLeaseEnd(known.Add(evidenceAge+grantLimit), longestHold)
	model.inherit(before, orderly)
	if !orderly {
		model.after(before.stopsAt.Sub(model.now)-1, model.renewOld)
	}
	model.log("a successor claims under %d, in good order: %t", model.offset, orderly)
}

// inherit counts as the keeper's inherit does.
func (model *model) inherit(before *modelKeeper, orderly bool) {
	for _, owned := range model.keeper.table.Services[service] {
		until := spans.Never
		held := before.ledger.HeldUntil(owned.Owner)
		if orderly && held != spans.Never {
			until = max(held, model.now)
		}
		model.keeper.ledger.RecordLease(spans.GrantedSpan{Service: service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence}, until)
	}
}

// end lets a process end for good; another one starts.
func (model *model) end() {
	upstream := model.drawUpstream("ended")
	if model.passedOver() || upstream.dead || len(model.upstreams) == 2*modelUpstreams {
		return
	}
	upstream.stop()
	upstream.gone = true
	model.log("%s ends", upstream.id)
	model.join()
}

// restart lets a process end and start again under its ID.
func (model *model) restart() {
	upstream := model.drawUpstream("restarted")
	if model.passedOver() || upstream.dead {
		return
	}
	upstream.stop()
	start := shortestStart + model.draw("start", longestStart)
	model.log("%s ends and starts again in %s", upstream.id, start)
	model.after(start, func() { upstream.dead = false })
}

// notice tells the keeper of processes that have ended, and of the next lives of others.
func (model *model) notice() {
	for _, upstream := range model.upstreams {
		if upstream.gone && model.keeper.ledger.HeldUntil(upstream.id) > model.now {
			model.keeper.ledger.RecordProcessEnd(upstream.id)
			model.reached[reachedEnd]++
		}
	}
	if model.keeper.writing {
		return
	}
	fence := model.next()
	for i := range model.keeper.table.Services[service] {
		model.revive(&model.keeper.table.Services[service][i], fence)
	}
}

// revive gives a span to the next life of its owner under a higher fence, as spans.Table.Next does.
func (model *model) revive(owned *spans.Owned, fence int64) {
	upstream := model.upstream(owned.Owner)
	if upstream.dead || upstream.born == owned.StartedAt {
		return
	}
	owned.StartedAt, owned.Moving, owned.Fence = upstream.born, false, fence
	model.reached[reachedLife]++
	model.log("%d-%d is of the next life of %s under %d", owned.First, owned.Last, owned.Owner, fence)
}

// setDefault sets a flag of rapid unless it was given by hand.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(set *flag.Flag) { given = given || set.Name == name })
	if !given {
		Expect(flag.Set(name, value)).To(Succeed())
	}
}

// Whatever is lost, late, split, moved or succeeded, no two upstreams hold or work on one key, and no fence goes down.
//
// More by hand: go test ./spans -ginkgo.focus "any site" -ginkgo.v -rapid.checks 100000 -rapid.seed 0
var _ = Describe("the ledger of any site", func() {
	It("lets no two upstreams have a key, as the keeper counts and orders", func() {
		setDefault("rapid.seed", "1")
		setDefault("rapid.checks", "6000")
		setDefault("rapid.steps", "80")
		reached := map[string]int{}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			model := newModel(t, reached)
			t.Repeat(model.actions())
		})
		GinkgoWriter.Println(reached)
		Expect(reached).To(And(
			HaveKey(reachedRefusal), HaveKey(reachedWhole), HaveKey(reachedAfter), HaveKey(reachedShorter), HaveKey(reachedReturn),
			HaveKey(reachedStale), HaveKey(reachedClaim), HaveKey(reachedBeside), HaveKey(reachedOutwait), HaveKey(reachedLate),
			HaveKey(reachedWork), HaveKey(reachedMerge), HaveKey(reachedEnd), HaveKey(reachedLife),
		))
	})
})
