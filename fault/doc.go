// Package fault contains a TCP proxy for tests. It refuses, resets, delays and stalls the connections between two
// processes, in one direction or both.
package fault
