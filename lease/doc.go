// Package lease keeps at most one owner for each partition and hot key, despite delayed messages, suspended processes
// and lost replies. All decisions are pure: callers pass in the time and the answers, and send the orders that the
// ledger returns. docs/design/ownership.md explains why this is safe.
package lease
