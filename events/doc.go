// Package events defines the programs' log events, each with its own number, and writes them as JSON lines.
// docs/EVENTS.md lists them.
package events
