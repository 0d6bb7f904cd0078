package heads

import (
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
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return Field{}, errors.Wrapf(ErrMalformed, "the name of the field %q is invalid", told(line))
	}
	value = strings.Trim(value, " \t")
	if !httpguts.ValidHeaderFieldValue(value) {
		return Field{}, errors.Wrapf(ErrMalformed, "the value of the field %q is invalid", told(name))
	}
	return Field{Name: name, Value: value}, nil
}
