package tree

import (
	"bytes"
	"encoding/json"
	"strings"
)

// Node holds the fields that are set for the firm, a team or a service itself, without those that it inherits.
type Node struct {
	// Path is empty for the firm, "team", or "team/service".
	Path string
	// Version is the version of the last change to the node, or 0 if the node is not published.
	Version int64
	Fields  map[string]any
}

// Nodes maps paths to nodes.
type Nodes map[string]Node

// LevelOf returns the level of a path.
func LevelOf(path string) Level {
	switch {
	case path == "":
		return LevelFirm
	case !strings.Contains(path, "/"):
		return LevelTeam
	default:
		return LevelService
	}
}

// Parent returns the path one level up; the parent of the firm is the firm.
func Parent(path string) string {
	index := strings.LastIndex(path, "/")
	if index < 0 {
		return ""
	}
	return path[:index]
}

// EqualFields reports whether two sets of fields have the same names and values.
func EqualFields(first, second map[string]any) bool {
	return bytes.Equal(CanonicalJSON(first), CanonicalJSON(second))
}

// CanonicalJSON returns fields as JSON with sorted names, the same on every host.
func CanonicalJSON(fields map[string]any) []byte {
	data, err := json.Marshal(fields)
	if err != nil {
		// Cannot happen: fields come from Parse or from JSON, and both yield only values that JSON can encode.
		panic(err)
	}
	return data
}

// Edit replaces or removes one node.
type Edit struct {
	Path string
	// Base is the version of the node that the edit replaces, 0 if there was none.
	Base    int64
	Removed bool
	// Fields are all the node's own fields after the edit.
	Fields map[string]any
}

// Diff returns the edits that turn the nodes in force into the wanted ones: first the replacements, then the removals,
// each in order of path.
func Diff(inForce, wanted Nodes) []Edit {
	var edits []Edit
	for _, path := range sortedNames(wanted) {
		old, exists := inForce[path]
		if exists && EqualFields(old.Fields, wanted[path].Fields) {
			continue
		}
		edits = append(edits, Edit{Path: path, Base: old.Version, Fields: wanted[path].Fields})
	}
	for _, path := range sortedNames(inForce) {
		if _, kept := wanted[path]; !kept {
			edits = append(edits, Edit{Path: path, Base: inForce[path].Version, Removed: true})
		}
	}
	return edits
}
