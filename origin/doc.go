// Package origin decides what an answer from an upstream's address shows. An upstream may send bytes that answer nothing, or
// an answer twice, and another upstream may listen at the address by now.
package origin
