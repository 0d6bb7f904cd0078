package tree

import (
	"fmt"
	"strings"
)

// Problem is one fault in a settings file.
type Problem struct {
	File string
	Line int
	// Field is empty when the fault is in the file as a whole.
	Field string
	Text  string
}

// String gives the problem in the form "file:line: field: text".
func (problem Problem) String() string {
	location := problem.File
	if problem.Line > 0 {
		location = fmt.Sprintf("%s:%d", problem.File, problem.Line)
	}
	if problem.Field == "" {
		return fmt.Sprintf("%s: %s", location, problem.Text)
	}
	return fmt.Sprintf("%s: %s: %s", location, problem.Field, problem.Text)
}

// InvalidError carries every problem that a tree has.
type InvalidError struct {
	Problems []Problem
}

// Error implements error with one line a problem.
func (invalid *InvalidError) Error() string {
	lines := make([]string, 0, len(invalid.Problems))
	for _, problem := range invalid.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

func invalidOrNil(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}
