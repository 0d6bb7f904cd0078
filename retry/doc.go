// Package retry decides what follows an attempt to run a request on an
// upstream: pass its answer on, try again, or tell the caller what is known.
// It is pure.
package retry
