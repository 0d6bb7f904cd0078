package tree

import (
	"fmt"
	"strings"
	"time"
)

// Level is a level of the settings tree.
type Level string

// The levels, from the root down.
const (
	LevelFirm    Level = "firm"
	LevelTeam    Level = "team"
	LevelService Level = "service"
)

// Kind is the type of a field's value in TOML, as problems and the documentation call it.
type Kind string

// The kinds of fields.
const (
	KindBool     Kind = "boolean"
	KindInt      Kind = "integer"
	KindNumber   Kind = "number"
	KindText     Kind = "text"
	KindTexts    Kind = "list of texts"
	KindDuration Kind = "duration"
	KindServers  Kind = "list of tables"
)

// Field describes one setting; docs/SETTINGS.md is checked against it.
type Field struct {
	Name string
	Kind Kind
	Unit string
	// Default is the value that holds if no level sets the field; nil if there is none.
	Default any
	// Min and Max bound a number or a duration; they are nil for other kinds.
	Min any
	Max any
	// Choices lists the allowed texts; empty if the field does not list them.
	Choices []string
	// Levels lists the levels at which the field can be set.
	Levels []Level
	Doc    string
}

var (
	everyLevel   = []Level{LevelFirm, LevelTeam, LevelService}
	onlyTeam     = []Level{LevelTeam}
	onlyService  = []Level{LevelService}
	teamAndBelow = []Level{LevelTeam, LevelService}
)

// Fields lists every setting, in the order of docs/SETTINGS.md.
var Fields = []Field{
	{Name: "Domains", Kind: KindTexts, Levels: onlyTeam, Doc: "Host names by which callers reach the team."},
	{Name: "PathPrefix", Kind: KindText, Levels: onlyService, Doc: "Start of the URL path that belongs to the service; the longest match wins."},
	{Name: "Keyed", Kind: KindBool, Default: false, Levels: onlyService, Doc: "Whether each key has one owning upstream."},
	{Name: "KeyFrom", Kind: KindText, Levels: onlyService, Doc: "Where the key stands: \"header:NAME\", \"query:NAME\" or \"path:N\" for the Nth segment after the prefix, from 1."},
	{Name: "Partitions", Kind: KindInt, Default: 1024, Min: 1, Max: 65536, Levels: onlyService, Doc: "Parts into which the key space is hashed; it cannot change while the service holds state."},
	{Name: "Upstreams", Kind: KindServers, Levels: onlyService, Doc: "The servers, as tables with Name, Address (IP and port) and Zone (availability zone)."},
	{Name: "Drain", Kind: KindTexts, Levels: onlyService, Doc: "Names of upstreams that get no new work, whatever the platform's list says."},
	{Name: "Slots", Kind: KindInt, Unit: "requests", Default: 4, Min: 1, Max: 100000, Levels: teamAndBelow, Doc: "Requests that one upstream works on at a time."},
	{Name: "Connections", Kind: KindInt, Unit: "connections", Default: 100, Min: 1, Max: 100000, Levels: teamAndBelow, Doc: "Connections that one upstream takes from all entry hosts together."},
	{Name: "Timeout", Kind: KindDuration, Default: 5 * time.Second, Min: 10 * time.Millisecond, Max: time.Hour, Levels: everyLevel, Doc: "Time for a request, from its arrival to the end of its answer; a caller may ask for less."},
	{Name: "Priority", Kind: KindInt, Default: 5, Min: 1, Max: 9, Levels: everyLevel, Doc: "Who goes first when an upstream's slots are scarce; 1 is first."},
	{Name: "Idempotent", Kind: KindText, Default: "method", Choices: []string{"method", "always", "never"}, Levels: everyLevel, Doc: "Which requests may run twice: as the HTTP method says, all, or none."},
	{Name: "RepeatGuard", Kind: KindText, Default: "none", Choices: []string{"none", "log"}, Levels: everyLevel, Doc: "What stops a repeated Idempotency-Key: nothing of ours, or an intent written to the log before the request is sent."},
	{Name: "RetryShare", Kind: KindNumber, Default: 0.1, Min: 0.0, Max: 1.0, Levels: everyLevel, Doc: "Retries allowed, as a share of recent requests of the service."},
	{Name: "QueueLength", Kind: KindInt, Unit: "requests", Default: 64, Min: 0, Max: 100000, Levels: everyLevel, Doc: "Requests that may wait in one entry host for one upstream."},
	{Name: "MaxBodyBytes", Kind: KindInt, Unit: "bytes", Default: 1 << 20, Min: 0, Max: 1 << 28, Levels: everyLevel, Doc: "Largest request body; a larger one is refused with 413."},
	{Name: "ChecksFences", Kind: KindBool, Default: true, Levels: everyLevel, Doc: "Whether the upstreams refuse work and grants that are not theirs; if not, moves are slower (docs/design/ownership.md)."},
	{Name: "LeaseLength", Kind: KindDuration, Default: 900 * time.Millisecond, Min: 300 * time.Millisecond, Max: time.Minute, Levels: everyLevel, Doc: "Longest time that a lost upstream stays owner."},
	{Name: "DrainTimeout", Kind: KindDuration, Default: 30 * time.Second, Min: 0 * time.Second, Max: time.Hour, Levels: everyLevel, Doc: "Time that a planned move gives to requests in flight."},
	{Name: "RequireAnswer", Kind: KindBool, Default: true, Levels: everyLevel, Doc: "Whether an answer must carry the request's id in Cherrykeel-Request to be passed on."},
}

var fieldsByName = indexFields()

func indexFields() map[string]Field {
	index := make(map[string]Field, len(Fields))
	for _, field := range Fields {
		index[field.Name] = field
	}
	return index
}

// isAllowedAt reports whether the field can be set at a level.
func (field Field) isAllowedAt(level Level) bool {
	for _, allowed := range field.Levels {
		if allowed == level {
			return true
		}
	}
	return false
}

// Row returns the field's row of the table in docs/SETTINGS.md.
func (field Field) Row() string {
	allowed := strings.TrimPrefix(field.rangeText(), ", ")
	if allowed == "" {
		allowed = "-"
	}
	unit := field.Unit
	if unit == "" {
		unit = "-"
	}
	value := "-"
	if field.Default != nil {
		value = fmt.Sprint(field.Default)
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s |", field.Name, field.Kind, unit, value, allowed, levelNames(field.Levels), field.Doc)
}
