// Package route finds the service, the key and the partition of a request, and
// says whether it may run twice. It is pure.
package route
