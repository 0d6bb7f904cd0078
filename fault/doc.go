// Package fault is a TCP proxy for tests that loses, delays, cuts and stalls what
// passes between two processes, one way or both.
package fault
