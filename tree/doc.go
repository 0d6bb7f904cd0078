// Package tree holds the settings tree: its fields, reading it from TOML files,
// inheritance from firm over team to service, and the checks on it.
// Everything but LoadDir is pure.
package tree
