// Package route finds the service, the key and the partition of a request, and decides whether the request may run
// twice. It does no I/O and reads no clock.
package route
