// Package grants is the keeper of key spans: it claims that duty in the store,
// grants spans to upstreams and renews them, and moves them from upstreams that
// leave, fail or have too much to do.
//
// All that it does follows from the table that the store holds; a write whose
// outcome is open is settled by reading on. One goroutine owns the state; calls
// to upstreams run in pools and hand their results back to it.
package grants
