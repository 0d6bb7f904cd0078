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
	bidder  *bidder
	term    *term
}

// New returns the decisions of a host for a service; the witness is the host's own.
func New(self, service string, witness *lease.Witness, placer cherrykeel.Placer) *Keeper {
	return &Keeper{
		self:    self,
		service: service,
		placer:  placer,
		witness: witness,
		bidder:  &bidder{self: self, service: service, votes: map[string]cherrykeel.Instant{}},
	}
}

// Tick returns what to do now; it is called several times within a lease's length.
func (keeper *Keeper) Tick(input Input) Actions {
	var actions Actions
	keeper.witness.Learn(keeper.service, input.Block.Term)
	mine := input.Block.Keeper == keeper.self && input.Won == input.Block.Term && input.Won != 0
	if !mine {
		keeper.term = nil
		keeper.bidder.decide(input, keeper.witness, &actions)
		return actions
	}
	if keeper.term == nil || keeper.term.number != input.Block.Term {
		keeper.term = newTerm(keeper, input)
	}
	keeper.term.tick(input, &actions)
	return actions
}

// Holds reports whether this host holds the role, as far as it knows.
func (keeper *Keeper) Holds() bool {
	return keeper.term != nil
}

// Answered takes in a lessee's answer to an order of a term.
func (keeper *Keeper) Answered(order lease.Order, holding cherrykeel.Holding, received cherrykeel.Instant) {
	if keeper.term != nil && keeper.term.issued(order) {
		keeper.term.ledger.Answered(order, holding, received)
	}
}

// Failed takes in that an order got no answer.
func (keeper *Keeper) Failed(order lease.Order) {
	if keeper.term != nil && keeper.term.issued(order) {
		keeper.term.failed(order)
	}
}

// Confirmed takes in that a witness confirmed the term, in answer to a question sent at an instant.
func (keeper *Keeper) Confirmed(host string, term int64, sent cherrykeel.Instant) {
	if keeper.term != nil && keeper.term.number == term {
		keeper.term.quorum.Confirm(host, sent)
	}
}

// Taught takes in that a witness has learned the term.
func (keeper *Keeper) Taught(teaching Teaching, now cherrykeel.Instant) {
	if keeper.term != nil && keeper.term.number == teaching.Term {
		keeper.term.taught(teaching, now)
	}
}

// HeardSilence takes in how long another witness has not been asked by the keeper.
func (keeper *Keeper) HeardSilence(host string, silence, leaseLength time.Duration, now cherrykeel.Instant) {
	keeper.bidder.heardSilence(host, silence, leaseLength, now)
}

// Relayed reports whether an order should go through another host, since the direct way has failed.
func (keeper *Keeper) Relayed(order lease.Order) bool {
	return keeper.term != nil && keeper.term.failures[order.Lessee]%2 == 1
}

// Report describes the keeper's term for operators.
type Report struct {
	Term    int64
	Settled bool
	// Confirmed is how long ago a majority of witnesses last confirmed the term.
	Confirmed time.Duration
	// Lost are upstreams whose leases have ended for want of answers.
	Lost []string
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
