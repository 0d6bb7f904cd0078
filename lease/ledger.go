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
type possibleLease struct {
	sequence   int64
	assignment Assignment
	// anything stands for a grant that extended what the lessee held, before it said what that was.
	unknown bool
}

// lessee is an upstream, or an entry host, that holds a lease.
type lessee struct {
	incarnation string
	// replaced are the processes that were at the address before, whose answers count no more.
	replacedIncarnations map[string]bool
	// clock is the lessee's own time in its last answer, which arrived at readAt.
	clock      time.Duration
	answeredAt cherrykeel.Instant
	clockKnown bool
	// fenced means that it took a grant of this term, so that it refuses older ones.
	fenced bool
	// possible lists what it may hold: first what it last said, then the grants that it has not answered.
	possibleLeases []possibleLease
	// bound is the latest end of any lease that was sent to it, on the ledger's clock.
	leaseEnd cherrykeel.Instant
	// outstanding is the serial of the order that waits for an answer, or 0.
	outstandingOrder int64
	addedAt          cherrykeel.Instant
	removed          bool
}

// Ledger gives out the leases of one service in one term.
type Ledger struct {
	service       string
	term          int64
	sequence      int64
	leaseDuration time.Duration
	maxDrift      float64
	partitionOf   func(string) int
	leaseToHosts  bool
	// timeout bounds the requests that hosts send under their leases.
	timeout time.Duration
	// linger is how long upstreams may work on what hosts sent before their leases ended.
	processingTime time.Duration
	serial         int64
	// freeAt is when every lease of earlier terms has ended; nobody gains anything before.
	freeAt  cherrykeel.Instant
	target  Assignment
	lessees map[string]*lessee
	// ghosts counts the processes that were kept when they ceased to be lessees.
	formerProcesses int
	deposed         bool
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
		ledger.maxDrift = drift
	}
}

// LeaseToHosts makes entry hosts the lessees, for upstreams that do not check fences. Such an upstream may work on
// a request for up to timeout after it was sent, also when the host that sent it has lost its lease.
func LeaseToHosts(timeout time.Duration) Option {
	return func(ledger *Ledger) {
		ledger.leaseToHosts = true
		ledger.timeout = timeout
		ledger.processingTime = MaxElapsed(MaxProcessingTime(timeout))
	}
}

// NewLedger returns the ledger of a term that has just begun; length is that of its leases.
func NewLedger(service string, term int64, leaseDuration time.Duration, partitionOf func(string) int, options ...Option) *Ledger {
	ledger := &Ledger{
		service:       service,
		term:          term,
		leaseDuration: leaseDuration,
		maxDrift:      DefaultDrift,
		partitionOf:   partitionOf,
		freeAt:        Never,
		target:        NewAssignment(),
		lessees:       map[string]*lessee{},
	}
	for _, option := range options {
		option(ledger)
	}
	return ledger
}

// SetFreeAt tells when the leases of all earlier terms have ended.
func (ledger *Ledger) SetFreeAt(freeAt cherrykeel.Instant) {
	ledger.freeAt = freeAt
}

// FreeAt returns when the leases of all earlier terms have ended, or Never while that is not known.
func (ledger *Ledger) FreeAt() cherrykeel.Instant {
	return ledger.freeAt
}

// SetTarget sets what the upstreams should own; the ledger gets there safely.
func (ledger *Ledger) SetTarget(placement cherrykeel.Placement) {
	ledger.target = AssignmentOf(placement)
}

// SetLessees sets who gets leases; one that is left out is not renewed and is forgotten when its lease has ended.
func (ledger *Ledger) SetLessees(names []string) {
	for _, lessee := range ledger.lessees {
		lessee.removed = true
	}
	for _, name := range names {
		entry, exists := ledger.lessees[name]
		if !exists {
			entry = &lessee{}
			ledger.lessees[name] = entry
		}
		entry.removed = false
	}
}

// IsDeposed reports whether a lessee has shown a newer term.
func (ledger *Ledger) IsDeposed() bool {
	return ledger.deposed
}

// LatestLeaseEnd returns the latest end of any lease given in this term.
func (ledger *Ledger) LatestLeaseEnd() cherrykeel.Instant {
	latest := cherrykeel.Instant(0)
	for _, lessee := range ledger.lessees {
		latest = max(latest, lessee.leaseEnd)
	}
	return latest
}

// IsUnavailable reports whether a lessee has not answered for longer than a lease, so that its lease has ended.
func (ledger *Ledger) IsUnavailable(name string, now cherrykeel.Instant) bool {
	lessee, exists := ledger.lessees[name]
	if !exists || lessee.addedAt == 0 {
		return false
	}
	lastAnswer := max(lessee.answeredAt, lessee.addedAt)
	return now >= lastAnswer.Add(ledger.leaseDuration) && now >= lessee.leaseEnd
}

// LastAnswerAt returns when a lessee last answered, or 0.
func (ledger *Ledger) LastAnswerAt(name string) cherrykeel.Instant {
	lessee, exists := ledger.lessees[name]
	if !exists {
		return 0
	}
	return lessee.answeredAt
}

// HeldAssignments returns, for each lessee that has answered and whose lease runs, what it said it holds.
func (ledger *Ledger) HeldAssignments(now cherrykeel.Instant) map[string]Assignment {
	holders := map[string]Assignment{}
	for name, lessee := range ledger.lessees {
		if lessee.fenced && now < lessee.leaseEnd && len(lessee.possibleLeases) > 0 {
			holders[name] = lessee.possibleLeases[0].assignment
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
		if !ledger.isLesseeSettled(name, lessee, now) {
			return false
		}
	}
	return true
}

func (ledger *Ledger) isLesseeSettled(name string, lessee *lessee, now cherrykeel.Instant) bool {
	target := ledger.targetFor(name)
	if now >= lessee.leaseEnd || lessee.removed {
		return ledger.leaseToHosts || target.isEmpty()
	}
	return len(lessee.possibleLeases) == 1 && !lessee.possibleLeases[0].unknown && lessee.possibleLeases[0].assignment.equals(target)
}
