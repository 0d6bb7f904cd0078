// Package views holds an entry host's leases on services whose upstreams do not
// check fences: for which upstream it may send which keys, and until when.
// It is pure.
package views
