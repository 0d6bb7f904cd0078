package entry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cherrykeel"
	"cherrykeel/permit"
	"cherrykeel/share"
	"cherrykeel/watch"
)

// maxCorrectionAge is how long after its last answer the end of a limit is still known.
const maxCorrectionAge = time.Hour

// limitsInterval bounds how often changed limits are put in force: an upstream may name another one in each answer.
const limitsInterval = 20 * time.Millisecond

// rateLimits joins the division of upstreams' limits with the host: what permit decides, the other hosts and the relay. It
// also tells the other hosts what upstreams state in their answers.
type rateLimits struct {
	host *Host
	// changed puts changed limits in force.
	changed *throttle
	// inForce is set while an upstream names a limit.
	inForce atomic.Bool

	// mutex guards the rest.
	mutex     sync.Mutex
	asker     *permit.Asker
	allocator *permit.Allocator
	// assigning is set while a call of assign is due.
	assigning bool
	loggedAt  cherrykeel.Instant
	// shownLimits has the upstreams with a gauge of their limit.
	shownLimits map[string]bool
}

func newRateLimits(host *Host) *rateLimits {
	return &rateLimits{
		host: host, changed: &throttle{clock: host.clock, interval: limitsInterval, run: host.applyUpstreams},
		asker: permit.NewAsker(rand.Float64), allocator: permit.NewAllocator(), shownLimits: map[string]bool{},
	}
}

// byUpstream returns the limits that are named now.
func (rateLimits *rateLimits) byUpstream() map[permit.Incarnation]watch.Statement {
	byUpstream := map[permit.Incarnation]watch.Statement{}
	for _, known := range rateLimits.host.upstreams.Statements(0) {
		if known.Limit.Limited {
			byUpstream[known.Upstream] = known
		}
	}
	return byUpstream
}

// setRateLimit sets the limit that an upstream names.
func setRateLimit(upstream *cherrykeel.Upstream, limited map[permit.Incarnation]watch.Statement) {
	known, named := limited[permit.Incarnation{ID: upstream.ID, StartedAt: upstream.StartedAt}]
	if !named {
		return
	}
	upstream.HasRateLimit, upstream.RateLimit, upstream.RateLimitSince = true, known.Limit.PerSecond, known.LimitedSince
}

// update applies the limits in force, the list of hosts and their reports to who hands out which permits.
func (rateLimits *rateLimits) update() {
	rateLimits.mutex.Lock()
	defer rateLimits.mutex.Unlock()
	rateLimits.updateRates()
}

// updateRates sets the rates of the upstreams that this host is the allocator of; the mutex is held.
func (rateLimits *rateLimits) updateRates() {
	host := rateLimits.host
	allocators := rateLimits.allocators()
	share := host.mesh.PermitShare()
	limited := map[permit.Incarnation]bool{}
	rates := map[permit.Incarnation]float64{}
	for _, upstream := range host.appliedUpstreams.current() {
		if !upstream.HasRateLimit {
			continue
		}
		incarnation := permit.Incarnation{ID: upstream.ID, StartedAt: upstream.StartedAt}
		limited[incarnation] = true
		if permit.Choose(upstream.ID, allocators) == host.self.Name {
			rates[incarnation] = permit.RateOf(upstream.RateLimit) * share
		}
	}
	rateLimits.inForce.Store(len(limited) > 0)
	rateLimits.asker.Retain(limited)
	rateLimits.allocator.SetRates(rates, host.clock.Now())
}

// allocators returns the hosts among which upstreams have their allocators.
func (rateLimits *rateLimits) allocators() []string {
	return rateLimits.host.mesh.Allocators(rateLimits.host.stopping.Load())
}

// ask asks for the permits that this host's requests wait for, and uses its even part of limits whose allocator does not
// answer.
func (rateLimits *rateLimits) ask() {
	if !rateLimits.inForce.Load() {
		return
	}
	host := rateLimits.host
	asks := host.relay.Wants()
	now := host.clock.Now()
	hosts := host.mesh.HostCount()
	allocators := rateLimits.allocators()
	byUpstream := rateLimits.byUpstream()
	due := map[string][]permit.Ask{}
	var parts []permit.Reply
	rateLimits.mutex.Lock()
	for _, ask := range asks {
		allocator := permit.Choose(ask.Upstream.ID, allocators)
		if rateLimits.asker.IsDue(ask, allocator, now) {
			due[allocator] = append(due[allocator], ask)
		}
		if rateLimits.asker.TakePart(ask.Upstream, byUpstream[ask.Upstream].Limit.PerSecond, hosts, now) {
			parts = append(parts, permit.Reply{Upstream: ask.Upstream, Permits: 1})
		}
	}
	rateLimits.mutex.Unlock()
	for allocator, asks := range due {
		rateLimits.sendAsks(allocator, asks, byUpstream)
	}
	rateLimits.apply(parts)
}

// sendAsks passes asks to their allocator, with the limits that this host knows: the allocator may not have heard them.
func (rateLimits *rateLimits) sendAsks(allocator string, asks []permit.Ask, known map[permit.Incarnation]watch.Statement) {
	host := rateLimits.host
	if allocator == host.self.Name {
		rateLimits.allocate(allocator, asks)
		return
	}
	var statements []share.Statement
	for _, ask := range asks {
		statement, named := known[ask.Upstream]
		if named {
			statements = append(statements, newStatement(statement, host.clock.Now()))
		}
	}
	host.mesh.SendAsks(allocator, asks, statements)
}

// HandleAsks implements share.PermitHandler.
func (rateLimits *rateLimits) HandleAsks(asks share.Asks) {
	rateLimits.receiveStatements(asks.Host, asks.Statements)
	rateLimits.allocate(asks.Host, asks.Asks)
	corrections := rateLimits.corrections(asks.Asks)
	if len(corrections) > 0 {
		rateLimits.host.mesh.SendAsks(asks.Host, nil, corrections)
	}
}

// corrections returns what this host knows of the upstreams among those asked for that name no limit any more. A host that
// has missed the end of a limit would go by its even part until an upstream answers it.
func (rateLimits *rateLimits) corrections(asks []permit.Ask) []share.Statement {
	asked := map[permit.Incarnation]bool{}
	for _, ask := range asks {
		asked[ask.Upstream] = len(ask.Wants) > 0
	}
	var corrections []share.Statement
	for _, known := range rateLimits.host.upstreams.Statements(maxCorrectionAge) {
		if asked[known.Upstream] && !known.Limit.Limited && known.LimitedSince != 0 {
			corrections = append(corrections, newStatement(known, rateLimits.host.clock.Now()))
		}
	}
	return corrections
}

// allocate records what a host wants, and passes on what can be handed out.
func (rateLimits *rateLimits) allocate(host string, asks []permit.Ask) {
	if len(asks) == 0 {
		return
	}
	now := rateLimits.host.clock.Now()
	var replies []permit.HostReply
	rateLimits.mutex.Lock()
	for _, ask := range asks {
		if !rateLimits.allocator.Serves(ask.Upstream) {
			rateLimits.updateRates()
		}
		replies = append(replies, rateLimits.allocator.Ask(host, ask, now)...)
	}
	rateLimits.scheduleAssign(now)
	rateLimits.mutex.Unlock()
	rateLimits.pass(replies)
}

// scheduleAssign calls assign when the next permit can be handed out, if one is wanted; the mutex is held.
func (rateLimits *rateLimits) scheduleAssign(now cherrykeel.Instant) {
	left, waiting := rateLimits.allocator.TimeToNext(now)
	if !waiting || rateLimits.assigning {
		return
	}
	rateLimits.assigning = true
	time.AfterFunc(max(left, time.Millisecond), rateLimits.assign)
}

// assign hands out the permits that are due.
func (rateLimits *rateLimits) assign() {
	now := rateLimits.host.clock.Now()
	rateLimits.mutex.Lock()
	rateLimits.assigning = false
	replies := rateLimits.allocator.Assign(now)
	rateLimits.scheduleAssign(now)
	rateLimits.mutex.Unlock()
	rateLimits.pass(replies)
}

// pass passes on an allocator's replies.
func (rateLimits *rateLimits) pass(replies []permit.HostReply) {
	byHost := map[string][]permit.Reply{}
	for _, reply := range replies {
		byHost[reply.Host] = append(byHost[reply.Host], reply.Reply)
	}
	for name, replies := range byHost {
		if name == rateLimits.host.self.Name {
			rateLimits.receiveReplies(name, replies)
			continue
		}
		rateLimits.host.mesh.SendPermits(name, replies)
	}
}

// HandlePermits implements share.PermitHandler.
func (rateLimits *rateLimits) HandlePermits(permits share.Permits) {
	rateLimits.receiveReplies(permits.Host, permits.Replies)
}

// receiveReplies applies the replies of the hosts that were asked.
func (rateLimits *rateLimits) receiveReplies(from string, replies []permit.Reply) {
	var answered []permit.Reply
	rateLimits.mutex.Lock()
	for _, reply := range replies {
		if rateLimits.asker.RecordReply(reply.Upstream, from) {
			answered = append(answered, reply)
		}
	}
	rateLimits.mutex.Unlock()
	rateLimits.apply(answered)
}

// apply passes replies to the relay.
func (rateLimits *rateLimits) apply(replies []permit.Reply) {
	for _, reply := range replies {
		upstream, known := (&environment{host: rateLimits.host}).findUpstream(reply.Upstream.ID)
		if known && !reply.IsEmpty() {
			rateLimits.host.relay.ApplyPermits(upstream.Service, reply)
		}
	}
}
