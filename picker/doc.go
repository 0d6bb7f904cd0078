// Package picker chooses an upstream for a request that any of a service's upstreams may serve. It does no I/O and
// reads no clock.
package picker
