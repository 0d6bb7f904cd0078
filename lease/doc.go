// Package lease keeps at most one owner for each partition and hot key, through
// delayed messages, pauses and lost replies. It is pure: callers pass in the
// time and the answers, and send what it orders. docs/design/ownership.md gives
// the argument for its safety.
package lease
