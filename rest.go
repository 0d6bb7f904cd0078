package cherrykeel

import (
	"fmt"
	"time"
)

// RestError wraps ErrNoAnswer: the upstream turned a call away and wants no further one from this host for a time.
type RestError struct {
	Rest time.Duration
}

// Error implements error.
func (err *RestError) Error() string {
	return fmt.Sprintf("the upstream turned the call away and wants none for %s", err.Rest)
}

// Unwrap returns ErrNoAnswer.
func (err *RestError) Unwrap() error {
	return ErrNoAnswer
}
