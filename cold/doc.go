// Package cold limits the requests that each host sends to a cold upstream, so that all hosts together stay below the
// rate that the upstream tolerates in any second, whatever they receive from each other. It does no I/O and reads no
// clock.
package cold
