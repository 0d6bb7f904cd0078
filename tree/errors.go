package tree

import (
	"fmt"
	"strings"
)

// Problem is one error in a settings file.
type Problem struct {
	File string
	Line int
	// Field is empty if the problem concerns the whole file.
	Field string
	Text  string
}

// String returns the problem in the form "file:line: field: text", without the parts that are not set.
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

// InvalidError holds every problem that was found in a tree.
type InvalidError struct {
	Problems []Problem
}

// Error returns the problems, one per line.
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
