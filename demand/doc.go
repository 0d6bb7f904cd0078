// Package demand counts what a host sends to each partition and finds the keys
// that stand out, in memory that does not grow with the number of keys. It is pure.
package demand
