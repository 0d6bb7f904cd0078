// Package spans decides which upstream owns which span of numeric keys. It holds the ownership table as it is stored,
// the ledger of leases that upstreams may still hold, and the planner that moves spans to balance load. All decisions
// are pure: the caller passes in the time and every other input.
package spans
