// Command soak runs entry hosts as processes under seeded faults and reports which guarantees they broke. docs/SOAK.md
// explains how to read a failure.
package main
