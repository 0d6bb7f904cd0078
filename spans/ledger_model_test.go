package spans_test

import (
	"fmt"
	"slices"
	"time"

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
func (order modelOrder) held() spans.GrantedSpan {
	return spans.GrantedSpan{Service: service, Owner: order.owner, Span: order.span, Fence: order.fence}
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
