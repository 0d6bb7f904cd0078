package heads

import (
	"strings"

	"github.com/pkg/errors"
)

// ErrMalformed means that bytes are not the head of an HTTP/1 message.
var ErrMalformed = errors.New("malformed")

const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
	// lowestStatus and highestStatus bound the statuses that HTTP defines; others mean nothing to callers.
	lowestStatus  = "100"
	highestStatus = "599"
	// maxToldBytes bounds what an error tells of the bytes.
	maxToldBytes = 32
)

// Answer checks the head of one answer, line by line, so that bytes that are none are known as such with their first line.
// Its zero value expects the status line.
type Answer struct {
	version string
}

// AddLine checks the next line, without its end. It returns ErrMalformed, with what is wrong, if there is no such answer.
func (answer *Answer) AddLine(line []byte) error {
	if answer.version == "" {
		return answer.addStatusLine(string(line))
	}
	_, err := checkField(line)
	return err
}

func (answer *Answer) addStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	if version != version10 && version != version11 {
		return errors.Wrapf(ErrMalformed, "the version %q is not one of HTTP/1", told(version))
	}
	status, _, _ := strings.Cut(rest, " ")
	if !isStatus(status) {
		return errors.Wrapf(ErrMalformed, "the status %q is not one", told(status))
	}
	answer.version = version
	return nil
}

// isStatus reports whether a text is a status that HTTP defines, or leaves for later.
func isStatus(text string) bool {
	isNumber := len(text) == len(lowestStatus) && strings.Trim(text, "0123456789") == ""
	return isNumber && text >= lowestStatus && text <= highestStatus
}
