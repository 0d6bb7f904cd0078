package lease

import (
	"time"

	"cherrykeel"
)

// DefaultDrift bounds how much faster or slower one clock may run than another, as a share.
const DefaultDrift = 0.02

// Never is an instant that does not come.
const Never = cherrykeel.Instant(1<<63 - 1)

// Order is a message that the ledger wants sent; its answer is passed to Answered, its loss to Failed.
type Order struct {
	Lessee string
	// Query asks for the holding without a grant.
	Query  bool
	Grant  cherrykeel.Grant
	serial int64
}

// possession is what a lessee holds if it took the grant with that sequence.
type possession struct {
	sequence int64
	tenure   Assignment
	// anything stands for a grant that extended what the lessee held, before it said what that was.
	anything bool
}

// lessee is an upstream, or an entry host, that holds a lease.
type lessee struct {
	boot string
	// replaced are the processes that were at the address before, whose answers count no more.
	replaced map[string]bool
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
	// timeout bounds the requests that hosts send under their leases.
	timeout time.Duration
	// linger is how long upstreams may work on what hosts sent before their leases ended.
	linger time.Duration
	serial int64
	// freeAt is when every lease of earlier terms has ended; nobody gains anything before.
	freeAt  cherrykeel.Instant
	wanted  Assignment
	lessees map[string]*lessee
	// ghosts counts the processes that were kept when they ceased to be lessees.
	ghosts  int
	deposed bool
}

// transitTime is how long a request may be on its way; its upstream counts the time for it from its arrival.
const transitTime = 250 * time.Millisecond

// MaxProcessingTime bounds how long after a request was sent an upstream may work on it, by the sender's clock; timeout is
// what the request told the upstream, whose own clock may be slow.
func MaxProcessingTime(timeout time.Duration) time.Duration {
	return transitTime + MaxElapsed(timeout)
}

// MaxElapsed bounds the time on any clock in which a duration passes on another one.
func MaxElapsed(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 + DefaultDrift))
}

// Option changes a Ledger under construction.
type Option func(*Ledger)

// WithDrift sets the bound on the drift between clocks, as a share.
func WithDrift(drift float64) Option {
	return func(ledger *Ledger) {
		ledger.drift = drift
	}
}

// LeaseToHosts makes entry hosts the lessees, for upstreams that do not check fences. Such an upstream may work on
// a request for up to timeout after it was sent, also when the host that sent it has lost its lease.
func LeaseToHosts(timeout time.Duration) Option {
	return func(ledger *Ledger) {
		ledger.toHosts = true
		ledger.timeout = timeout
		ledger.linger = MaxElapsed(MaxProcessingTime(timeout))
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
		wanted:      NewAssignment(),
		lessees:     map[string]*lessee{},
	}
	for _, option := range options {
		option(ledger)
	}
	return ledger
}

// SetFreeAt tells when the leases of all earlier terms have ended.
func (ledger *Ledger) SetFreeAt(at cherrykeel.Instant) {
	ledger.freeAt = at
}

// FreeAt returns when the leases of all earlier terms have ended, or Never while that is not known.
func (ledger *Ledger) FreeAt() cherrykeel.Instant {
	return ledger.freeAt
}

// SetTarget sets what the upstreams should own; the ledger gets there safely.
func (ledger *Ledger) SetTarget(placement cherrykeel.Placement) {
	ledger.wanted = AssignmentOf(placement)
}

// SetLessees sets who gets leases; one that is left out is not renewed and is forgotten when its lease has ended.
func (ledger *Ledger) SetLessees(names []string) {
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

// IsDeposed reports whether a lessee has shown a newer term.
func (ledger *Ledger) IsDeposed() bool {
	return ledger.deposed
}

// LatestLeaseEnd returns the latest end of any lease given in this term.
func (ledger *Ledger) LatestLeaseEnd() cherrykeel.Instant {
	bound := cherrykeel.Instant(0)
	for _, lessee := range ledger.lessees {
		bound = max(bound, lessee.bound)
	}
	return bound
}

// IsUnavailable reports whether a lessee has not answered for longer than a lease, so that its lease has ended.
func (ledger *Ledger) IsUnavailable(name string, now cherrykeel.Instant) bool {
	lessee, exists := ledger.lessees[name]
	if !exists || lessee.addedAt == 0 {
		return false
	}
	heard := max(lessee.readAt, lessee.addedAt)
	return now >= heard.Add(ledger.length) && now >= lessee.bound
}

// LastAnswerAt returns when a lessee last answered, or 0.
func (ledger *Ledger) LastAnswerAt(name string) cherrykeel.Instant {
	lessee, exists := ledger.lessees[name]
	if !exists {
		return 0
	}
	return lessee.readAt
}

// HeldAssignments returns, for each lessee that has answered and whose lease runs, what it said it holds.
func (ledger *Ledger) HeldAssignments(now cherrykeel.Instant) map[string]Assignment {
	holders := map[string]Assignment{}
	for name, lessee := range ledger.lessees {
		if lessee.fenced && now < lessee.bound && len(lessee.possible) > 0 {
			holders[name] = lessee.possible[0].tenure
		}
	}
	return holders
}

// IsSettled reports whether every lessee that answers holds just what it should, and nobody else should hold anything.
func (ledger *Ledger) IsSettled(now cherrykeel.Instant) bool {
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
