package spans_test

import (
	"flag"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cherrykeel"
	"cherrykeel/spans"
)

const (
	// modelKeys are enough to split, move and join parts of a span.
	modelKeys      = 4
	modelUpstreams = 3
	// grantLimit and releaseMargin are of the time limits of orders, and evidenceAge is how long a keeper goes on after
	// its successor is known; package grants has the same.
	grantLimit    = 600 * time.Millisecond
	releaseMargin = 100 * time.Millisecond
	evidenceAge   = time.Second
	shortestHold  = 2500 * time.Millisecond
	longestHold   = 10 * time.Second
	// longestDelay is how long after its arrival a grant without an answer may be applied.
	longestDelay = 12 * time.Second
	longestWork  = 12 * time.Second
	longestWait  = 3 * time.Second
	longestWrite = time.Second
	// shortestStart is how long a process at the least takes to start again under its ID: longer than a keeper may go on
	// beside a successor that has claimed, with its last grant on its way. The next life knows no fence that the last
	// one has seen; an older grant that found it would be taken, also of keys that were released and given on.
	shortestStart = 2*evidenceAge + grantLimit + time.Millisecond
	longestStart  = 5 * time.Second
	// slowest is how much slower than the keeper's an upstream's clock runs, in thousandths.
	slowest = 20
	// rarity is how many draws of a rare action do nothing, for each that does it: a claim or the end of a process
	// undoes what came before.
	rarity = 6
)

// The situations that the generator has to reach.
const (
	reachedRefusal = "a grant is refused"
	reachedWhole   = "a part is released while a renewal of the whole is under way"
	reachedAfter   = "a grant is answered after a release of its keys was"
	reachedShorter = "a grant is shorter than one before it"
	reachedReturn  = "a span goes back to its owner"
	reachedStale   = "a release is answered when its span has gone back"
	reachedClaim   = "a successor claims while a release waits"
	reachedBeside  = "a keeper grants beside its successor"
	reachedOutwait = "a span is given on when its hold has passed"
	reachedLate    = "a grant is applied late, and its hold goes on"
	reachedWork    = "a release waits for work"
	reachedMerge   = "neighbours are joined"
	reachedEnd     = "the end of a process is known"
	reachedLife    = "a next life gets its keys"
)

// modelOrder tells the orders of which a keeper has one under way at a time.
type modelOrder struct {
	owner   string
	span    cherrykeel.KeySpan
	fence   int64
	release bool
}

type modelGrant struct {
	modelOrder
	hold time.Duration
	call int64
}

// held is the span as the ledger knows it.
func (order modelOrder) held() spans.Held {
	return spans.Held{Service: service, Owner: order.owner, Span: order.span, Fence: order.fence}
}

func (order modelOrder) String() string {
	kind := "grant"
	if order.release {
		kind = "release"
	}
	return fmt.Sprintf("%s of %d-%d to %s under %d", kind, order.span.First, order.span.Last, order.owner, order.fence)
}

func (order modelOrder) overlaps(other modelOrder) bool {
	return order.owner == other.owner && order.span.First <= other.span.Last && order.span.Last >= other.span.First
}

// modelWork is a request that an upstream runs on a key.
type modelWork struct {
	key   int
	until cherrykeel.Instant
}

// modelUpstream is an upstream that keeps the rules of grants and releases.
type modelUpstream struct {
	id   string
	born int64
	// dead processes do nothing; gone ones do not start again under their ID.
	dead bool
	gone bool
	// longer upstreams keep the longer of two holds; others go by the last one.
	longer bool
	slow   int64
	until  [modelKeys]cherrykeel.Instant
	fences [modelKeys]int64
	work   []modelWork
}

// stop ends a life; the next one holds nothing and knows no fence.
func (upstream *modelUpstream) stop() {
	upstream.dead = true
	upstream.born++
	upstream.until = [modelKeys]cherrykeel.Instant{}
	upstream.fences = [modelKeys]int64{}
	upstream.work = nil
}

// fenced reports whether a higher fence was seen on any of the keys.
func (upstream *modelUpstream) fenced(order modelOrder) bool {
	return slices.Max(upstream.fences[order.span.First:order.span.Last+1]) > order.fence
}

// grant takes a grant, whose hold counts from its arrival.
func (upstream *modelUpstream) grant(grant modelGrant, arrived cherrykeel.Instant) {
	length := grant.hold + grant.hold*time.Duration(upstream.slow)/1000
	for key := grant.span.First; key <= grant.span.Last; key++ {
		until := arrived.Add(length)
		if upstream.longer {
			until = max(until, upstream.until[key])
		}
		upstream.until[key] = until
		upstream.fences[key] = grant.fence
	}
}

// release stops new work on the keys, and returns when the work that runs on them will have ended.
func (upstream *modelUpstream) release(order modelOrder, now cherrykeel.Instant) cherrykeel.Instant {
	for key := order.span.First; key <= order.span.Last; key++ {
		upstream.until[key] = 0
		upstream.fences[key] = max(upstream.fences[key], order.fence)
	}
	ended := now
	for _, work := range upstream.work {
		if order.span.Contains(work.key) {
			ended = max(ended, work.until)
		}
	}
	return ended
}

// busy reports whether the upstream holds a key or works on it.
func (upstream *modelUpstream) busy(key int, now cherrykeel.Instant) bool {
	working := func(work modelWork) bool { return work.key == key && work.until > now }
	return upstream.until[key] > now || slices.ContainsFunc(upstream.work, working)
}

// modelFate is what the network does with an order.
type modelFate struct {
	// unsent orders are known never to have left; of lost ones nothing arrives.
	unsent bool
	lost   bool
	// travels and returns are the times to the upstream and back.
	travels  time.Duration
	returns  time.Duration
	answered bool
	// late is how long after its arrival a grant without an answer is applied.
	late time.Duration
}

// modelKeeper is one term of a keeper, as far as it counts and orders.
type modelKeeper struct {
	ledger   spans.Ledger
	table    spans.Table
	pending  map[modelOrder]bool
	released map[modelOrder]bool
	// writing says that the span given is being written as the next table has it; written, that the store has it.
	writing bool
	written bool
	given   spans.Owned
	// boundAt is when a successor knows that the keeper before granted nothing that goes on after bound; stopsAt is
	// when a keeper has ended.
	boundAt cherrykeel.Instant
	bound   cherrykeel.Instant
	stopsAt cherrykeel.Instant
}

func newModelKeeper(table spans.Table) *modelKeeper {
	return &modelKeeper{
		table: table, pending: map[modelOrder]bool{}, released: map[modelOrder]bool{}, stopsAt: spans.Never, boundAt: spans.Never,
	}
}

// replace puts a span into the table.
func replace(table spans.Table, given spans.Owned) {
	for i, owned := range table.Services[service] {
		if owned.Span() == given.Span() {
			table.Services[service][i] = given
		}
	}
}

// awaits reports whether a release is of what the table has now.
func (keeper *modelKeeper) awaits(release modelOrder) bool {
	return slices.ContainsFunc(keeper.table.Services[service], func(owned spans.Owned) bool {
		return owned.Moving && releaseOf(owned) == release
	})
}

func releaseOf(owned spans.Owned) modelOrder {
	return modelOrder{owner: owned.Owner, span: owned.Span(), fence: owned.Fence + 1, release: true}
}

type modelEvent struct {
	at  cherrykeel.Instant
	run func()
}

// model is a site in virtual time.
type model struct {
	t         *rapid.T
	now       cherrykeel.Instant
	events    []modelEvent
	upstreams []*modelUpstream
	keeper    *modelKeeper
	before    *modelKeeper
	offset    int64
	// taken are the highest fences with which each upstream had a key.
	taken   [modelKeys]map[string]int64
	reached map[string]int
}

func newModel(t *rapid.T, reached map[string]int) *model {
	model := &model{t: t, now: at(time.Hour), reached: reached}
	for range modelUpstreams {
		model.join()
	}
	for key := range model.taken {
		model.taken[key] = map[string]int64{}
	}
	all := spans.Owned{First: 0, Last: modelKeys - 1, Owner: model.upstreams[0].id, Fence: model.next()}
	model.keeper = newModelKeeper(spans.Table{Services: map[string][]spans.Owned{service: {all}}})
	return model
}

// join adds an upstream that has just started.
func (model *model) join() {
	model.upstreams = append(model.upstreams, &modelUpstream{
		id:     fmt.Sprintf("u%d", len(model.upstreams)),
		longer: rapid.Bool().Draw(model.t, "longer"),
		slow:   rapid.SampledFrom([]int64{0, slowest}).Draw(model.t, "slow"),
	})
}

func (model *model) next() int64 {
	model.offset++
	return model.offset
}

func (model *model) upstream(id string) *modelUpstream {
	i := slices.IndexFunc(model.upstreams, func(upstream *modelUpstream) bool { return upstream.id == id })
	return model.upstreams[i]
}

func (model *model) log(format string, values ...any) {
	model.t.Logf("%d ms: %s", time.Duration(model.now-at(time.Hour)).Milliseconds(), fmt.Sprintf(format, values...))
}

// draw draws a time, often the shortest or the longest, since what goes wrong does so where ends meet.
func (model *model) draw(label string, longest time.Duration) time.Duration {
	milliseconds := rapid.OneOf(rapid.Just(int64(0)), rapid.Just(longest.Milliseconds()), rapid.Int64Range(0, longest.Milliseconds()))
	return time.Duration(milliseconds.Draw(model.t, label)) * time.Millisecond
}

func (model *model) drawUpstream(label string) *modelUpstream {
	return model.upstreams[rapid.IntRange(0, len(model.upstreams)-1).Draw(model.t, label)]
}

// drawOwned draws one of the spans that are fit, if there is one.
func (model *model) drawOwned(table spans.Table, fit func(owned spans.Owned) bool) (spans.Owned, bool) {
	var list []spans.Owned
	for _, owned := range table.Services[service] {
		if fit(owned) {
			list = append(list, owned)
		}
	}
	if len(list) == 0 {
		return spans.Owned{}, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(model.t, "span")], true
}

func stays(owned spans.Owned) bool { return !owned.Moving }

func moves(owned spans.Owned) bool { return owned.Moving }

// free reports whether the ledger says that nobody holds a span.
func (model *model) free(owned spans.Owned) bool {
	return model.keeper.ledger.FreeAt(service, "", owned.Span()) <= model.now
}

// ends reports whether the ledger knows when a span that is held will be free.
func (model *model) ends(owned spans.Owned) bool {
	return !model.free(owned) && model.keeper.ledger.FreeAt(service, "", owned.Span()) != spans.Never
}

// passedOver reports whether a rare action is not to be done this time.
func (model *model) passedOver() bool {
	return rapid.IntRange(0, rarity).Draw(model.t, "rarity") < rarity
}

func (model *model) after(delay time.Duration, run func()) {
	model.events = append(model.events, modelEvent{at: model.now.Add(delay), run: run})
}

// advance lets time pass, and what happens in it happen in order.
func (model *model) advance(until cherrykeel.Instant) {
	for next := model.due(until); next >= 0; next = model.due(until) {
		event := model.events[next]
		model.events = slices.Delete(model.events, next, next+1)
		model.now = event.at
		event.run()
		model.check()
	}
	model.now = until
	model.tick()
}

// due returns the first event until a time, or -1.
func (model *model) due(until cherrykeel.Instant) int {
	first := -1
	for i, event := range model.events {
		if event.at <= until && (first < 0 || event.at < model.events[first].at) {
			first = i
		}
	}
	return first
}

// tick does what a keeper does before each look at the table.
func (model *model) tick() {
	if model.now >= model.keeper.boundAt {
		model.keeper.ledger.Bound(model.keeper.bound)
	}
	model.keeper.ledger.Forget(model.now)
}

// check finds two upstreams on one key.
func (model *model) check() {
	for key := range modelKeys {
		var busy []string
		for _, upstream := range model.upstreams {
			if upstream.busy(key, model.now) {
				busy = append(busy, upstream.id)
			}
		}
		if len(busy) > 1 {
			model.log("key %d is with %v", key, busy)
			model.t.Fatalf("two upstreams hold one key")
		}
	}
}

// checkFences finds a key that is taken under a fence that another upstream has had.
func (model *model) checkFences(upstream *modelUpstream, order modelOrder) {
	for key := order.span.First; key <= order.span.Last; key++ {
		if !upstream.busy(key, model.now) {
			continue
		}
		for id, fence := range model.taken[key] {
			if id != upstream.id && fence >= order.fence {
				model.log("key %d goes to %s under %d, and %s has had %d", key, upstream.id, order.fence, id, fence)
				model.t.Fatalf("a fence goes down")
			}
		}
		model.taken[key][upstream.id] = max(model.taken[key][upstream.id], order.fence)
	}
}

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
	grant.call = keeper.ledger.Sent(grant.held(), spans.End(model.now.Add(grantLimit), grant.hold))
	keeper.pending[grant.modelOrder] = true
	fate := model.drawFate(grantLimit)
	model.log("%s for %s is sent: %+v", grant, grant.hold, fate)
	model.carryGrant(keeper, grant, fate)
}

func (model *model) carryGrant(keeper *modelKeeper, grant modelGrant, fate modelFate) {
	model.after(grantLimit, func() { delete(keeper.pending, grant.modelOrder) })
	if fate.unsent {
		model.after(fate.travels, func() { keeper.ledger.Answered(grant.call) })
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
	if upstream.until[grant.span.First] > spans.End(arrived, grant.hold) {
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
	keeper.ledger.Answered(grant.call)
	if taken {
		keeper.ledger.May(grant.held(), spans.End(model.now, grant.hold))
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
	keeper.ledger.Freed(order.held())
	if keeper == model.keeper && rapid.Bool().Draw(model.t, "atOnce") {
		model.give()
	}
}

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
	owned.Owner, owned.Born, owned.Moving, owned.Fence = taker.id, taker.born, false, model.next()
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
	if left.Owner != right.Owner || left.Born != right.Born || left.Moving || right.Moving {
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
	model.keeper = newModelKeeper(table.Claimed("host", "life", model.next()))
	model.keeper.boundAt = known
	model.keeper.bound = spans.End(known.Add(evidenceAge+grantLimit), longestHold)
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
		held := before.ledger.Held(owned.Owner)
		if orderly && held != spans.Never {
			until = max(held, model.now)
		}
		model.keeper.ledger.May(spans.Held{Service: service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence}, until)
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
		if upstream.gone && model.keeper.ledger.Held(upstream.id) > model.now {
			model.keeper.ledger.Ended(upstream.id)
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
	if upstream.dead || upstream.born == owned.Born {
		return
	}
	owned.Born, owned.Moving, owned.Fence = upstream.born, false, fence
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
