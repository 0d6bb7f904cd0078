package cherrykeel

import (
	"fmt"
	"time"
)

// Outcome says what is known of a request that has no answer from an upstream.
type Outcome string

// The outcomes that a caller is told in the header Cherrykeel-Outcome.
const (
	// NotRun means that no upstream acted on the request or ever will.
	NotRun Outcome = "not-run"
	// OutcomeUnknown means that an upstream may have acted on it.
	OutcomeUnknown Outcome = "unknown"
)

// Failure is an answer that the router makes itself.
type Failure struct {
	Outcome Outcome
	Status  int
	// Code is a stable name that programs may compare.
	Code   string
	Detail string
	// RetryAfter is zero when coming back does not help.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (failure *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", failure.Code, failure.Outcome, failure.Detail)
}

// Unwrap returns the cause.
func (failure *Failure) Unwrap() error {
	return failure.Cause
}

// Refuse returns a failure that says that the request was not run.
func Refuse(status int, code, format string, arguments ...any) *Failure {
	return &Failure{Outcome: NotRun, Status: status, Code: code, Detail: fmt.Sprintf(format, arguments...)}
}

// FailUnknown returns a failure that says that the outcome is unknown.
func FailUnknown(status int, code, format string, arguments ...any) *Failure {
	return &Failure{Outcome: OutcomeUnknown, Status: status, Code: code, Detail: fmt.Sprintf(format, arguments...)}
}
