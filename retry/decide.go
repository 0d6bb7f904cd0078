package retry

import (
	"time"

	"cherrykeel"
)

// Evidence says what is known about whether an attempt ran.
type Evidence int

// The kinds of evidence, from the surest.
const (
	// Answered means that a whole answer to this very request arrived.
	Answered Evidence = iota
	// NeverSent means that no byte of the request left.
	NeverSent
	// Refused means that the upstream itself said that it did not act.
	Refused
	// Uncertain means that some of the request left and no whole answer came.
	Uncertain
)

// Refusal is the reason that an upstream gives for not acting.
type Refusal string

// The refusals that upstreams send in the header Cherrykeel-Refused.
const (
	RefusedNotOwner Refusal = "owner"
	RefusedShed     Refusal = "shed"
	RefusedDraining Refusal = "draining"
)

// Result is how an attempt ended.
type Result struct {
	Evidence Evidence
	Refusal  Refusal
	// Detail is for the caller and the log.
	Detail string
}

// Conditions is what else the decision rests on.
type Conditions struct {
	Now      cherrykeel.Instant
	Deadline cherrykeel.Instant
	// Attempt counts from 1.
	Attempt    int
	Repeatable bool
	Keyed      bool
	// BudgetLeft says that the service's retry budget has room.
	BudgetLeft bool
	// Suspected says that upstreams have ended while the request was at work there; to repeat it may cost another.
	Suspected bool
	// Random is uniform in [0, 1).
	Random float64
}

// Decision is the decision; Failure is nil when Again or Pass is true.
type Decision struct {
	// Forward passes the answer on.
	Forward bool
	// Retry starts another attempt after Wait.
	Retry bool
	Wait  time.Duration
	// Cost is what the attempt takes from the retry budget.
	Cost    float64
	Failure *cherrykeel.Failure
}

const (
	maxAttempts       = 4
	maxOwnerAttempts  = 200
	ownerBackoff      = 4 * time.Millisecond
	maxBackoff        = 64 * time.Millisecond
	retryBackoff      = 2 * time.Millisecond
	refusalRetryAfter = time.Second
	refusalCost       = 0.25
	statusBadGateway  = 502
	statusUnavailable = 503
	statusTimeout     = 504
)

// Decide returns what follows an attempt.
func Decide(result Result, conditions Conditions) Decision {
	switch result.Evidence {
	case Answered:
		return Decision{Forward: true}
	case NeverSent:
		if conditions.Keyed {
			// The key's only server cannot be reached: its keys get another owner within a
			// lease's length or so, and the request waits for that while its time lasts.
			return afterWrongOwner(result, conditions)
		}
		return afterNotRun(result, conditions)
	case Refused:
		return afterRefusal(result, conditions)
	default:
		return afterUnknownOutcome(result, conditions)
	}
}

func afterRefusal(result Result, conditions Conditions) Decision {
	inTransfer := conditions.Keyed && result.Refusal == RefusedDraining
	if result.Refusal == RefusedNotOwner || inTransfer {
		return afterWrongOwner(result, conditions)
	}
	if conditions.Keyed && result.Refusal == RefusedShed {
		// The only server for the key is overloaded; asking again at once would feed the overload.
		return failNotRun(statusUnavailable, "upstream-shed", result)
	}
	return afterNotRun(result, conditions)
}

// afterWrongOwner waits for a move to end. It is not charged to the budget: the
// refusal costs the upstream next to nothing, and a budget spent by one move
// would leave none for the faults it is kept for.
func afterWrongOwner(result Result, conditions Conditions) Decision {
	wait := backoff(ownerBackoff, maxBackoff, conditions)
	if conditions.Attempt >= maxOwnerAttempts || !conditions.hasTimeFor(wait) {
		return failNotRun(statusUnavailable, "no-owner", result)
	}
	return Decision{Retry: true, Wait: wait}
}

func afterNotRun(result Result, conditions Conditions) Decision {
	wait := backoff(retryBackoff, maxBackoff, conditions)
	switch {
	case conditions.Attempt >= maxAttempts || !conditions.hasTimeFor(wait):
		return failNotRun(statusUnavailable, "upstream-unreachable", result)
	case !conditions.BudgetLeft:
		return failNotRun(statusUnavailable, "retry-budget-spent", result)
	default:
		return Decision{Retry: true, Wait: wait, Cost: retryCost(result)}
	}
}

// retryCost is less for a refusal, which takes an upstream next to no work: a single upstream that
// sheds would otherwise spend the whole budget, and requests would fail that others could serve.
func retryCost(result Result) float64 {
	if result.Evidence == Refused {
		return refusalCost
	}
	return 1
}

func afterUnknownOutcome(result Result, conditions Conditions) Decision {
	if conditions.Now >= conditions.Deadline {
		return failUnknownOutcome(statusTimeout, "upstream-timeout", result)
	}
	wait := backoff(retryBackoff, maxBackoff, conditions)
	mayRetry := conditions.Repeatable && !conditions.Suspected && conditions.BudgetLeft && conditions.Attempt < maxAttempts
	if mayRetry && conditions.hasTimeFor(wait) {
		return Decision{Retry: true, Wait: wait, Cost: retryCost(result)}
	}
	return failUnknownOutcome(statusBadGateway, "upstream-broke", result)
}

func (conditions Conditions) hasTimeFor(wait time.Duration) bool {
	return conditions.Now.Add(wait) < conditions.Deadline
}

// backoff doubles with each attempt and is spread by half, so that callers do not come back together.
func backoff(initial, longest time.Duration, conditions Conditions) time.Duration {
	wait := initial
	for attempt := 1; attempt < conditions.Attempt && wait < longest; attempt++ {
		wait *= 2
	}
	wait = min(wait, longest)
	return wait/2 + time.Duration(conditions.Random*float64(wait/2))
}

func failNotRun(status int, code string, result Result) Decision {
	failure := cherrykeel.Refuse(status, code, "%s", result.Detail)
	failure.RetryAfter = refusalRetryAfter
	return Decision{Failure: failure}
}

func failUnknownOutcome(status int, code string, result Result) Decision {
	return Decision{Failure: cherrykeel.FailUnknown(status, code, "%s", result.Detail)}
}

// FinalFailure returns the failure for a request whose time ran out, given whether an earlier attempt may have run.
func FinalFailure(failure *cherrykeel.Failure, mayHaveRun bool) *cherrykeel.Failure {
	if failure == nil || !mayHaveRun || failure.Outcome == cherrykeel.OutcomeUnknown {
		return failure
	}
	// An attempt that may have run cannot be taken back by a later one that did not.
	unknown := *failure
	unknown.Outcome = cherrykeel.OutcomeUnknown
	return &unknown
}
