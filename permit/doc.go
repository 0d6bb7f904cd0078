// Package permit divides the rate limits that upstreams name among hosts. One host, the allocator of an upstream, hands
// out permits to send it requests; the others ask for them. The package does no I/O and reads no clock.
package permit
