package keeper

import (
	"time"

	"cherrykeel"
	"cherrykeel/lease"
	"cherrykeel/route"
)

// Keeper decides for one service on one host, whether or not the host holds the role.
// It is not safe for use by several goroutines.
type Keeper struct {
	self    string
	service string
	placer  cherrykeel.Placer
	witness *lease.Witness
	claimer *claimer
	term    *term
}

// New returns the decisions of a host for a service; the witness is the host's own.
func New(self, service string, witness *lease.Witness, placer cherrykeel.Placer) *Keeper {
	return &Keeper{
		self:    self,
		service: service,
		placer:  placer,
		witness: witness,
		claimer: &claimer{self: self, service: service, silenceReports: map[string]cherrykeel.Instant{}},
	}
}

// Tick returns what to do now; it is called several times within a lease's length.
func (keeper *Keeper) Tick(input Input) Actions {
	var actions Actions
	keeper.witness.RecordTerm(keeper.service, input.Block.Term)
	holdsRole := input.Block.Keeper == keeper.self && input.ClaimedTerm == input.Block.Term && input.ClaimedTerm != 0
	if !holdsRole {
		keeper.term = nil
		keeper.claimer.decide(input, keeper.witness, &actions)
		return actions
	}
	if keeper.term == nil || keeper.term.number != input.Block.Term {
		keeper.term = newTerm(keeper, input)
	}
	keeper.term.tick(input, &actions)
	return actions
}

// HoldsRole reports whether this host holds the role, as far as it knows.
func (keeper *Keeper) HoldsRole() bool {
	return keeper.term != nil
}

// RecordAnswer takes in a lessee's answer to an order of a term.
func (keeper *Keeper) RecordAnswer(order lease.Order, holding cherrykeel.Holding, received cherrykeel.Instant) {
	if keeper.term != nil && keeper.term.hasIssued(order) {
		keeper.term.ledger.RecordAnswer(order, holding, received)
	}
}

// RecordFailure takes in that an order got no answer.
func (keeper *Keeper) RecordFailure(order lease.Order) {
	if keeper.term != nil && keeper.term.hasIssued(order) {
		keeper.term.recordFailure(order)
	}
}

// RecordConfirmation takes in that a witness confirmed the term, in answer to a question sent at an instant.
func (keeper *Keeper) RecordConfirmation(host string, term int64, sent cherrykeel.Instant) {
	if keeper.term != nil && keeper.term.number == term {
		keeper.term.quorum.RecordConfirmation(host, sent)
	}
}

// RecordTermLearned takes in that a witness has learned the term.
func (keeper *Keeper) RecordTermLearned(notice TermNotice, now cherrykeel.Instant) {
	if keeper.term != nil && keeper.term.number == notice.Term {
		keeper.term.recordTermLearned(notice, now)
	}
}

// RecordSilence takes in how long another witness has not been asked by the keeper.
func (keeper *Keeper) RecordSilence(host string, silence, leaseLength time.Duration, now cherrykeel.Instant) {
	keeper.claimer.recordSilence(host, silence, leaseLength, now)
}

// ShouldRelay reports whether an order should go through another host, since the direct way has failed.
func (keeper *Keeper) ShouldRelay(order lease.Order) bool {
	return keeper.term != nil && keeper.term.failures[order.Lessee]%2 == 1
}

// Report describes the keeper's term for operators.
type Report struct {
	Term    int64
	Settled bool
	// ConfirmedAge is how long ago a majority of witnesses last confirmed the term.
	ConfirmedAge time.Duration `json:"Confirmed"`
	// Unavailable are upstreams whose leases have ended for want of answers.
	Unavailable []string `json:"Lost"`
	// Promoted counts partitions in force at another upstream than the log says.
	Promoted int
}

// Report returns the state of the term; it reports false on a host that does not hold the role.
func (keeper *Keeper) Report(now cherrykeel.Instant) (Report, bool) {
	if keeper.term == nil {
		return Report{}, false
	}
	return keeper.term.report(now), true
}

func partitionOf(partitions int) func(string) int {
	return func(key string) int {
		return route.Partition(key, partitions)
	}
}
