package conns

import "github.com/pkg/errors"

// ErrMalformed is an ErrBroken that means that the upstream sent bytes that are no answer, though they may look like one.
// Nothing that they say is to be believed.
var ErrMalformed = errors.WithMessage(ErrBroken, "the bytes are no answer")

// MalformedError is an ErrMalformed with what is wrong.
type MalformedError struct {
	// Connection is the serial number of the connection, for logs.
	Connection int64
	// Wrong tells what is wrong with the bytes.
	Wrong string
}

// Error implements error.
func (malformedError *MalformedError) Error() string {
	return "the bytes are no answer: " + malformedError.Wrong
}

// Unwrap returns ErrMalformed.
func (malformedError *MalformedError) Unwrap() error {
	return ErrMalformed
}

// MalformedError returns the error of an answer that is none for a reason which only its reader can know.
func (answer *Answer) MalformedError(wrong string) error {
	return answer.conn.malformedError(errors.New(wrong))
}

func (conn *conn) malformedError(err error) error {
	return errors.WithStack(&MalformedError{Connection: conn.serial, Wrong: err.Error()})
}
