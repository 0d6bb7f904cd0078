// Package naive holds the plain versions that the measures and tests compare
// with: owners by hash modulo the list of upstreams, without leases; round robin;
// retries without a budget. It is pure.
package naive
