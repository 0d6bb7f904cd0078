package heads

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// Field is a field of a head.
type Field struct {
	Name  string
	Value string
}

// ParseField reads a field from its line. It returns ErrMalformed for a name with a blank or another byte that none may have:
// the field would not be found under its name, so what it says of the body would be missed. A line that continues the one
// before counts as such a name; HTTP leaves it to the recipient.
func ParseField(line string) (Field, error) {
	colon, err := checkField(line)
	if err != nil {
		return Field{}, err
	}
	return Field{Name: line[:colon], Value: strings.Trim(line[colon+1:], " \t")}, nil
}

// ConnectionOptions returns the names in a parsed Connection header. The fields with these names belong to the connection.
func ConnectionOptions(header http.Header) []string {
	var options []string
	for _, list := range header["Connection"] {
		for option := range strings.SplitSeq(list, ",") {
			options = append(options, strings.TrimSpace(option))
		}
	}
	return options
}

// DropConnectionFields removes the fields that the Connection header names.
func DropConnectionFields(header http.Header) {
	for _, name := range ConnectionOptions(header) {
		header.Del(name)
	}
}

// CheckNames returns ErrMalformed if a parsed field's name is invalid; the library keeps a name with a blank as it is.
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "the name of the field %q is invalid", told(name))
		}
	}
	return nil
}

// text is a line of a head. Bytes are checked in place, as each answer that is passed on has a dozen lines.
type text interface{ string | []byte }

// checkField returns where a field's name ends.
func checkField[T text](line T) (colon int, err error) {
	for colon < len(line) && httpguts.IsTokenRune(rune(line[colon])) {
		colon++
	}
	if colon == 0 || colon == len(line) || line[colon] != ':' {
		return 0, errors.Wrapf(ErrMalformed, "the name of the field %q is invalid", told(beforeColon(line)))
	}
	for i := colon + 1; i < len(line); i++ {
		if !isValueByte(line[i]) {
			return 0, errors.Wrapf(ErrMalformed, "the value of the field %q is invalid", told(line[:colon]))
		}
	}
	return colon, nil
}

// beforeColon returns what stands in place of a name; a value is not told.
func beforeColon[T text](line T) T {
	for i := range len(line) {
		if line[i] == ':' {
			return line[:i]
		}
	}
	return line
}

// isValueByte reports whether a value may have a byte; those beyond ASCII are not HTTP's to interpret.
func isValueByte(char byte) bool {
	return char == '\t' || char >= ' ' && char != 0x7f
}

// told returns the beginning of a text.
func told[T text](text T) string {
	return string(text[:min(len(text), maxToldBytes)])
}
