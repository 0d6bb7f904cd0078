// Package bench measures the latency and goodput of real entry hosts under load over loopback, in comparison with direct
// calls of the stand-ins and with naive versions. It also measures how costs grow with the size of an installation.
package bench
