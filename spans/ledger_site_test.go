package spans_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"cherrykeel"
	"cherrykeel/spans"
)

// modelDelivery is what the network and the upstream do with an order.
type modelDelivery struct {
	// unsent orders are known not to have left the keeper; lost ones never arrive.
	unsent bool
	lost   bool
	// requestDelay and replyDelay are the times to the upstream and back.
	requestDelay time.Duration
	replyDelay   time.Duration
	answered     bool
	// applyDelay is how long after its arrival a grant without an answer is applied.
	applyDelay time.Duration
}

// modelKeeper is one term of a keeper, with the state that its orders depend on.
type modelKeeper struct {
	ledger spans.Ledger
	table  spans.Table
	// pending are the orders under way, and released the releases that were answered.
	pending  map[modelOrder]bool
	released map[modelOrder]bool
	// writing is true while changed, a span of the next table, is being written; written is true when the store has
	// it.
	writing bool
	written bool
	changed spans.Owned
	// boundAt is when a successor knows that no lease of the earlier keeper ends after bound; stopsAt is when a
	// keeper has stopped.
	boundAt cherrykeel.Instant
	bound   cherrykeel.Instant
	stopsAt cherrykeel.Instant
}

func newModelKeeper(table spans.Table) *modelKeeper {
	return &modelKeeper{
		table: table, pending: map[modelOrder]bool{}, released: map[modelOrder]bool{}, stopsAt: spans.Never, boundAt: spans.Never,
	}
}

// replace replaces the span of a table that has the same keys.
func replace(table spans.Table, changed spans.Owned) {
	for i, owned := range table.Services[service] {
		if owned.Span() == changed.Span() {
			table.Services[service][i] = changed
		}
	}
}

// isWaitingFor reports whether the table still waits for a release.
func (keeper *modelKeeper) isWaitingFor(release modelOrder) bool {
	return slices.ContainsFunc(keeper.table.Services[service], func(owned spans.Owned) bool {
		return owned.InTransfer && releaseOf(owned) == release
	})
}

func releaseOf(owned spans.Owned) modelOrder {
	return modelOrder{owner: owned.Owner, span: owned.Span(), fence: owned.Fence + 1, release: true}
}

type modelEvent struct {
	at  cherrykeel.Instant
	run func()
}

// model simulates a keeper, its predecessor and upstreams in virtual time.
type model struct {
	t           *rapid.T
	now         cherrykeel.Instant
	events      []modelEvent
	upstreams   []*modelUpstream
	keeper      *modelKeeper
	predecessor *modelKeeper
	offset      int64
	// fences has for each key the highest fence under which each upstream held it.
	fences  [modelKeys]map[string]int64
	reached map[string]int
}

func newModel(t *rapid.T, reached map[string]int) *model {
	model := &model{t: t, now: at(time.Hour), reached: reached}
	for range modelUpstreams {
		model.addUpstream()
	}
	for key := range model.fences {
		model.fences[key] = map[string]int64{}
	}
	all := spans.Owned{First: 0, Last: modelKeys - 1, Owner: model.upstreams[0].id, Fence: model.nextOffset()}
	model.keeper = newModelKeeper(spans.Table{Services: map[string][]spans.Owned{service: {all}}})
	return model
}

// addUpstream adds an upstream that has just started.
func (model *model) addUpstream() {
	model.upstreams = append(model.upstreams, &modelUpstream{
		id:          fmt.Sprintf("u%d", len(model.upstreams)),
		keepsLonger: rapid.Bool().Draw(model.t, "longer"),
		slow:        rapid.SampledFrom([]int64{0, slowest}).Draw(model.t, "slow"),
	})
}

func (model *model) nextOffset() int64 {
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

// drawDuration draws a duration. Zero and the longest value are likely, since most faults occur at the limits.
func (model *model) drawDuration(label string, longest time.Duration) time.Duration {
	milliseconds := rapid.OneOf(rapid.Just(int64(0)), rapid.Just(longest.Milliseconds()), rapid.Int64Range(0, longest.Milliseconds()))
	return time.Duration(milliseconds.Draw(model.t, label)) * time.Millisecond
}

func (model *model) drawUpstream(label string) *modelUpstream {
	return model.upstreams[rapid.IntRange(0, len(model.upstreams)-1).Draw(model.t, label)]
}

// drawOwned draws one of the spans that match, if there is one.
func (model *model) drawOwned(table spans.Table, matches func(owned spans.Owned) bool) (spans.Owned, bool) {
	var list []spans.Owned
	for _, owned := range table.Services[service] {
		if matches(owned) {
			list = append(list, owned)
		}
	}
	if len(list) == 0 {
		return spans.Owned{}, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(model.t, "span")], true
}

func isStable(owned spans.Owned) bool { return !owned.InTransfer }

func isBeingTransferred(owned spans.Owned) bool { return owned.InTransfer }

// isFree reports whether no upstream can hold a span, by the ledger.
func (model *model) isFree(owned spans.Owned) bool {
	return model.keeper.ledger.FreeAt(service, "", owned.Span()) <= model.now
}

// hasKnownEnd reports whether a span is held until a time that the ledger knows.
func (model *model) hasKnownEnd(owned spans.Owned) bool {
	return !model.isFree(owned) && model.keeper.ledger.FreeAt(service, "", owned.Span()) != spans.Never
}

// skipsRare reports whether a rare action is skipped this time.
func (model *model) skipsRare() bool {
	return rapid.IntRange(0, rarity).Draw(model.t, "rarity") < rarity
}

func (model *model) after(delay time.Duration, run func()) {
	model.events = append(model.events, modelEvent{at: model.now.Add(delay), run: run})
}

// advance runs all events until a time, in order.
func (model *model) advance(until cherrykeel.Instant) {
	for next := model.nextEvent(until); next >= 0; next = model.nextEvent(until) {
		event := model.events[next]
		model.events = slices.Delete(model.events, next, next+1)
		model.now = event.at
		event.run()
		model.check()
	}
	model.now = until
	model.tick()
}

// nextEvent returns the index of the first event until a time, or -1.
func (model *model) nextEvent(until cherrykeel.Instant) int {
	first := -1
	for i, event := range model.events {
		if event.at <= until && (first < 0 || event.at < model.events[first].at) {
			first = i
		}
	}
	return first
}

// tick does what a keeper does before each decision on the table.
func (model *model) tick() {
	if model.now >= model.keeper.boundAt {
		model.keeper.ledger.BoundUnknownLeases(model.keeper.bound)
	}
	model.keeper.ledger.RemoveExpired(model.now)
}

// check fails if two upstreams hold or work on one key.
func (model *model) check() {
	for key := range modelKeys {
		var busy []string
		for _, upstream := range model.upstreams {
			if upstream.isBusy(key, model.now) {
				busy = append(busy, upstream.id)
			}
		}
		if len(busy) > 1 {
			model.log("key %d is held by %v", key, busy)
			model.t.Fatalf("two upstreams hold one key")
		}
	}
}

// checkFences fails if an upstream gets a key under a fence that is not higher than one of another upstream.
func (model *model) checkFences(upstream *modelUpstream, order modelOrder) {
	for key := order.span.First; key <= order.span.Last; key++ {
		if !upstream.isBusy(key, model.now) {
			continue
		}
		for id, fence := range model.fences[key] {
			if id != upstream.id && fence >= order.fence {
				model.log("key %d goes to %s under fence %d, but %s had it under %d", key, upstream.id, order.fence, id, fence)
				model.t.Fatalf("a fence decreases")
			}
		}
		model.fences[key][upstream.id] = max(model.fences[key][upstream.id], order.fence)
	}
}
