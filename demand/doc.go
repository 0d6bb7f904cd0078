// Package demand counts the requests that a host sends to each partition and finds the most requested keys, in memory
// that does not grow with the number of keys. At a service's keeper it merges the counts of all hosts. The package does
// no I/O and reads no clock.
package demand
