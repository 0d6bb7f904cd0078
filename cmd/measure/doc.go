// Command measure prints figures of this implementation and of a baseline, such as a naive version or a direct call:
// imbalance, churn and unavailable time in seeded scenarios on a virtual clock, latency and goodput of real hosts over
// loopback, and how costs grow with size.
package main
