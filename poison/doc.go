// Package poison identifies requests that crash the upstreams that run them, so that hosts can deny them.
//
// CrashDetector holds one host's attempts that got no answer until it is known whether their upstreams crashed. Table
// merges what all hosts observed: which requests were running when upstreams crashed, and which of them are denied. The
// package does no I/O and reads no clock; callers pass in the time.
package poison
