package retry

import (
	"time"

	"cherrykeel"
)

// Evidence is what is known about whether an attempt ran.
type Evidence int

// The kinds of evidence, the most certain first.
const (
	// Answered means that a complete answer to this request was received.
	Answered Evidence = iota
	// NeverSent means that no byte of the request was sent.
	NeverSent
	// Refused means that the upstream itself reported that it did not run the request.
	Refused
	// Uncertain means that some of the request was sent and no complete answer was received.
	Uncertain
)

// Refusal is the reason that an upstream gives for not running a request.
type Refusal string

// The refusals that upstreams send in the header Cherrykeel-Refused.
const (
	// RefusedNotOwner means that the upstream does not own the request's key.
	RefusedNotOwner Refusal = "owner"
	// RefusedShed means that the upstream is overloaded and sheds load.
	RefusedShed Refusal = "shed"
	// RefusedDraining means that the upstream is shutting down.
	RefusedDraining Refusal = "draining"
)

// Result is how an attempt ended.
type Result struct {
	// Evidence is what is known about whether the attempt ran.
	Evidence Evidence
	// Refusal is the upstream's reason if Evidence is Refused.
	Refusal Refusal
	// Detail describes the result for the caller and the log.
	Detail string
}

// Conditions are the other inputs of the decision.
type Conditions struct {
	// Now is the time of the decision, Deadline the time by which the request must be answered.
	Now      cherrykeel.Instant
	Deadline cherrykeel.Instant
	// Attempt is the number of the attempt, from 1.
	Attempt int
	// Repeatable is set if the request may run twice without harm.
	Repeatable bool
	// Keyed is set if the request has a key, which only one upstream serves.
	Keyed bool
	// BudgetLeft is set if the service's retry budget covers a retry.
	BudgetLeft bool
	// Suspected is set if upstreams have crashed while they ran the request, so that a retry may crash another one.
	Suspected bool
	// Random is uniform in [0, 1).
	Random float64
}

// Decision is what follows an attempt. Failure is nil if Retry or Forward is set.
type Decision struct {
	// Forward is set if the answer is forwarded to the caller.
	Forward bool
	// Retry is set if another attempt follows after Wait.
	Retry bool
	Wait  time.Duration
	// Cost is what the next attempt takes from the retry budget, in retries.
	Cost float64
	// Failure is the failure that the caller gets.
	Failure *cherrykeel.Failure
}

const (
	// maxAttempts limits the attempts of a request, maxOwnerAttempts those that wait for the next owner of its key.
	maxAttempts      = 4
	maxOwnerAttempts = 200
	// ownerBackoff and retryBackoff are the initial waits before an attempt; they double up to maxBackoff.
	ownerBackoff = 4 * time.Millisecond
	maxBackoff   = 64 * time.Millisecond
	retryBackoff = 2 * time.Millisecond
	// refusalRetryAfter is the time after which callers may send a request again that was not run.
	refusalRetryAfter = time.Second
	// refusalCost is the cost of a retry after a refusal; other retries cost 1.
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
			// The key's only upstream is unreachable. Its keys get another owner after about a lease duration, and the
			// request waits for that while it has time left.
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
		// The key's only upstream is overloaded, and an immediate retry would add to its load.
		return failNotRun(statusUnavailable, "upstream-shed", result)
	}
	return afterNotRun(result, conditions)
}

// afterWrongOwner retries until the key's transfer has ended. These retries are not charged to the budget: a refusal
// costs the upstream almost nothing, and a budget spent on one transfer would leave none for other faults.
func afterWrongOwner(result Result, conditions Conditions) Decision {
	wait := backoff(ownerBackoff, maxBackoff, conditions)
	if conditions.Attempt >= maxOwnerAttempts || !conditions.hasTimeFor(wait) {
		return failNotRun(statusUnavailable, "no-owner", result)
	}
	return Decision{Retry: true, Wait: wait}
}

// afterNotRun retries an attempt that did not run, within the limits of attempts, time and budget.
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

// retryCost returns the cost of a retry. It is lower after a refusal, which takes an upstream almost no time: a single
// upstream that sheds load would otherwise use up the budget, and requests that others could serve would fail.
func retryCost(result Result) float64 {
	if result.Evidence == Refused {
		return refusalCost
	}
	return 1
}

// afterUnknownOutcome retries an attempt that may have run only if the request may run twice and is not suspected of
// crashing upstreams.
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

// hasTimeFor reports whether the deadline is later than the end of a wait.
func (conditions Conditions) hasTimeFor(wait time.Duration) bool {
	return conditions.Now.Add(wait) < conditions.Deadline
}

// backoff returns the time to wait before the next attempt. It doubles with each attempt, and half of it is random, so
// that callers do not retry all at once.
func backoff(initial, longest time.Duration, conditions Conditions) time.Duration {
	wait := initial
	for attempt := 1; attempt < conditions.Attempt && wait < longest; attempt++ {
		wait *= 2
	}
	wait = min(wait, longest)
	return wait/2 + time.Duration(conditions.Random*float64(wait/2))
}

// failNotRun returns a decision to fail a request that was not run.
func failNotRun(status int, code string, result Result) Decision {
	failure := cherrykeel.Refuse(status, code, "%s", result.Detail)
	failure.RetryAfter = refusalRetryAfter
	return Decision{Failure: failure}
}

// failUnknownOutcome returns a decision to fail a request that may have run.
func failUnknownOutcome(status int, code string, result Result) Decision {
	return Decision{Failure: cherrykeel.FailUnknown(status, code, "%s", result.Detail)}
}

// FinalFailure returns the failure of a request that is not retried any more. Its outcome is unknown if any earlier
// attempt may have run.
func FinalFailure(failure *cherrykeel.Failure, mayHaveRun bool) *cherrykeel.Failure {
	if failure == nil || !mayHaveRun || failure.Outcome == cherrykeel.OutcomeUnknown {
		return failure
	}
	// A later attempt that did not run does not undo an earlier one that may have run.
	unknown := *failure
	unknown.Outcome = cherrykeel.OutcomeUnknown
	return &unknown
}
