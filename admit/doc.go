// Package admit decides when a request may go to an upstream: how many run at once, which wait, which go first, and
// which are refused early. It also divides an upstream's slots among the hosts. The package does no I/O and reads no
// clock.
package admit
