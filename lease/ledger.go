package lease

import (
	"sort"
	"time"

	"github.com/bits-and-blooms/bitset"

	"cherrykeel"
)

// DefaultDrift bounds how much faster or slower one clock may run than another, as a share.
const DefaultDrift = 0.02

// Never is an instant that does not come.
const Never = cherrykeel.Instant(1<<63 - 1)

// Order is a message that the ledger wants sent; its answer is passed to Answered, its loss to Failed.
type Order struct {
	Lessee string
	// Ask asks for the holding without a grant.
	Ask    bool
	Grant  cherrykeel.Grant
	serial int64
}

// possession is what a lessee holds if it took the grant with that sequence.
type possession struct {
	sequence int64
	tenure   Tenure
	// anything stands for a grant that extended what the lessee held, before it said what that was.
	anything bool
}

// lessee is an upstream, or an entry host, that holds a lease.
type lessee struct {
	boot string
	// clock is the lessee's own time in its last answer, which arrived at readAt.
	clock  time.Duration
	readAt cherrykeel.Instant
	known  bool
	// fenced means that it took a grant of this term, so that it refuses older ones.
	fenced bool
	// possible lists what it may hold: first what it last said, then the grants that it has not answered.
	possible []possession
	// bound is the latest end of any lease that was sent to it, on the ledger's clock.
	bound cherrykeel.Instant
	// outstanding is the serial of the order that waits for an answer, or 0.
	outstanding int64
	addedAt     cherrykeel.Instant
	removed     bool
}

// Ledger gives out the leases of one service in one term.
type Ledger struct {
	service     string
	term        int64
	sequence    int64
	length      time.Duration
	drift       float64
	partitionOf func(string) int
	toHosts     bool
	// linger is how long a lessee may still work on what it began before its lease ended.
	linger time.Duration
	serial int64
	// freeAt is when every lease of earlier terms has ended; nobody gains anything before.
	freeAt  cherrykeel.Instant
	wanted  Tenure
	lessees map[string]*lessee
	deposed bool
}

// Option changes a Ledger under construction.
type Option func(*Ledger)

// WithDrift sets the bound on the drift between clocks, as a share.
func WithDrift(drift float64) Option {
	return func(ledger *Ledger) {
		ledger.drift = drift
	}
}

// ToHosts makes entry hosts the lessees, for upstreams that do not check fences.
// Such an upstream works on for up to linger after the host that sent the request has lost its lease.
func ToHosts(linger time.Duration) Option {
	return func(ledger *Ledger) {
		ledger.toHosts = true
		ledger.linger = linger
	}
}

// NewLedger returns the ledger of a term that has just begun; length is that of its leases.
func NewLedger(service string, term int64, length time.Duration, partitionOf func(string) int, options ...Option) *Ledger {
	ledger := &Ledger{
		service:     service,
		term:        term,
		length:      length,
		drift:       DefaultDrift,
		partitionOf: partitionOf,
		freeAt:      Never,
		wanted:      NewTenure(),
		lessees:     map[string]*lessee{},
	}
	for _, option := range options {
		option(ledger)
	}
	return ledger
}

// Free tells when the leases of all earlier terms have ended.
func (ledger *Ledger) Free(at cherrykeel.Instant) {
	ledger.freeAt = at
}

// FreeAt returns when the leases of all earlier terms have ended, or Never while that is not known.
func (ledger *Ledger) FreeAt() cherrykeel.Instant {
	return ledger.freeAt
}

// Want sets what the upstreams should own; the ledger gets there safely.
func (ledger *Ledger) Want(placement cherrykeel.Placement) {
	ledger.wanted = TenureOf(placement)
}

// Lessees sets who gets leases; one that is left out is not renewed and is forgotten when its lease has ended.
func (ledger *Ledger) Lessees(names []string) {
	for _, lessee := range ledger.lessees {
		lessee.removed = true
	}
	for _, name := range names {
		known, exists := ledger.lessees[name]
		if !exists {
			known = &lessee{}
			ledger.lessees[name] = known
		}
		known.removed = false
	}
}

// Deposed reports whether a lessee has shown a newer term.
func (ledger *Ledger) Deposed() bool {
	return ledger.deposed
}

// Bound returns the latest end of any lease given in this term.
func (ledger *Ledger) Bound() cherrykeel.Instant {
	bound := cherrykeel.Instant(0)
	for _, lessee := range ledger.lessees {
		bound = max(bound, lessee.bound)
	}
	return bound
}

// Lost reports whether a lessee has not answered for longer than a lease, so that its lease has ended.
func (ledger *Ledger) Lost(name string, now cherrykeel.Instant) bool {
	lessee, exists := ledger.lessees[name]
	if !exists || lessee.addedAt == 0 {
		return false
	}
	heard := max(lessee.readAt, lessee.addedAt)
	return now >= heard.Add(ledger.length) && now >= lessee.bound
}

// ReadAt returns when a lessee last answered, or 0.
func (ledger *Ledger) ReadAt(name string) cherrykeel.Instant {
	lessee, exists := ledger.lessees[name]
	if !exists {
		return 0
	}
	return lessee.readAt
}

// Holders returns, for each lessee that has answered and whose lease runs, what it said it holds.
func (ledger *Ledger) Holders(now cherrykeel.Instant) map[string]Tenure {
	holders := map[string]Tenure{}
	for name, lessee := range ledger.lessees {
		if lessee.fenced && now < lessee.bound && len(lessee.possible) > 0 {
			holders[name] = lessee.possible[0].tenure
		}
	}
	return holders
}

// Settled reports whether every lessee that answers holds just what it should, and nobody else should hold anything.
func (ledger *Ledger) Settled(now cherrykeel.Instant) bool {
	if now < ledger.freeAt {
		return false
	}
	for name, lessee := range ledger.lessees {
		if !ledger.settled(name, lessee, now) {
			return false
		}
	}
	return true
}

func (ledger *Ledger) settled(name string, lessee *lessee, now cherrykeel.Instant) bool {
	target := ledger.target(name)
	if now >= lessee.bound || lessee.removed {
		return ledger.toHosts || target.empty()
	}
	return len(lessee.possible) == 1 && !lessee.possible[0].anything && lessee.possible[0].tenure.equal(target)
}

// Orders returns what to send now. Leases run for the ledger's length from the older of
// confirmed, when a majority of witnesses knew of no newer term, and the lessee's last answer.
func (ledger *Ledger) Orders(now, confirmed cherrykeel.Instant) []Order {
	if ledger.deposed {
		return nil
	}
	ledger.expire(min(now, confirmed))
	var orders []Order
	for _, name := range ledger.names() {
		lessee := ledger.lessees[name]
		if lessee.addedAt == 0 {
			lessee.addedAt = now
		}
		if lessee.outstanding != 0 || lessee.removed {
			continue
		}
		order, due := ledger.order(name, lessee, now, confirmed)
		if due {
			ledger.serial++
			order.serial = ledger.serial
			lessee.outstanding = order.serial
			orders = append(orders, order)
		}
	}
	return orders
}

func (ledger *Ledger) names() []string {
	names := make([]string, 0, len(ledger.lessees))
	for name := range ledger.lessees {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// expire forgets what lessees held whose leases had ended when the witnesses last confirmed the term.
// That the time has passed is not enough: the keeper of a newer term may have extended the
// lease meanwhile, and this one would give the keys to a second owner. A newer keeper extends
// only after a majority of witnesses has learned its term, so a confirmation that was asked
// for after the lease's end shows that nobody extended it in time.
func (ledger *Ledger) expire(confirmed cherrykeel.Instant) {
	for name, lessee := range ledger.lessees {
		if confirmed < lessee.bound.Add(ledger.linger) {
			continue
		}
		lessee.possible = nil
		if lessee.removed {
			delete(ledger.lessees, name)
		}
	}
}

func (ledger *Ledger) order(name string, lessee *lessee, now, confirmed cherrykeel.Instant) (Order, bool) {
	if !lessee.known || now >= lessee.readAt.Add(ledger.length) {
		return Order{Lessee: name, Ask: true}, true
	}
	end := min(confirmed, lessee.readAt).Add(ledger.length)
	if end <= now || ledger.freeAt == Never {
		// Before the witnesses of earlier terms have learned of this one, an earlier
		// keeper may still give away what this one would extend.
		return Order{}, false
	}
	order := Order{Lessee: name}
	// The lease's end is put on the lessee's own clock, counted from its last answer.
	// A grant that is delivered late, or by a keeper that was paused after this
	// line, therefore ends when it would have ended anyway: it extends nothing.
	left := time.Duration(float64(end.Sub(lessee.readAt)) / (1 + ledger.drift))
	ledger.sequence++
	order.Grant = cherrykeel.Grant{
		Service: ledger.service,
		Fence:   cherrykeel.Fence{Term: ledger.term, Sequence: ledger.sequence},
		Boot:    lessee.boot,
		Until:   lessee.clock + left,
	}
	ledger.fill(name, lessee, now, &order)
	lessee.bound = max(lessee.bound, end)
	return order, true
}

// fill decides what the order gives: the same again, or a new tenure.
func (ledger *Ledger) fill(name string, lessee *lessee, now cherrykeel.Instant, order *Order) {
	if now < ledger.freeAt || !lessee.fenced && len(lessee.possible) > 0 {
		// The first grant of a term keeps what earlier terms gave, so that a change of
		// keeper interrupts nobody; until the answer tells what that is, it may be anything.
		order.Grant.Partial = true
		kept := possession{sequence: ledger.sequence, anything: !lessee.fenced}
		if lessee.fenced {
			kept.tenure = lessee.held()
		}
		lessee.possible = append(lessee.possible, kept)
		return
	}
	next := ledger.allowed(name, lessee)
	order.Grant.Partial = lessee.holdsJust(next)
	if !order.Grant.Partial {
		next.fill(&order.Grant, name, ledger.toHosts)
	}
	lessee.possible = append(lessee.possible, possession{sequence: ledger.sequence, tenure: next})
}

// held is what a lessee last said it holds, or nothing if that has lapsed.
func (lessee *lessee) held() Tenure {
	if len(lessee.possible) == 0 || lessee.possible[0].anything {
		return NewTenure()
	}
	return lessee.possible[0].tenure
}

func (lessee *lessee) holdsJust(tenure Tenure) bool {
	return lessee.fenced && len(lessee.possible) == 1 && !lessee.possible[0].anything && lessee.possible[0].tenure.equal(tenure)
}

// target is what a lessee should hold in the end.
func (ledger *Ledger) target(name string) Tenure {
	if ledger.toHosts {
		return ledger.wanted
	}
	return ledger.wanted.Only(name, ledger.partitionOf)
}

// allowed is the part of the target that no other lessee may still hold for another upstream.
func (ledger *Ledger) allowed(name string, lessee *lessee) Tenure {
	target := ledger.target(name)
	held := lessee.held()
	next := NewTenure()
	for upstream, wanted := range target.Partitions {
		blocked := ledger.blocked(upstream)
		if ledger.anybodyUnknown() {
			blocked = wanted
		}
		if own, holds := held.Partitions[upstream]; holds {
			blocked = blocked.Difference(own)
		}
		next.Partitions[upstream] = wanted.Difference(blocked)
	}
	for key, owner := range target.HotKeys {
		if held.HotKeys[key] == owner || !ledger.keyHeldElsewhere(owner, key) {
			next.HotKeys[key] = owner
		}
	}
	for key := range target.ExceptKeys {
		next.ExceptKeys[key] = true
	}
	ledger.exceptCoolingKeys(next)
	if ledger.anybodyUnknown() {
		// A key that was held alone may still be, by a lessee that has not said what it holds.
		for key := range held.ExceptKeys {
			next.ExceptKeys[key] = true
		}
	}
	return next
}

func (ledger *Ledger) anybodyUnknown() bool {
	for _, lessee := range ledger.lessees {
		for _, possession := range lessee.possible {
			if possession.anything {
				return true
			}
		}
	}
	return false
}

// blocked returns the partitions that somebody may hold for an upstream other than this one.
func (ledger *Ledger) blocked(upstream string) *bitset.BitSet {
	blocked := &bitset.BitSet{}
	for _, lessee := range ledger.lessees {
		for _, possession := range lessee.possible {
			for other, set := range possession.tenure.Partitions {
				if other != upstream {
					blocked.InPlaceUnion(set)
				}
			}
		}
	}
	return blocked
}

func (ledger *Ledger) keyHeldElsewhere(owner, key string) bool {
	partition := ledger.partitionOf(key)
	for _, lessee := range ledger.lessees {
		for _, possession := range lessee.possible {
			if possession.anything || possession.tenure.keyElsewhere(owner, key, partition) {
				return true
			}
		}
	}
	return false
}

func (tenure Tenure) keyElsewhere(owner, key string, partition int) bool {
	if hot, held := tenure.HotKeys[key]; held && hot != owner {
		return true
	}
	if tenure.ExceptKeys[key] {
		return false
	}
	for upstream := range tenure.Partitions {
		if upstream != owner && tenure.has(upstream, partition) {
			return true
		}
	}
	return false
}

// exceptCoolingKeys leaves out keys that go back to their partitions but may still be held alone by another upstream.
func (ledger *Ledger) exceptCoolingKeys(next Tenure) {
	for _, lessee := range ledger.lessees {
		for _, possession := range lessee.possible {
			for key, owner := range possession.tenure.HotKeys {
				if next.givesTo(owner, ledger.partitionOf(key)) {
					continue
				}
				next.ExceptKeys[key] = true
			}
		}
	}
}

// givesTo reports whether the partition is the owner's or nobody's in the tenure.
func (tenure Tenure) givesTo(owner string, partition int) bool {
	for upstream := range tenure.Partitions {
		if upstream != owner && tenure.has(upstream, partition) {
			return false
		}
	}
	return true
}

// Answered takes in a lessee's answer to an order; an answer that comes after Failed is passed over.
func (ledger *Ledger) Answered(order Order, holding cherrykeel.Holding, received cherrykeel.Instant) {
	lessee, exists := ledger.lessees[order.Lessee]
	if !exists || lessee.outstanding != order.serial {
		return
	}
	lessee.outstanding = 0
	if holding.Fence.Term > ledger.term {
		ledger.deposed = true
		return
	}
	if holding.Boot != lessee.boot {
		ledger.restarted(lessee, holding.Boot)
	}
	if holding.Now >= lessee.clock {
		lessee.clock = holding.Now
		lessee.readAt = received
		lessee.known = true
	}
	if !order.Ask && holding.Accepted {
		lessee.accept(order, tenureOfHolding(order.Lessee, holding))
	}
}

// restarted forgets the process that was at the address before; its leases went with it.
// What it sent to an upstream that does not check fences may still be worked on, so
// its possessions stay under a name of their own until that has ended.
func (ledger *Ledger) restarted(lessee *lessee, boot string) {
	if ledger.linger > 0 && len(lessee.possible) > 0 {
		ghost := *lessee
		ghost.removed = true
		ledger.lessees["ghost "+lessee.boot] = &ghost
	}
	lessee.boot = boot
	lessee.clock = 0
	lessee.known = false
	lessee.fenced = false
	lessee.possible = nil
}

// accept drops the possessions that the accepted grant has replaced.
func (lessee *lessee) accept(order Order, said Tenure) {
	kept := []possession{{sequence: order.Grant.Fence.Sequence, tenure: said}}
	for _, possession := range lessee.possible {
		if possession.sequence > order.Grant.Fence.Sequence {
			kept = append(kept, possession)
		}
	}
	lessee.possible = kept
	lessee.fenced = true
}

// Failed takes in that no answer came to an order; the lessee may have taken it all the same.
func (ledger *Ledger) Failed(order Order) {
	lessee, exists := ledger.lessees[order.Lessee]
	if exists && lessee.outstanding == order.serial {
		lessee.outstanding = 0
	}
}
