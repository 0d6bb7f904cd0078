// Package picker chooses an upstream for requests that any of a service's
// upstreams may serve. It is pure.
package picker
