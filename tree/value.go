package tree

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

var (
	keySource  = regexp.MustCompile(`^(header:[A-Za-z0-9-]+|query:[A-Za-z0-9_.-]+|path:[1-9][0-9]?)$`)
	domainName = regexp.MustCompile(`^[a-z0-9.-]{1,253}$`)
	pathPrefix = regexp.MustCompile(`^/[A-Za-z0-9._~/-]*$`)
	serverName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
)

// check returns what is wrong with a value of the field, or an empty string.
func (field Field) check(value any) string {
	switch field.Kind {
	case KindBool:
		if _, ok := value.(bool); !ok {
			return field.wrongType(value)
		}
	case KindInt:
		return field.checkInt(value)
	case KindNumber:
		return field.checkNumber(value)
	case KindDuration:
		return field.checkDuration(value)
	case KindText:
		return field.checkText(value)
	case KindTexts:
		return field.checkTexts(value)
	case KindServers:
		return field.checkServers(value)
	}
	return ""
}

func (field Field) wrongType(value any) string {
	return fmt.Sprintf("is %v (%s), must be %s%s", value, typeName(value), field.Kind.withArticle(), field.rangeText())
}

func (kind Kind) withArticle() string {
	if kind == KindInt {
		return "an " + string(kind)
	}
	return "a " + string(kind)
}

func typeName(value any) string {
	switch value.(type) {
	case string:
		return "text"
	case int64, int:
		return "integer"
	case float64:
		return "number"
	case bool:
		return "boolean"
	case []any:
		return "list"
	case map[string]any:
		return "table"
	default:
		return fmt.Sprintf("%T", value)
	}
}

func (field Field) rangeText() string {
	switch {
	case len(field.Choices) > 0:
		return ", one of " + strings.Join(field.Choices, ", ")
	case field.Min != nil:
		return fmt.Sprintf(", from %v to %v", field.Min, field.Max)
	default:
		return ""
	}
}

func (field Field) outOfRange(value any) string {
	return fmt.Sprintf("is %v, must be %s%s", value, field.Kind.withArticle(), field.rangeText())
}

func (field Field) checkInt(value any) string {
	number, ok := asInt(value)
	if !ok {
		return field.wrongType(value)
	}
	if number < field.Min.(int) || number > field.Max.(int) {
		return field.outOfRange(value)
	}
	return ""
}

func (field Field) checkNumber(value any) string {
	number, ok := asFloat(value)
	if !ok {
		return field.wrongType(value)
	}
	if !(number >= field.Min.(float64) && number <= field.Max.(float64)) {
		return field.outOfRange(value)
	}
	return ""
}

func (field Field) checkDuration(value any) string {
	text, ok := value.(string)
	if !ok {
		return field.wrongType(value)
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Sprintf("is %q, must be a duration such as \"250ms\"%s", text, field.rangeText())
	}
	if duration < field.Min.(time.Duration) || duration > field.Max.(time.Duration) {
		return field.outOfRange(text)
	}
	return ""
}

func (field Field) checkText(value any) string {
	text, ok := value.(string)
	if !ok {
		return field.wrongType(value)
	}
	if len(field.Choices) > 0 && !containsText(field.Choices, text) {
		return field.outOfRange(text)
	}
	if field.Name == "KeyFrom" && !keySource.MatchString(text) {
		return fmt.Sprintf("is %q, must be header:NAME, query:NAME or path:N", text)
	}
	if field.Name == "PathPrefix" && !pathPrefix.MatchString(text) {
		return fmt.Sprintf("is %q, must be a URL path that starts with /", text)
	}
	return ""
}

func (field Field) checkTexts(value any) string {
	list, ok := value.([]any)
	if !ok {
		return field.wrongType(value)
	}
	for _, entry := range list {
		text, ok := entry.(string)
		if !ok || !domainName.MatchString(text) {
			return fmt.Sprintf("has %v, must hold names in lower case", entry)
		}
	}
	return ""
}

func (field Field) checkServers(value any) string {
	list, ok := value.([]any)
	if !ok {
		return field.wrongType(value)
	}
	seen := map[string]bool{}
	for _, entry := range list {
		text := checkServer(entry, seen)
		if text != "" {
			return text
		}
	}
	return ""
}

func checkServer(entry any, seen map[string]bool) string {
	table, ok := entry.(map[string]any)
	if !ok {
		return "must hold tables with Name, Address and Zone"
	}
	for name, value := range table {
		if name != "Name" && name != "Address" && name != "Zone" {
			return fmt.Sprintf("unknown field %s, the fields are Name, Address, Zone", name)
		}
		if _, ok := value.(string); !ok {
			return fmt.Sprintf("%s is %v (%s), must be a text", name, value, typeName(value))
		}
	}
	name := asText(table["Name"])
	if !serverName.MatchString(name) {
		return fmt.Sprintf("Name is %q, must be 1 to 63 of a-z, 0-9 and -", name)
	}
	if seen[name] {
		return fmt.Sprintf("Name %q stands twice", name)
	}
	seen[name] = true
	if _, err := netip.ParseAddrPort(asText(table["Address"])); err != nil {
		return fmt.Sprintf("Address of %s is %q, must be an IP and a port", name, asText(table["Address"]))
	}
	if !serverName.MatchString(asText(table["Zone"])) {
		return fmt.Sprintf("Zone of %s is %q, must be 1 to 63 of a-z, 0-9 and -", name, asText(table["Zone"]))
	}
	return ""
}

func containsText(list []string, text string) bool {
	for _, entry := range list {
		if entry == text {
			return true
		}
	}
	return false
}

func asText(value any) string {
	text, _ := value.(string)
	return text
}

// asInt accepts integers as TOML decodes them, and numbers without a fraction as JSON decodes them.
func asInt(value any) (int, bool) {
	switch number := value.(type) {
	case int:
		return number, true
	case int64:
		return int(number), true
	case float64:
		return int(number), number == float64(int(number))
	default:
		return 0, false
	}
}

func asFloat(value any) (float64, bool) {
	if number, ok := value.(float64); ok {
		return number, true
	}
	number, ok := asInt(value)
	return float64(number), ok
}
