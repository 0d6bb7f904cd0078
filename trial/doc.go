// Package trial drives the real decisions of keepers, witnesses and the fold on a
// virtual clock, with small fakes for the network, the log and the upstreams. The
// property tests of ownership and the command measure use it. It is pure: one seed
// gives one run.
package trial
