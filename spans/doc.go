// Package spans decides which upstream owns which span of numeric keys: the
// table that the store keeps, the ledger of what upstreams may still hold, and
// the plan of moves that follows load. It is pure.
package spans
