// Package fakes holds small stand-ins for the outside systems: the platform's
// log, its list of hosts, and an upstream. Each is an http.Handler whose faults
// are ordered over HTTP; docs/PROTOCOLS.md describes them.
package fakes
