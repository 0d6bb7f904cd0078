// Package grants is the keeper of key spans: it claims that role in the store, grants spans to upstreams and renews the
// grants, and transfers spans from upstreams that leave, fail or are overloaded.
//
// All decisions follow from the table in the store; if the outcome of a write is unknown, the keeper reads on to find
// it out. One goroutine owns the state; calls to upstreams run in worker pools, which send their results back to it.
package grants
