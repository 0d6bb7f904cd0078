// Package retry decides what follows an attempt to run a request on an upstream: forward its answer, retry, or fail the
// request with what is known about it. The package does no I/O and reads no clock.
package retry
