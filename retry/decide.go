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
	maxAttempts      = 4
	maxOwnerAttempts = 200
	ownerBackoff     = 4 * time.Millisecond
	maxOwnerBackoff  = 64 * time.Millisecond
	retryBackoff     = 2 * time.Millisecond
	shedRetryAfter   = time.Second
	refusalCost      = 0.25
	statusBadGateway = 502
	statusBusy       = 503
	statusTimeout    = 504
)

// Decide returns what follows an attempt.
func Decide(ending Result, situation Conditions) Decision {
	switch ending.Evidence {
	case Answered:
		return Decision{Forward: true}
	case NeverSent:
		if situation.Keyed {
			// The key's only server cannot be reached: its keys get another owner within a
			// lease's length or so, and the request waits for that while its time lasts.
			return afterWrongOwner(ending, situation)
		}
		return afterNotRun(ending, situation)
	case Refused:
		return afterRefusal(ending, situation)
	default:
		return afterDoubt(ending, situation)
	}
}

func afterRefusal(ending Result, situation Conditions) Decision {
	moving := situation.Keyed && ending.Refusal == RefusedDraining
	if ending.Refusal == RefusedNotOwner || moving {
		return afterWrongOwner(ending, situation)
	}
	if situation.Keyed && ending.Refusal == RefusedShed {
		// The only server for the key is overloaded; asking again at once would feed the overload.
		return refuse(statusBusy, "upstream-shed", ending)
	}
	return afterNotRun(ending, situation)
}

// afterWrongOwner waits for a move to end. It is not charged to the budget: the
// refusal costs the upstream next to nothing, and a budget spent by one move
// would leave none for the faults it is kept for.
func afterWrongOwner(ending Result, situation Conditions) Decision {
	wait := backoff(ownerBackoff, maxOwnerBackoff, situation)
	if situation.Attempt >= maxOwnerAttempts || !situation.fits(wait) {
		return refuse(statusBusy, "no-owner", ending)
	}
	return Decision{Retry: true, Wait: wait}
}

func afterNotRun(ending Result, situation Conditions) Decision {
	wait := backoff(retryBackoff, maxOwnerBackoff, situation)
	switch {
	case situation.Attempt >= maxAttempts || !situation.fits(wait):
		return refuse(statusBusy, "upstream-unreachable", ending)
	case !situation.BudgetLeft:
		return refuse(statusBusy, "retry-budget-spent", ending)
	default:
		return Decision{Retry: true, Wait: wait, Cost: cost(ending)}
	}
}

// cost is less for a refusal, which takes an upstream next to no work: a single upstream that
// sheds would otherwise spend the whole budget, and requests would fail that others could serve.
func cost(ending Result) float64 {
	if ending.Evidence == Refused {
		return refusalCost
	}
	return 1
}

func afterDoubt(ending Result, situation Conditions) Decision {
	if situation.Now >= situation.Deadline {
		return doubt(statusTimeout, "upstream-timeout", ending)
	}
	wait := backoff(retryBackoff, maxOwnerBackoff, situation)
	mayRepeat := situation.Repeatable && !situation.Suspected && situation.BudgetLeft && situation.Attempt < maxAttempts
	if mayRepeat && situation.fits(wait) {
		return Decision{Retry: true, Wait: wait, Cost: cost(ending)}
	}
	return doubt(statusBadGateway, "upstream-broke", ending)
}

func (situation Conditions) fits(wait time.Duration) bool {
	return situation.Now.Add(wait) < situation.Deadline
}

// backoff doubles with each attempt and is spread by half, so that callers do not come back together.
func backoff(first, most time.Duration, situation Conditions) time.Duration {
	wait := first
	for attempt := 1; attempt < situation.Attempt && wait < most; attempt++ {
		wait *= 2
	}
	wait = min(wait, most)
	return wait/2 + time.Duration(situation.Random*float64(wait/2))
}

func refuse(status int, code string, ending Result) Decision {
	failure := cherrykeel.Refuse(status, code, "%s", ending.Detail)
	failure.RetryAfter = shedRetryAfter
	return Decision{Failure: failure}
}

func doubt(status int, code string, ending Result) Decision {
	return Decision{Failure: cherrykeel.FailUnknown(status, code, "%s", ending.Detail)}
}

// FinalFailure returns the failure for a request whose time ran out, given whether an earlier attempt may have run.
func FinalFailure(failure *cherrykeel.Failure, mayHaveRun bool) *cherrykeel.Failure {
	if failure == nil || !mayHaveRun || failure.Outcome == cherrykeel.OutcomeUnknown {
		return failure
	}
	// An attempt that may have run cannot be taken back by a later one that did not.
	doubtful := *failure
	doubtful.Outcome = cherrykeel.OutcomeUnknown
	return &doubtful
}
