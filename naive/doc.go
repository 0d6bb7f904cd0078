// Package naive holds simple versions with which benchmarks and tests compare the real ones: a placement by partition
// modulo the number of upstreams, a picker by round robin, and a fold of a complete list of records. It is pure.
package naive
