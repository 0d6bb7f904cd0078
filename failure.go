package cherrykeel

import (
	"fmt"
	"time"
)

// Outcome is whether a request without an answer from an upstream may have been run.
type Outcome string

// The outcomes that answers to callers carry in the header Cherrykeel-Outcome.
const (
	// NotRun means that no upstream has acted on the request, and none will.
	NotRun Outcome = "not-run"
	// OutcomeUnknown means that an upstream may have acted on the request.
	OutcomeUnknown Outcome = "unknown"
)

// Failure is an answer that the router makes itself.
type Failure struct {
	Outcome Outcome
	Status  int
	// Code is a stable name that programs may compare.
	Code   string
	Detail string
	// RetryAfter is zero if a retry by the caller would not help.
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

// Refuse returns a failure with the outcome NotRun.
func Refuse(status int, code, format string, arguments ...any) *Failure {
	return &Failure{Outcome: NotRun, Status: status, Code: code, Detail: fmt.Sprintf(format, arguments...)}
}

// FailUnknown returns a failure with the outcome OutcomeUnknown.
func FailUnknown(status int, code, format string, arguments ...any) *Failure {
	return &Failure{Outcome: OutcomeUnknown, Status: status, Code: code, Detail: fmt.Sprintf(format, arguments...)}
}
