// Package trial runs the real decisions of keepers, witnesses and the fold on a virtual clock, with small fakes for the
// network, the log and the upstreams. An Adversary injects faults. The property tests of sole ownership and the command
// measure use it. It does no I/O, and each seed gives the same run every time.
package trial
