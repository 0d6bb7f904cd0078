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
		"wait":      func(*rapid.T) { model.advance(model.now.Add(model.drawDuration("wait", maxWait))) },
		"pause":     func(*rapid.T) { model.advance(model.now.Add(grantLimit)) },
		"renew":     func(*rapid.T) { model.renew(model.keeper) },
		"renew all": func(*rapid.T) { model.renewAll() },
		"renew old": func(*rapid.T) { model.renewByPredecessor() },
		"move":      func(*rapid.T) { model.startTransfer() },
		"release":   func(*rapid.T) { model.repeatRelease() },
		"give":      func(*rapid.T) { model.transferFree() },
		"outwait":   func(*rapid.T) { model.waitForEnd() },
		"merge":     func(*rapid.T) { model.merge() },
		"work":      func(*rapid.T) { model.startWork() },
		"claim":     func(*rapid.T) { model.claim() },
		"end":       func(*rapid.T) { model.endProcess() },
		"restart":   func(*rapid.T) { model.restart() },
		"notice":    func(*rapid.T) { model.noticeEnds() },
		"":          func(*rapid.T) { model.check() },
	}
}

func (model *model) renew(keeper *modelKeeper) {
	owned, found := model.drawOwned(keeper.table, isStable)
	if found {
		model.grant(keeper, owned)
	}
}

func (model *model) renewAll() {
	for _, owned := range model.keeper.table.Services[service] {
		model.grant(model.keeper, owned)
	}
}

// renewByPredecessor lets a keeper with a successor grant by its own table until it stops.
func (model *model) renewByPredecessor() {
	if model.predecessor == nil || model.now >= model.predecessor.stopsAt {
		return
	}
	model.reached[reachedTwoKeepers]++
	model.renew(model.predecessor)
}

func (model *model) repeatRelease() {
	owned, found := model.drawOwned(model.keeper.table, isBeingTransferred)
	if found {
		model.release(owned)
	}
}

// startTransfer asks an owner to release its span, or part of it.
func (model *model) startTransfer() {
	owned, found := model.drawOwned(model.keeper.table, isStable)
	if !found || model.keeper.writing {
		return
	}
	first := rapid.IntRange(owned.First, owned.Last).Draw(model.t, "first")
	part := span(first, rapid.IntRange(first, owned.Last).Draw(model.t, "last"))
	model.keeper.table.Split(service, part)
	model.nextOffset()
	owned.First, owned.Last, owned.InTransfer = part.First, part.Last, true
	replace(model.keeper.table, owned)
	model.release(owned)
}

// transferFree transfers a span that is free by the ledger.
func (model *model) transferFree() {
	owned, found := model.drawOwned(model.keeper.table, model.isFree)
	if found {
		model.transfer(owned)
	}
}

// transfer assigns a free span to an upstream, as Table.NextSpans does for a span in transfer, and for one whose
// owner is no candidate any more.
func (model *model) transfer(owned spans.Owned) {
	if model.keeper.writing {
		return
	}
	target := model.drawUpstream("target")
	if rapid.Bool().Draw(model.t, "back") {
		target = model.upstream(owned.Owner)
	}
	if target.dead {
		return
	}
	if owned.Owner == target.id {
		model.reached[reachedReturn]++
	}
	model.log("%d-%d is transferred from %s to %s", owned.First, owned.Last, owned.Owner, target.id)
	owned.Owner, owned.StartedAt, owned.InTransfer, owned.Fence = target.id, target.incarnation, false, model.nextOffset()
	model.write(owned)
}

// write writes a changed span to the store's table, unless a successor claims before, and then applies it to the
// keeper's table.
func (model *model) write(changed spans.Owned) {
	keeper := model.keeper
	keeper.writing, keeper.written, keeper.changed = true, false, changed
	var stored, read time.Duration
	if rapid.Bool().Draw(model.t, "slowWrite") {
		stored = model.drawDuration("write", maxWrite)
		read = stored + model.drawDuration("read", maxWrite-stored)
	}
	model.after(stored, func() { keeper.written = model.keeper == keeper })
	model.after(read, func() {
		keeper.writing = false
		if !keeper.written {
			return
		}
		replace(keeper.table, changed)
		model.log("%d-%d belongs to %s under fence %d", changed.First, changed.Last, changed.Owner, changed.Fence)
		model.grant(keeper, changed)
	})
}

// waitForEnd lets time pass until a span is free by the ledger, and transfers it.
func (model *model) waitForEnd() {
	owned, found := model.drawOwned(model.keeper.table, model.hasKnownEnd)
	if !found {
		return
	}
	model.reached[reachedLeaseEnd]++
	model.advance(model.keeper.ledger.FreeAt(service, "", owned.Span()))
	owned, found = model.keeper.table.Find(service, owned.First)
	if found && model.isFree(owned) {
		model.transfer(owned)
	}
}

// merge merges neighbours of one owner, under a new fence if theirs differ, as Table.NextSpans does.
func (model *model) merge() {
	list := model.keeper.table.Services[service]
	i := rapid.IntRange(0, len(list)-1).Draw(model.t, "left")
	if i == len(list)-1 || model.keeper.writing {
		return
	}
	left, right := &list[i], &list[i+1]
	if left.Owner != right.Owner || left.StartedAt != right.StartedAt || left.InTransfer || right.InTransfer {
		return
	}
	if left.Fence != right.Fence {
		left.Fence = model.nextOffset()
		right.Fence = left.Fence
	}
	model.keeper.table.Merge(service)
	model.reached[reachedMerge]++
}

// startWork starts a request for a key at the upstreams that hold it. It ends no later than the lease that was in
// force at its start.
func (model *model) startWork() {
	key := rapid.IntRange(0, modelKeys-1).Draw(model.t, "key")
	for _, upstream := range model.upstreams {
		if upstream.until[key] > model.now {
			until := min(model.now.Add(model.drawDuration("work", maxWork)), upstream.until[key])
			upstream.work = append(upstream.work, modelWork{key: key, until: until})
			model.log("%s works on %d for %s", upstream.id, key, until.Sub(model.now))
		}
	}
}

// claim starts a successor. After a graceful shutdown it gets the ends of the leases from its predecessor; otherwise
// it counts from when the other hosts have learned its term.
func (model *model) claim() {
	if model.skipsRare() {
		return
	}
	before := model.keeper
	for order := range before.pending {
		if order.release {
			model.reached[reachedClaimInRelease]++
		}
	}
	graceful := rapid.Bool().Draw(model.t, "graceful")
	known := model.now.Add(model.drawDuration("known", evidenceAge))
	before.stopsAt = known.Add(evidenceAge)
	if graceful {
		before.stopsAt = model.now
	}
	table := before.table.Clone()
	if before.writing && before.written {
		replace(table, before.changed)
	}
	model.predecessor = before
	model.keeper = newModelKeeper(table.ClaimedBy("host", "life", model.nextOffset()))
	model.keeper.boundAt = known
	model.keeper.bound = spans.LatestLeaseEnd(known.Add(evidenceAge+grantLimit), longLease)
	model.inherit(before, graceful)
	if !graceful {
		model.after(before.stopsAt.Sub(model.now)-1, model.renewByPredecessor)
	}
	model.log("a successor claims under fence %d, after a graceful shutdown: %t", model.offset, graceful)
}

// inherit records the leases of the earlier keeper, as the grants package does.
func (model *model) inherit(before *modelKeeper, graceful bool) {
	for _, owned := range model.keeper.table.Services[service] {
		until := spans.Never
		held := before.ledger.HeldUntil(owned.Owner)
		if graceful && held != spans.Never {
			until = max(held, model.now)
		}
		model.keeper.ledger.RecordLease(spans.GrantedSpan{Service: service, Owner: owned.Owner, Span: owned.Span(), Fence: owned.Fence}, until)
	}
}

// endProcess ends a process that does not restart, and starts another one.
func (model *model) endProcess() {
	upstream := model.drawUpstream("ended")
	if model.skipsRare() || upstream.dead || len(model.upstreams) == 2*modelUpstreams {
		return
	}
	upstream.stop()
	upstream.gone = true
	model.log("%s ends", upstream.id)
	model.addUpstream()
}

// restart ends a process that restarts under its ID.
func (model *model) restart() {
	upstream := model.drawUpstream("restarted")
	if model.skipsRare() || upstream.dead {
		return
	}
	upstream.stop()
	start := minRestart + model.drawDuration("start", maxRestart)
	model.log("%s ends and restarts in %s", upstream.id, start)
	model.after(start, func() { upstream.dead = false })
}

// noticeEnds lets the keeper notice processes that have ended, and new incarnations of others.
func (model *model) noticeEnds() {
	for _, upstream := range model.upstreams {
		if upstream.gone && model.keeper.ledger.HeldUntil(upstream.id) > model.now {
			model.keeper.ledger.RecordProcessEnd(upstream.id)
			model.reached[reachedProcessEnd]++
		}
	}
	if model.keeper.writing {
		return
	}
	fence := model.nextOffset()
	for i := range model.keeper.table.Services[service] {
		model.grantToNewIncarnation(&model.keeper.table.Services[service][i], fence)
	}
}

// grantToNewIncarnation assigns a span to a new incarnation of its owner under a higher fence, as Table.NextSpans
// does.
func (model *model) grantToNewIncarnation(owned *spans.Owned, fence int64) {
	upstream := model.upstream(owned.Owner)
	if upstream.dead || upstream.incarnation == owned.StartedAt {
		return
	}
	owned.StartedAt, owned.InTransfer, owned.Fence = upstream.incarnation, false, fence
	model.reached[reachedNewIncarnation]++
	model.log("%d-%d belongs to the new incarnation of %s under fence %d", owned.First, owned.Last, owned.Owner, fence)
}

// setDefault sets a flag of rapid unless it was set on the command line.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(set *flag.Flag) { given = given || set.Name == name })
	if !given {
		Expect(flag.Set(name, value)).To(Succeed())
	}
}

// Guards against two owners of one key: whatever is lost, late, split, moved or claimed, no two upstreams hold or
// work on a key, and no fence decreases.
//
// To run more cases: go test ./spans -ginkgo.focus "any site" -ginkgo.v -rapid.checks 100000 -rapid.seed 0
var _ = Describe("the ledger of any site", func() {
	It("never lets two upstreams hold one key", func() {
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
			HaveKey(reachedRefusal), HaveKey(reachedPartRelease), HaveKey(reachedLateAnswer), HaveKey(reachedShorterGrant), HaveKey(reachedReturn),
			HaveKey(reachedStaleAnswer), HaveKey(reachedClaimInRelease), HaveKey(reachedTwoKeepers), HaveKey(reachedLeaseEnd), HaveKey(reachedLateGrant),
			HaveKey(reachedReleaseWait), HaveKey(reachedMerge), HaveKey(reachedProcessEnd), HaveKey(reachedNewIncarnation),
		))
	})
})
