package spans_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"cherrykeel"
	"cherrykeel/spans"
)

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
		model.keeper.ledger.BoundUnknownLeases(model.keeper.bound)
	}
	model.keeper.ledger.RemoveExpired(model.now)
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
