// Package poison finds requests that end the upstreams that run them, so that hosts can refuse them: what a host's
// connections show of upstreams' ends (Witness), and what all hosts know of the requests that were at work there
// (Table). It decides and keeps; it does no I/O and reads no clock.
package poison
