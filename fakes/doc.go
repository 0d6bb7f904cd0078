// Package fakes contains stand-ins for the outside systems: the platform's log, its list of hosts, and an upstream. Each
// of these is an http.Handler, and faults are injected into it over HTTP; docs/PROTOCOLS.md describes the requests. The
// package also has helpers for tests: a manual clock, callers that keep sending requests, free addresses, and a
// server that answers any bytes.
package fakes
