package keeper

import (
	"time"

	"cherrykeel"
	"cherrykeel/lease"
	"cherrykeel/route"
)

// Keeper decides for one service on one host, whether or not the host holds the keeper's role. It is not safe for
// concurrent use.
type Keeper struct {
	self    string
	service string
	placer  cherrykeel.Placer
	witness *lease.Witness
	claimer *claimer
	term    *term
}

// New returns the Keeper of a host for a service. The witness is the host's own.
func New(self, service string, witness *lease.Witness, placer cherrykeel.Placer) *Keeper {
	return &Keeper{
		self:    self,
		service: service,
		placer:  placer,
		witness: witness,
		claimer: &claimer{self: self, service: service, silenceReports: map[string]cherrykeel.Instant{}},
	}
}

// Tick returns what to do now. It is called several times within a lease duration.
func (keeper *Keeper) Tick(input Input) Actions {
	var actions Actions
	keeper.witness.RecordTerm(keeper.service, input.Ownership.Term)
	holdsRole := input.Ownership.Keeper == keeper.self && input.ClaimedTerm == input.Ownership.Term && input.ClaimedTerm != 0
	if !holdsRole {
		keeper.term = nil
		keeper.claimer.decide(input, keeper.witness, &actions)
		return actions
	}
	if keeper.term == nil || keeper.term.number != input.Ownership.Term {
		keeper.term = newTerm(keeper, input)
	}
	keeper.term.tick(input, &actions)
	return actions
}

// HoldsRole reports whether this host held the keeper's role at the last Tick.
func (keeper *Keeper) HoldsRole() bool {
	return keeper.term != nil
}

// RecordAnswer records a lessee's answer to an order.
func (keeper *Keeper) RecordAnswer(order lease.Order, holding cherrykeel.Holding, received cherrykeel.Instant) {
	if keeper.term != nil && keeper.term.hasIssued(order) {
		keeper.term.ledger.RecordAnswer(order, holding, received)
	}
}

// RecordFailure records that an order was not answered.
func (keeper *Keeper) RecordFailure(order lease.Order) {
	if keeper.term != nil && keeper.term.hasIssued(order) {
		keeper.term.recordFailure(order)
	}
}

// RecordConfirmation records that a witness confirmed the term, in answer to a request sent at an instant.
func (keeper *Keeper) RecordConfirmation(host string, term int64, sent cherrykeel.Instant) {
	if keeper.term != nil && keeper.term.number == term {
		keeper.term.quorum.RecordConfirmation(host, sent)
	}
}

// RecordTermLearned records that a witness of an earlier term has recorded the new one.
func (keeper *Keeper) RecordTermLearned(notice TermNotice, now cherrykeel.Instant) {
	if keeper.term != nil && keeper.term.number == notice.Term {
		keeper.term.recordTermLearned(notice, now)
	}
}

// RecordSilence records how long another witness has not received a request from the keeper.
func (keeper *Keeper) RecordSilence(host string, silence, leaseLength time.Duration, now cherrykeel.Instant) {
	keeper.claimer.recordSilence(host, silence, leaseLength, now)
}

// ShouldRelay reports whether an order should go through another host: after each failure it alternates between the
// direct way and another host.
func (keeper *Keeper) ShouldRelay(order lease.Order) bool {
	return keeper.term != nil && keeper.term.failures[order.Lessee]%2 == 1
}

// Report describes the keeper's term for operators.
type Report struct {
	Term int64
	// Settled is true when every lease matches the placement in force.
	Settled bool
	// ConfirmedAge is how long ago a majority of witnesses last confirmed the term.
	ConfirmedAge time.Duration `json:"Confirmed"`
	// Unavailable are upstreams that get no keys, because they do not answer or because they refuse work.
	Unavailable []string `json:"Lost"`
	// Promoted counts the partitions whose owner in force differs from the one in the log.
	Promoted int
}

// Report returns the state of the term. It returns false on a host that does not hold the role.
func (keeper *Keeper) Report(now cherrykeel.Instant) (Report, bool) {
	if keeper.term == nil {
		return Report{}, false
	}
	return keeper.term.report(now), true
}

// partitionOf returns the function that maps a key to its partition.
func partitionOf(partitions int) func(string) int {
	return func(key string) int {
		return route.Partition(key, partitions)
	}
}
