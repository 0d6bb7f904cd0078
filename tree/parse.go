package tree

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// Parse reads one file of the tree and checks each of its fields. It returns no fields for a file that is not valid
// TOML.
func Parse(file string, level Level, data []byte) (map[string]any, []Problem) {
	fields := map[string]any{}
	err := toml.Unmarshal(data, &fields)
	if err != nil {
		return nil, []Problem{syntaxProblem(file, err)}
	}
	lines := lineIndex(data)
	var problems []Problem
	for _, name := range sortedNames(fields) {
		text := checkField(name, level, fields[name])
		if text == "" {
			continue
		}
		problems = append(problems, Problem{File: file, Line: lines[name], Field: name, Text: text})
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
	return fields, problems
}

func syntaxProblem(file string, err error) Problem {
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		return Problem{File: file, Line: line, Text: strings.TrimPrefix(decodeError.Error(), "toml: ")}
	}
	return Problem{File: file, Text: err.Error()}
}

// checkField returns what is wrong with a field at a level, or an empty string.
func checkField(name string, level Level, value any) string {
	field, exists := fieldsByName[name]
	if !exists {
		return unknownField(name)
	}
	if !field.isAllowedAt(level) {
		return fmt.Sprintf("cannot be set for a %s, only for: %s", level, levelNames(field.Levels))
	}
	return field.check(value)
}

func unknownField(name string) string {
	for _, field := range Fields {
		if strings.EqualFold(field.Name, name) {
			return fmt.Sprintf("unknown field; did you mean %s?", field.Name)
		}
	}
	return "unknown field; docs/SETTINGS.md lists them all"
}

func levelNames(levels []Level) string {
	names := make([]string, 0, len(levels))
	for _, level := range levels {
		names = append(names, string(level))
	}
	return strings.Join(names, ", ")
}

// lineIndex returns the line on which each top-level name first appears.
func lineIndex(data []byte) map[string]int {
	lines := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(data)
	inTable := false
	for parser.NextExpression() {
		expression := parser.Expression()
		if expression.Kind == unstable.KeyValue && inTable {
			continue
		}
		inTable = inTable || expression.Kind != unstable.KeyValue
		key := expression.Key()
		if !key.Next() {
			continue
		}
		name := string(key.Node().Data)
		if _, exists := lines[name]; !exists {
			lines[name] = parser.Shape(key.Node().Raw).Start.Line
		}
	}
	return lines
}

func sortedNames[V any](set map[string]V) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
