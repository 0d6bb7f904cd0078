package heads

import (
	"bytes"
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
	// switchingProtocols is the informational status that no other answer follows.
	switchingProtocols = "101"
	// maxToldBytes bounds what an error tells of the bytes.
	maxToldBytes = 32
)

var (
	lengthName     = []byte("Content-Length")
	codingName     = []byte("Transfer-Encoding")
	connectionName = []byte("Connection")
)

// Answer checks the head of one answer, line by line, so that bytes that are none are known as such with their first line.
// Its zero value expects the status line.
type Answer struct {
	version   string
	status    string
	hasLength bool
	hasCoding bool
	// connection has the values of the Connection header.
	connection []string
}

// AddLine checks the next line and reports whether it is the empty one that ends the head. It returns ErrMalformed, with what
// is wrong, if there is no such answer.
func (answer *Answer) AddLine(line []byte) (ended bool, err error) {
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	if answer.version == "" {
		return false, answer.addStatusLine(string(line))
	}
	if len(line) == 0 {
		return true, nil
	}
	colon, err := checkField(line)
	if err != nil {
		return false, err
	}
	return false, answer.addField(line[:colon], line[colon+1:])
}

// IsInformational reports whether another answer follows, which may be the final one.
func (answer *Answer) IsInformational() bool {
	return strings.HasPrefix(answer.status, "1") && answer.status != switchingProtocols
}

// addField refuses what two parsers would read as different bodies: a length beside a transfer coding, and a coding in a
// version that has none, where the library takes the framing of the chunks for the body.
func (answer *Answer) addField(name, value []byte) error {
	if bytes.EqualFold(name, connectionName) {
		return answer.addConnection(string(value))
	}
	answer.hasLength = answer.hasLength || bytes.EqualFold(name, lengthName)
	answer.hasCoding = answer.hasCoding || bytes.EqualFold(name, codingName)
	switch {
	case answer.hasCoding && answer.version == version10:
		return errors.Wrap(ErrMalformed, "it has a Transfer-Encoding, which its version lacks")
	case answer.hasCoding && answer.hasLength:
		return errors.Wrap(ErrMalformed, "it has both a Content-Length and a Transfer-Encoding")
	default:
		return nil
	}
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
	answer.status = status
	return nil
}

func (answer *Answer) addConnection(value string) error {
	if describesContent(value) {
		return errors.Wrapf(ErrMalformed, "its Connection %q names a field of the content", told(value))
	}
	answer.connection = append(answer.connection, value)
	return nil
}

// Connection returns the values of the Connection header, all of which the library removes if one says "close".
func (answer *Answer) Connection() []string {
	return answer.connection
}

// describesContent reports whether a Connection header names a field that describes the content, which is for all
// recipients. Such a field is not passed on: encoded content would look as if it were not.
func describesContent(options string) bool {
	for option := range strings.SplitSeq(options, ",") {
		if strings.HasPrefix(strings.ToLower(strings.TrimSpace(option)), "content-") {
			return true
		}
	}
	return false
}

// isStatus reports whether a text is a status that HTTP defines, or leaves for later.
func isStatus(text string) bool {
	isNumber := len(text) == len(lowestStatus) && strings.Trim(text, "0123456789") == ""
	return isNumber && text >= lowestStatus && text <= highestStatus
}
