package lease

import (
	"time"

	"cherrykeel"
)

// DefaultDrift is the default bound on how much faster or slower one clock may run than another, as a share.
const DefaultDrift = 0.02

// Never is an instant that is never reached.
const Never = cherrykeel.Instant(1<<63 - 1)

// Order is a message to a lessee. The caller passes its answer to RecordAnswer, or calls RecordFailure if there is
// none.
type Order struct {
	Lessee string
	// Query requests the lessee's holding without granting anything.
	Query  bool
	Grant  cherrykeel.Grant
	serial int64
}

// possibleLease is what a lessee holds if it accepted the grant with that sequence.
type possibleLease struct {
	sequence   int64
	assignment Assignment
	// unknown means that the grant extended what the lessee held before it reported what that was.
	unknown bool
}

// lessee is an upstream, or an entry host, that gets leases.
type lessee struct {
	incarnation string
	// replacedIncarnations are the previous processes at the address, whose answers are ignored.
	replacedIncarnations map[string]bool
	// clock is the lessee's own time in its last answer, which arrived at answeredAt on the ledger's clock.
	clock      time.Duration
	answeredAt cherrykeel.Instant
	clockKnown bool
	// fenced means that the lessee has accepted a grant of this term, so that it refuses older ones.
	fenced bool
	// possibleLeases lists what the lessee may hold: first what it last reported, then the grants that it has not
	// answered.
	possibleLeases []possibleLease
	// leaseEnd is the latest end of any lease that was sent to the lessee, on the ledger's clock.
	leaseEnd cherrykeel.Instant
	// outstandingOrder is the serial of the order that waits for an answer, or 0.
	outstandingOrder int64
	addedAt          cherrykeel.Instant
	removed          bool
}

// Ledger grants the leases of one service in one term, and records what its lessees may hold.
type Ledger struct {
	service       string
	term          int64
	sequence      int64
	leaseDuration time.Duration
	maxDrift      float64
	partitionOf   func(string) int
	leaseToHosts  bool
	// timeout limits the requests that hosts send under their leases.
	timeout time.Duration
	// processingTime is how long upstreams may work on requests that hosts sent before their leases ended.
	processingTime time.Duration
	serial         int64
	// freeAt is when every lease of earlier terms has ended; before that only renewals are granted.
	freeAt  cherrykeel.Instant
	target  Assignment
	lessees map[string]*lessee
	// formerProcesses counts the processes whose leases were kept after they had ceased to be lessees.
	formerProcesses int
	deposed         bool
}

// transitTime is how long a request may take to arrive; its upstream counts the request's timeout from the arrival.
const transitTime = 250 * time.Millisecond

// MaxProcessingTime returns the longest time for which an upstream may work on a request after it was sent, on the
// sender's clock. timeout is the one that the request carried to the upstream, whose clock may be slow.
func MaxProcessingTime(timeout time.Duration) time.Duration {
	return transitTime + MaxElapsed(timeout)
}

// MaxElapsed returns the longest time that any clock may show while a duration passes on another clock, within
// DefaultDrift.
func MaxElapsed(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 + DefaultDrift))
}

// Option configures a new Ledger.
type Option func(*Ledger)

// WithDrift sets the bound on the drift between clocks, as a share; the default is DefaultDrift.
func WithDrift(drift float64) Option {
	return func(ledger *Ledger) {
		ledger.maxDrift = drift
	}
}

// LeaseToHosts makes entry hosts the lessees, for upstreams that do not check fences. Such an upstream may work on a
// request for up to MaxProcessingTime(timeout) after it was sent, even if the host that sent it has lost its lease.
func LeaseToHosts(timeout time.Duration) Option {
	return func(ledger *Ledger) {
		ledger.leaseToHosts = true
		ledger.timeout = timeout
		ledger.processingTime = MaxElapsed(MaxProcessingTime(timeout))
	}
}

// NewLedger returns the ledger of a term that has just started; its leases have the given duration.
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

// SetFreeAt sets when the leases of all earlier terms have ended.
func (ledger *Ledger) SetFreeAt(freeAt cherrykeel.Instant) {
	ledger.freeAt = freeAt
}

// FreeAt returns when the leases of all earlier terms have ended, or Never while that is unknown.
func (ledger *Ledger) FreeAt() cherrykeel.Instant {
	return ledger.freeAt
}

// SetTarget sets what the upstreams should own; NextOrders moves towards it without two owners at a time.
func (ledger *Ledger) SetTarget(placement cherrykeel.Placement) {
	ledger.target = AssignmentOf(placement)
}

// SetLessees sets the lessees. One that is left out is not renewed, and is removed when its lease has ended.
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

// IsDeposed reports whether a lessee has answered with a newer term.
func (ledger *Ledger) IsDeposed() bool {
	return ledger.deposed
}

// LatestLeaseEnd returns the latest end of any lease granted in this term.
func (ledger *Ledger) LatestLeaseEnd() cherrykeel.Instant {
	latest := cherrykeel.Instant(0)
	for _, lessee := range ledger.lessees {
		latest = max(latest, lessee.leaseEnd)
	}
	return latest
}

// IsUnavailable reports whether a lessee has not answered for longer than the lease duration, so that its lease has
// ended.
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

// HeldAssignments returns what each lessee last reported that it holds, if it has answered in this term and its lease
// runs.
func (ledger *Ledger) HeldAssignments(now cherrykeel.Instant) map[string]Assignment {
	holders := map[string]Assignment{}
	for name, lessee := range ledger.lessees {
		if lessee.fenced && now < lessee.leaseEnd && len(lessee.possibleLeases) > 0 {
			holders[name] = lessee.possibleLeases[0].assignment
		}
	}
	return holders
}

// IsSettled reports whether every lessee with a running lease holds exactly its target, and the targets of all others
// are empty.
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

// isLesseeSettled reports whether a lessee holds exactly its target, or has no lease and an empty target.
func (ledger *Ledger) isLesseeSettled(name string, lessee *lessee, now cherrykeel.Instant) bool {
	target := ledger.targetFor(name)
	if now >= lessee.leaseEnd || lessee.removed {
		return ledger.leaseToHosts || target.isEmpty()
	}
	return len(lessee.possibleLeases) == 1 && !lessee.possibleLeases[0].unknown && lessee.possibleLeases[0].assignment.equals(target)
}
