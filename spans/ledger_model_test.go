package spans_test

import (
	"fmt"
	"slices"
	"time"

	"cherrykeel"
	"cherrykeel/spans"
)

const (
	// modelKeys is enough to split, transfer and merge parts of a span.
	modelKeys      = 4
	modelUpstreams = 3
	// grantLimit and releaseMargin define the time limits of orders, and evidenceAge is how long a keeper continues
	// after other hosts have learned of its successor; package grants has the same values.
	grantLimit    = 600 * time.Millisecond
	releaseMargin = 100 * time.Millisecond
	evidenceAge   = time.Second
	shortLease    = 2500 * time.Millisecond
	longLease     = 10 * time.Second
	// maxApplyDelay is how long after its arrival a grant without an answer may be applied.
	maxApplyDelay = 12 * time.Second
	maxWork       = 12 * time.Second
	maxWait       = 3 * time.Second
	maxWrite      = time.Second
	// minRestart is the shortest time in which a process restarts under its ID: longer than a keeper may continue
	// beside a successor, including its last grant on the network. The new process knows none of the fences that the
	// old one has seen, so it would accept an older grant, even of keys that were released and transferred.
	minRestart = 2*evidenceAge + grantLimit + time.Millisecond
	maxRestart = 5 * time.Second
	// slowest is how much slower than the keeper's clock an upstream's clock runs, in thousandths.
	slowest = 20
	// rarity is how many times a rare action is skipped for each time that it runs: a claim or the end of a process
	// discards the state that led up to it.
	rarity = 6
)

// The situations that the generator must reach.
const (
	reachedRefusal        = "a grant is refused"
	reachedPartRelease    = "part of a span is released while a renewal of the whole span is under way"
	reachedLateAnswer     = "a grant is answered after a release of its keys"
	reachedShorterGrant   = "a grant is shorter than one before it"
	reachedReturn         = "a span is transferred back to its owner"
	reachedStaleAnswer    = "a release is answered after its span was transferred back"
	reachedClaimInRelease = "a successor claims while a release waits"
	reachedTwoKeepers     = "a keeper grants beside its successor"
	reachedLeaseEnd       = "a span is transferred after its lease has ended"
	reachedLateGrant      = "a grant is applied late, and its lease still runs"
	reachedReleaseWait    = "a release waits for running work"
	reachedMerge          = "neighbours are merged"
	reachedProcessEnd     = "the end of a process is noticed"
	reachedNewIncarnation = "a new incarnation gets its keys"
)

// modelOrder identifies an order; a keeper has at most one with the same values under way.
type modelOrder struct {
	owner   string
	span    cherrykeel.KeySpan
	fence   int64
	release bool
}

// modelGrant is a grant with its lease duration and its number in the ledger.
type modelGrant struct {
	modelOrder
	lease time.Duration
	call  int64
}

// granted returns the order's span as the ledger records it.
func (order modelOrder) granted() spans.GrantedSpan {
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

// modelWork is a request that an upstream processes for a key.
type modelWork struct {
	key   int
	until cherrykeel.Instant
}

// modelUpstream is an upstream that follows the rules of grants and releases.
type modelUpstream struct {
	id          string
	incarnation int64
	// dead processes do not respond; gone ones do not restart under their ID.
	dead bool
	gone bool
	// keepsLonger upstreams keep the later end of two leases; others use the last one.
	keepsLonger bool
	// slow is how much slower than the keeper's clock the upstream's clock runs, in thousandths.
	slow int64
	// until and fences are the lease end and the highest fence of each key.
	until  [modelKeys]cherrykeel.Instant
	fences [modelKeys]int64
	work   []modelWork
}

// stop ends the process; the next one holds nothing and has seen no fence.
func (upstream *modelUpstream) stop() {
	upstream.dead = true
	upstream.incarnation++
	upstream.until = [modelKeys]cherrykeel.Instant{}
	upstream.fences = [modelKeys]int64{}
	upstream.work = nil
}

// hasHigherFence reports whether the upstream has seen a higher fence for any of the keys.
func (upstream *modelUpstream) hasHigherFence(order modelOrder) bool {
	return slices.Max(upstream.fences[order.span.First:order.span.Last+1]) > order.fence
}

// grant applies a grant, whose lease counts from its arrival.
func (upstream *modelUpstream) grant(grant modelGrant, arrived cherrykeel.Instant) {
	length := grant.lease + grant.lease*time.Duration(upstream.slow)/1000
	for key := grant.span.First; key <= grant.span.Last; key++ {
		until := arrived.Add(length)
		if upstream.keepsLonger {
			until = max(until, upstream.until[key])
		}
		upstream.until[key] = until
		upstream.fences[key] = grant.fence
	}
}

// release stops new work on the keys, and returns when the running work on them ends.
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

// isBusy reports whether the upstream holds a key or works on it.
func (upstream *modelUpstream) isBusy(key int, now cherrykeel.Instant) bool {
	working := func(work modelWork) bool { return work.key == key && work.until > now }
	return upstream.until[key] > now || slices.ContainsFunc(upstream.work, working)
}
